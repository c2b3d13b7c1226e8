package balance_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/balance"
)

// Of two equal replicas, the one that reported less load is picked until the reports expire.
func TestReportedLoadDecays(t *testing.T) {
	normal := balance.Load{Running: 1, Slots: 6, Slowness: 1}
	for name, row := range map[string]struct {
		first, second balance.Load
		want          int
	}{
		"first is slow":               {balance.Load{Running: 1, Slots: 6, Slowness: 2.5}, normal, 1},
		"second is slow":              {normal, balance.Load{Running: 1, Slots: 6, Slowness: 2.5}, 0},
		"first has waiting requests":  {balance.Load{Running: 6, Waiting: 9, Slots: 6, Slowness: 1}, normal, 1},
		"second has waiting requests": {normal, balance.Load{Running: 6, Waiting: 9, Slots: 6, Slowness: 1}, 0},
	} {
		b := balance.New()
		served(b, "first", 30*time.Millisecond)
		served(b, "second", 30*time.Millisecond)
		b.RecordLoad("first", row.first, start)
		b.RecordLoad("second", row.second, start)
		candidates := []string{"first", "second"}
		if got := b.Pick(service, candidates, start.Add(10*time.Millisecond), 0); got != row.want {
			t.Errorf("%s: picked %d", name, got)
		}
		// Later only the draw decides.
		later := start.Add(10 * time.Second)
		if b.Pick(service, candidates, later, 0) == b.Pick(service, candidates, later, 0.6) {
			t.Errorf("%s: the report still has an effect later", name)
		}
	}
}

// A load report has a limited effect, and measured latency still counts.
func TestReportedLoadHasBoundedEffect(t *testing.T) {
	b := balance.New()
	served(b, "underreporting", 300*time.Millisecond)
	served(b, "accurate", 30*time.Millisecond)
	b.RecordLoad("underreporting", balance.Load{Slots: 1000}, start)
	b.RecordLoad("accurate", balance.Load{Running: 1, Slots: 6, Slowness: 1}, start)
	if got := b.Pick(service, []string{"underreporting", "accurate"}, start, 0); got != 1 {
		t.Error("a slow replica attracts requests by reporting no load")
	}
	b = balance.New()
	served(b, "overreporting", 30*time.Millisecond)
	served(b, "slow", 300*time.Millisecond)
	b.RecordLoad("overreporting", balance.Load{Running: 1e6, Waiting: 1e6, Slots: 1, Slowness: 1e4}, start)
	if got := b.Pick(service, []string{"overreporting", "slow"}, start, 0); got != 0 {
		t.Error("a replica is avoided because of its load report alone")
	}
}
