package boottime

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

func TestClockAdvances(t *testing.T) {
	before := Now()
	time.Sleep(5 * time.Millisecond)
	if passed := Now() - before; passed < 5*time.Millisecond {
		t.Errorf("%v passed in 5 ms", passed)
	}
	if Clock(nil).OrSystem()() < before {
		t.Error("a nil clock is not the system clock")
	}
}

// Each jump of the clock is reported once, with its length; small differences, which may
// be time between two readings, are not.
func TestWatchReportsSuspensions(t *testing.T) {
	testkit.Check(t, 32, func(r *rapid.T) {
		ahead := time.Duration(0)
		watch := NewWatch(func() time.Duration { return monotonic() + ahead })
		for range rapid.IntRange(1, 20).Draw(r, "looks") {
			slept := time.Duration(0)
			if rapid.Bool().Draw(r, "suspended") {
				slept = time.Duration(rapid.IntRange(100, 20_000).Draw(r, "milliseconds")) * time.Millisecond
			}
			ahead += slept
			if got := watch.Check(); (got == 0) != (slept == 0) || (got-slept).Abs() > MinSuspension {
				r.Fatalf("reported %v, suspended for %v", got, slept)
			}
		}
	})
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
