package membership

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

func TestAggregatesAreSentOnSignificantChange(t *testing.T) {
	first := PoolAggregate{
		Pool: "p", Replicas: 12, Routable: 10, Free: 100, Queued: 20, Unhealthy: 1,
		Versions: []VersionCount{{Version: 1, Replicas: 10, Free: 100}},
	}
	tests := map[string]struct {
		after  time.Duration
		change func(*PoolAggregate)
		want   bool
	}{
		"unchanged":                    {time.Second, func(*PoolAggregate) {}, false},
		"unchanged, refresh":           {AggregateRefresh, func(*PoolAggregate) {}, true},
		"slightly fewer free slots":    {MinAggregateInterval, func(a *PoolAggregate) { a.Free = 81 }, false},
		"fewer free slots, too early":  {time.Second, func(a *PoolAggregate) { a.Free = 80 }, false},
		"fewer free slots per replica": {MinAggregateInterval, func(a *PoolAggregate) { a.Free = 80 }, true},
		"more free slots per replica":  {MinAggregateInterval, func(a *PoolAggregate) { a.Free = 120 }, true},
		"more queued requests":         {MinAggregateInterval, func(a *PoolAggregate) { a.Queued = 40 }, true},
		"replica removed":              {time.Second, func(a *PoolAggregate) { a.Routable, a.Free, a.Queued = 9, 90, 18 }, true},
		"replica ejected":              {time.Second, func(a *PoolAggregate) { a.Unhealthy = 2 }, true},
		"another version": {time.Second, func(a *PoolAggregate) {
			a.Versions = []VersionCount{{Version: 1, Replicas: 9, Free: 90}, {Version: 2, Replicas: 1, Free: 10}}
		}, true},
		"free slots of a version": {time.Second, func(a *PoolAggregate) {
			a.Versions = []VersionCount{{Version: 1, Replicas: 10, Free: 99}}
		}, false},
		"another pool": {time.Second, func(a *PoolAggregate) { a.Pool = "q" }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			scheduler := NewAggregateScheduler()
			if !scheduler.Due(testStart, first) {
				t.Fatal("the first aggregate is not due")
			}
			next := first
			test.change(&next)
			if got := scheduler.Due(testStart.Add(test.after), next); got != test.want {
				t.Errorf("due: %v, want %v", got, test.want)
			}
		})
	}
}

// Small changes must not add up to a large one that is never sent.
func TestSmallChangesAddUp(t *testing.T) {
	scheduler := NewAggregateScheduler()
	aggregate := PoolAggregate{Pool: "p", Routable: 10, Free: 100}
	sent := 0
	for step := range 9 {
		if scheduler.Due(testStart.Add(time.Duration(step)*MinAggregateInterval/4), aggregate) {
			sent++
		}
		aggregate.Free -= 5
	}
	if sent != 3 {
		t.Errorf("sent %d times for 40 slots lost in steps of 5, want at the start and for each 20", sent)
	}
}

func TestZonesOfAPoolAreRelayedByDifferentNodes(t *testing.T) {
	homes := NewAssigner([]port.NodeID{"a", "b", "c", "d", "e", "f"})
	relays := make(map[port.NodeID]int)
	for zone := range 12 {
		relay, found := homes.Relay(port.ZoneName(rune('m'+zone)), "pool")
		if !found {
			t.Fatal("no relay")
		}
		relays[relay]++
	}
	if len(relays) < 4 {
		t.Errorf("12 zones of a pool are relayed by %v", relays)
	}
}

// Exactly one node relays each (zone, pool), so that a new node that requests the
// aggregates from all nodes of its zone receives each one once.
func TestEachAggregateIsRelayedOnce(t *testing.T) {
	nodes := []port.NodeID{"a", "b", "c"}
	aggregates, homes := NewAggregates(), NewAssigner(nodes)
	for _, zone := range []port.ZoneName{"x", "y", "z"} {
		for _, pool := range []port.PoolName{"p", "q"} {
			aggregates.Apply(testStart, PoolAggregate{Zone: zone, Pool: pool, Node: "far", Sequence: 1})
		}
	}
	received := make(map[string]int)
	for _, node := range nodes {
		for _, aggregate := range aggregates.RelayedBy(node, homes) {
			received[string(aggregate.Zone)+string(aggregate.Pool)]++
		}
	}
	if len(received) != 6 {
		t.Errorf("received %v, want all six", received)
	}
	for key, times := range received {
		if times != 1 {
			t.Errorf("received %s %d times", key, times)
		}
	}
}
