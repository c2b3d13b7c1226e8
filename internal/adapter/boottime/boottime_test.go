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
	if elapsed := Now() - before; elapsed < 5*time.Millisecond {
		t.Errorf("%v elapsed in 5 ms", elapsed)
	}
	if Clock(nil).OrSystem()() < before {
		t.Error("a nil clock is not the system clock")
	}
}

// TestWatchReportsSuspensions checks that each suspension is reported once, with its length.
func TestWatchReportsSuspensions(t *testing.T) {
	testkit.Check(t, 32, func(r *rapid.T) {
		ahead := time.Duration(0)
		watch := NewWatch(func() time.Duration { return monotonic() + ahead })
		for range rapid.IntRange(1, 20).Draw(r, "looks") {
			suspended := time.Duration(0)
			if rapid.Bool().Draw(r, "suspended") {
				suspended = time.Duration(rapid.IntRange(100, 20_000).Draw(r, "milliseconds")) * time.Millisecond
			}
			ahead += suspended
			if got := watch.Check(); (got == 0) != (suspended == 0) || (got-suspended).Abs() > MinSuspension {
				r.Fatalf("reported %v, suspended for %v", got, suspended)
			}
		}
	})
}

func BenchmarkNow(b *testing.B) {
	for b.Loop() {
		Now()
	}
}
