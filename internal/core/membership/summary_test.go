package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

func TestOldSummariesAreDropped(t *testing.T) {
	tests := map[string]struct {
		incarnation, sequence uint64
		want                  bool
	}{
		"duplicate":                 {5, 7, false},
		"earlier":                   {5, 6, false},
		"later":                     {5, 8, true},
		"earlier process":           {4, 99, false},
		"later process, sequence 1": {6, 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			summaries, aggregates := NewSummaries(), NewAggregates()
			summaries.Apply(testStart, HomeSummary{Node: "n", Incarnation: 5, Sequence: 7})
			aggregates.Apply(testStart, PoolAggregate{Node: "n", Incarnation: 5, Sequence: 7})
			next := HomeSummary{Node: "n", Incarnation: test.incarnation, Sequence: test.sequence, Replicas: []ReplicaSummary{{Replica: "r"}}}
			if got := summaries.Apply(testStart, next); got != test.want {
				t.Errorf("summary stored %v, want %v", got, test.want)
			}
			if _, _, found := summaries.Replica(testStart, "n", "r"); found != test.want {
				t.Errorf("replica of the new summary found %v, want %v", found, test.want)
			}
			aggregate := PoolAggregate{Node: "n", Incarnation: test.incarnation, Sequence: test.sequence}
			if got := aggregates.Apply(testStart, aggregate); got != test.want {
				t.Errorf("aggregate stored %v, want %v", got, test.want)
			}
		})
	}
}

// If two homes report on one replica, only the current home's report counts.
func TestOnlyCurrentHomeCounts(t *testing.T) {
	homes := NewAssigner(nodeIDs(2))
	home, _ := homes.Home("r")
	former := nodeIDs(2)[0]
	if former == home {
		former = nodeIDs(2)[1]
	}
	summaries := NewSummaries()
	summaries.Apply(testStart, HomeSummary{Node: former, Sequence: 9, Replicas: []ReplicaSummary{{Replica: "r", Pool: "p", Inflight: 9}}})
	summaries.Apply(testStart, HomeSummary{Node: home, Sequence: 1, Replicas: []ReplicaSummary{{Replica: "r", Pool: "p", Inflight: 1}}})
	visits := 0
	summaries.Each(testStart.Add(time.Second), homes, func(node port.NodeID, replica *ReplicaSummary, age time.Duration) {
		visits++
		if node != home || replica.Inflight != 1 || age != time.Second {
			t.Errorf("visited %s of %s, age %v", replica.Replica, node, age)
		}
	})
	if visits != 1 {
		t.Errorf("%d visits, want one", visits)
	}
	summaries.Retain([]port.NodeID{former})
	summaries.Each(testStart, homes, func(port.NodeID, *ReplicaSummary, time.Duration) { t.Error("visited a former home") })
}

func TestAggregateCountsWhatIsRoutable(t *testing.T) {
	homes := NewAssigner([]port.NodeID{"n"})
	summaries := NewSummaries()
	summaries.Apply(testStart, HomeSummary{Node: "n", Sequence: 1, Replicas: []ReplicaSummary{
		{Replica: "a", Pool: "lm", Version: 5, Limit: 8, Inflight: 3, Queued: 2},
		{Replica: "b", Pool: "lm", Version: 4, Limit: 8, Inflight: 9},
		{Replica: "c", Pool: "lm", Version: 5, Limit: 8},
		{Replica: "d", Pool: "lm", Version: 5, Limit: 8, Ejected: true},
		{Replica: "e", Pool: "lm", Version: 5, Limit: 8, Probing: true},
		{Replica: "f", Pool: "lm", Version: 5, Limit: 8, Draining: true},
		{Replica: "g", Pool: "lm", Version: 5, Limit: 8, Leaving: true},
		{Replica: "h", Pool: "lm", Version: 5, Limit: 8, VersionUnknown: true},
		{Replica: "i", Pool: "api", Limit: 4},
	}})
	got := summaries.Aggregate(testStart, homes)
	if len(got) != 2 || got[0].Pool != "api" || got[0].Free != 4 {
		t.Fatalf("aggregates %+v", got)
	}
	lm := got[1]
	versions := []VersionCount{{Version: 4, Replicas: 1, Free: 0}, {Version: 5, Replicas: 2, Free: 13}}
	if lm.Replicas != 8 || lm.Routable != 3 || lm.Free != 13 || lm.Queued != 2 || lm.Unhealthy != 2 || !slices.Equal(lm.Versions, versions) {
		t.Errorf("aggregate %+v, want versions %+v", lm, versions)
	}
}

func TestAggregatesOfOtherZones(t *testing.T) {
	aggregates := NewAggregates()
	later := testStart.Add(10 * time.Second)
	aggregates.Apply(testStart, PoolAggregate{Zone: "old", Pool: "lm", Node: "a", Sequence: 1, Free: 99})
	aggregates.Apply(later, PoolAggregate{Zone: "east", Pool: "lm", Node: "b", Sequence: 5, Free: 1})
	aggregates.Apply(later, PoolAggregate{Zone: "east", Pool: "lm", Node: "c", Sequence: 1, Free: 2})
	aggregates.Apply(later, PoolAggregate{Zone: "west", Pool: "lm", Node: "d", Sequence: 1, Free: 3})
	aggregates.Apply(later, PoolAggregate{Zone: "west", Pool: "api", Node: "d", Sequence: 1, Free: 9})
	var free []int
	for _, aggregate := range aggregates.Pool(later, "lm", 5*time.Second) {
		free = append(free, aggregate.Free)
	}
	if !slices.Equal(free, []int{3, 2}) {
		t.Errorf("free slots %v, want the recent zones in descending order", free)
	}
}

