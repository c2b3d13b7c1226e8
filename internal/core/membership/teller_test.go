package membership

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

func TestAggregatesAreToldWhenTheyMoveRequests(t *testing.T) {
	first := PoolAggregate{
		Pool: "p", Replicas: 12, Routable: 10, Free: 100, Queued: 20, Unhealthy: 1,
		Versions: []VersionCount{{Version: 1, Replicas: 10, Free: 100}},
	}
	tests := map[string]struct {
		after  time.Duration
		change func(*PoolAggregate)
		want   bool
	}{
		"nothing new":                {time.Second, func(*PoolAggregate) {}, false},
		"nothing new, refresh":       {AggregateRefresh, func(*PoolAggregate) {}, true},
		"a little less room":         {AggregateLeast, func(a *PoolAggregate) { a.Free = 81 }, false},
		"less room, too soon":        {time.Second, func(a *PoolAggregate) { a.Free = 80 }, false},
		"less room for each replica": {AggregateLeast, func(a *PoolAggregate) { a.Free = 80 }, true},
		"more room for each replica": {AggregateLeast, func(a *PoolAggregate) { a.Free = 120 }, true},
		"a queue":                    {AggregateLeast, func(a *PoolAggregate) { a.Queued = 40 }, true},
		"a replica went":             {time.Second, func(a *PoolAggregate) { a.Routable, a.Free, a.Queued = 9, 90, 18 }, true},
		"a replica is ejected":       {time.Second, func(a *PoolAggregate) { a.Unhealthy = 2 }, true},
		"another version": {time.Second, func(a *PoolAggregate) {
			a.Versions = []VersionCount{{Version: 1, Replicas: 9, Free: 90}, {Version: 2, Replicas: 1, Free: 10}}
		}, true},
		"free places of a version": {time.Second, func(a *PoolAggregate) {
			a.Versions = []VersionCount{{Version: 1, Replicas: 10, Free: 99}}
		}, false},
		"another pool": {time.Second, func(a *PoolAggregate) { a.Pool = "q" }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			teller := NewAggregateTeller()
			if !teller.Due(testStart, first) {
				t.Fatal("the first aggregate is not told")
			}
			next := first
			test.change(&next)
			if got := teller.Due(testStart.Add(test.after), next); got != test.want {
				t.Errorf("told: %v, want %v", got, test.want)
			}
		})
	}
}

// Small changes must not add up to a large one that nobody is told of.
func TestSmallChangesAddUp(t *testing.T) {
	teller := NewAggregateTeller()
	aggregate := PoolAggregate{Pool: "p", Routable: 10, Free: 100}
	told := 0
	for step := range 9 {
		if teller.Due(testStart.Add(time.Duration(step)*AggregateLeast/4), aggregate) {
			told++
		}
		aggregate.Free -= 5
	}
	if told != 3 {
		t.Errorf("told %d times of 40 places lost in steps of 5, want at the start and for each 20", told)
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

// Every (zone, pool) must be relayed by exactly one node, so that a newcomer who
// asks all nodes of its zone hears of each once.
func TestNewcomerHearsOfEachAggregateOnce(t *testing.T) {
	nodes := []port.NodeID{"a", "b", "c"}
	aggregates, homes := NewAggregates(), NewAssigner(nodes)
	for _, zone := range []port.ZoneName{"x", "y", "z"} {
		for _, pool := range []port.PoolName{"p", "q"} {
			aggregates.Apply(testStart, PoolAggregate{Zone: zone, Pool: pool, Node: "far", Sequence: 1})
		}
	}
	heard := make(map[string]int)
	for _, node := range nodes {
		for _, aggregate := range aggregates.RelayedBy(node, homes) {
			heard[string(aggregate.Zone)+string(aggregate.Pool)]++
		}
	}
	if len(heard) != 6 {
		t.Errorf("heard of %v, want all six", heard)
	}
	for key, times := range heard {
		if times != 1 {
			t.Errorf("heard of %s %d times", key, times)
		}
	}
}