func TestSummaryIntervalKeepsTheBudget(t *testing.T) {
	for _, test := range []struct {
		peers, bytes, budget int
		want                 time.Duration
	}{{19, 200, 8000, time.Second}, {99, 200, 6600, 3 * time.Second}, {99, 200, 0, time.Second}, {0, 200, 100, time.Second}} {
		if got := SummaryInterval(time.Second, test.peers, test.bytes, test.budget); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
}

func TestCapacity(t *testing.T) {
	tests := map[string]struct {
		summary  ReplicaSummary
		capacity int
		routable bool
	}{
		"healthy":         {ReplicaSummary{Limit: 8}, 8, true},
		"probed":          {ReplicaSummary{Limit: 8, Probing: true}, 1, false},
		"ejected":         {ReplicaSummary{Limit: 8, Ejected: true}, 0, false},
		"leaving":         {ReplicaSummary{Limit: 8, Leaving: true, Probing: true}, 0, false},
		"draining":        {ReplicaSummary{Limit: 8, Draining: true}, 0, false},
		"unknown version": {ReplicaSummary{Limit: 8, VersionUnknown: true}, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := test.summary.Capacity(); got != test.capacity {
				t.Errorf("capacity %d, want %d", got, test.capacity)
			}
			if got := test.summary.Routable(); got != test.routable {
				t.Errorf("routable %v", got)
			}
		})
	}
}

// The cache of Pool must follow every summary, loss of a home and change of homes.
func TestPoolVisitsSameReplicasAsEach(t *testing.T) {
	testkit.Check(t, 11, func(t *rapid.T) {
		nodes := []port.NodeID{"a", "b", "c", "d"}
		pools := []port.PoolName{"p", "q"}
		summaries, now, homes := NewSummaries(), testStart, NewAssigner(nodes)
		sequence := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"summary": func(t *rapid.T) {
				sequence++
				summary := HomeSummary{Node: rapid.SampledFrom(nodes).Draw(t, "node"), Sequence: sequence}
				for number := range rapid.IntRange(0, 6).Draw(t, "replicas") {
					summary.Replicas = append(summary.Replicas, ReplicaSummary{
						Replica: port.ReplicaID(rune('r' + number)), Pool: rapid.SampledFrom(pools).Draw(t, "pool"), Inflight: int(sequence),
					})
				}
				summaries.Apply(now, summary)
			},
			"homes":  func(t *rapid.T) { homes = NewAssigner(nodes[:rapid.IntRange(1, 4).Draw(t, "live")]) },
			"retain": func(t *rapid.T) { summaries.Retain(nodes[:rapid.IntRange(1, 4).Draw(t, "kept")]) },
			"time":   func(*rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				for _, pool := range pools {
					var want, got []string
					record := func(list *[]string) func(port.NodeID, *ReplicaSummary, time.Duration) {
						return func(home port.NodeID, replica *ReplicaSummary, age time.Duration) {
							if replica.Pool == pool {
								*list = append(*list, fmt.Sprint(home, *replica, age))
							}
						}
					}
					summaries.Each(now, homes, record(&want))
					summaries.Pool(now, homes, pool, record(&got))
					if !slices.Equal(want, got) {
						t.Fatalf("pool %s: got %v, want %v", pool, got, want)
					}
				}
			},
		})
	})
}

// The cached order of a pool's aggregates must follow every new aggregate, and old ones
// must expire.
func TestAggregatesOfAPoolAreInOrder(t *testing.T) {
	aggregates := NewAggregates()
	free := func(now time.Time) (list []int) {
		for _, aggregate := range aggregates.Pool(now, "p", time.Minute) {
			list = append(list, aggregate.Free)
		}
		return list
	}
	apply := func(at time.Time, zone port.ZoneName, sequence uint64, slots int) {
		aggregates.Apply(at, PoolAggregate{Zone: zone, Pool: "p", Node: "n", Sequence: sequence, Free: slots})
	}
	apply(testStart, "x", 1, 3)
	apply(testStart, "y", 1, 5)
	if got := free(testStart); !slices.Equal(got, []int{5, 3}) {
		t.Errorf("free slots %v, want 5 and 3", got)
	}
	later := testStart.Add(40 * time.Second)
	apply(later, "x", 2, 9)
	if got := free(later); !slices.Equal(got, []int{9, 5}) {
		t.Errorf("free slots %v after an update, want 9 and 5", got)
	}
	if got := free(later.Add(40 * time.Second)); !slices.Equal(got, []int{9}) {
		t.Errorf("free slots %v after one expired, want 9", got)
	}
}
