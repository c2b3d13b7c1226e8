package weightplan_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/weightplan"
)

func replicas(count int) []sitestate.Replica {
	var list []sitestate.Replica
	for i := range count {
		list = append(list, sitestate.Replica{ID: fmt.Sprintf("i-%d", i)})
	}
	return list
}

func apply(list []sitestate.Replica, changes map[string]string) map[string]int {
	counts := map[string]int{}
	for i := range list {
		if model, changed := changes[list[i].ID]; changed {
			list[i].Model = model
		}
		counts[list[i].Model]++
	}
	return counts
}

func TestAssignDistributesEvenlyWithFewMoves(t *testing.T) {
	models := []string{"a", "b", "c"}
	list := replicas(9)
	counts := apply(list, weightplan.Assign(list, models, nil, true))
	if counts["a"] != 3 || counts["b"] != 3 || counts["c"] != 3 {
		t.Fatalf("counts %v", counts)
	}
	if again := weightplan.Assign(list, models, nil, true); len(again) != 0 {
		t.Errorf("second assignment: %v", again)
	}
	remaining := list[3:] // without one replica of each model
	if changes := weightplan.Assign(remaining, models, nil, true); len(changes) != 0 {
		t.Errorf("changed an even assignment: %v", changes)
	}
	var withoutA []sitestate.Replica
	for _, replica := range list {
		if replica.Model != "a" {
			withoutA = append(withoutA, replica)
		}
	}
	moves := 0
	for changes := weightplan.Assign(withoutA, models, nil, true); len(changes) > 0; changes = weightplan.Assign(withoutA, models, nil, true) {
		moves += len(changes)
		apply(withoutA, changes)
	}
	if counts := apply(withoutA, nil); counts["a"] != 2 || moves != 2 {
		t.Errorf("counts %v after %d moves", counts, moves)
	}
	if changes := weightplan.Assign(remaining[1:], models, map[string]float64{"a": 1}, false); len(changes) != 0 {
		t.Errorf("moved without mayMove: %v", changes)
	}
}

func TestAssignFollowsDemandAndLeavesNoModelOut(t *testing.T) {
	models := []string{"a", "b", "c"}
	for _, row := range []struct {
		count  int
		demand map[string]float64
		want   map[string]int
	}{
		{9, map[string]float64{"a": 16, "b": 40, "c": 44}, map[string]int{"a": 2, "b": 3, "c": 4}},
		{7, map[string]float64{"a": 16, "b": 40, "c": 44}, map[string]int{"a": 1, "b": 3, "c": 3}},
		{6, map[string]float64{"c": 1}, map[string]int{"a": 1, "b": 1, "c": 4}},
		{2, map[string]float64{"b": 1, "c": 1}, map[string]int{"b": 1, "c": 1}},
	} {
		list := replicas(row.count)
		apply(list, weightplan.Assign(list, models, nil, true))
		for range 20 {
			apply(list, weightplan.Assign(list, models, row.demand, true))
		}
		counts := apply(list, nil)
		if row.count < len(models) {
			continue // too few replicas for the models: checks only that it converges
		}
		for model, want := range row.want {
			if counts[model] != want {
				t.Errorf("%d replicas, demand %v: %v, want %v", row.count, row.demand, counts, row.want)
				break
			}
		}
		if changes := weightplan.Assign(list, models, row.demand, true); len(changes) > 0 {
			t.Errorf("%d replicas, demand %v: does not converge", row.count, row.demand)
		}
	}
}

func serving(versions ...uint64) []sitestate.Replica {
	list := replicas(len(versions))
	for i := range list {
		list[i].Model = "a"
		list[i].Models = []sitestate.ModelVersion{{Name: "a", Version: versions[i]}}
	}
	return list
}

func targets(next []weightplan.Target) []string {
	var ids []string
	for _, target := range next {
		ids = append(ids, target.Replica.ID)
	}
	return ids
}

func TestNextLoadsTheFurthestBehindWithinTheLimits(t *testing.T) {
	limits := weightplan.Limits{Total: 2, Share: 0.5}
	for _, row := range []struct {
		name     string
		serving  []uint64
		newest   uint64
		loading  weightplan.Loading
		expected []string
	}{
		{"oldest first", []uint64{4, 3, 2, 1}, 4, nil, []string{"i-3", "i-2"}},
		{"total limit", []uint64{4, 3, 2, 1}, 4, weightplan.Loading{"i-3": "a"}, []string{"i-2"}},
		{"half may be one version behind", []uint64{4, 4, 3, 3}, 4, nil, nil},
		{"too few have the newest", []uint64{4, 3, 3, 3}, 4, nil, []string{"i-1"}},
		{"two versions behind always loads", []uint64{4, 4, 4, 2}, 4, nil, []string{"i-3"}},
		{"share limits usable replicas", []uint64{3, 3, 3, 3}, 4, weightplan.Loading{"i-0": "a", "i-1": "a"}, nil},
		{"share does not limit outdated replicas", []uint64{2, 2, 3, 3}, 4, weightplan.Loading{"i-0": "a"}, []string{"i-1"}},
		{"single replica loads each version", []uint64{3}, 4, nil, []string{"i-0"}},
		{"nothing published", []uint64{1, 1}, 0, nil, nil},
	} {
		next := weightplan.Next(serving(row.serving...), map[string]uint64{"a": row.newest}, row.loading, limits)
		if got := targets(next); !slices.Equal(got, row.expected) {
			t.Errorf("%s: %v, want %v", row.name, got, row.expected)
		}
	}
}

func TestOnlyNeededReplicasLoad(t *testing.T) {
	limits := weightplan.Limits{Total: 100, Share: 1}
	versions := map[string]uint64{"a": 4}
	for _, row := range []struct {
		name    string
		serving []uint64
		needed  map[string]int
		want    []string
	}{
		{"all are needed by default", []uint64{2, 2, 2, 2, 2, 2}, nil, []string{"i-0", "i-1", "i-2", "i-3", "i-4", "i-5"}},
		{"newest weights are kept up to date", []uint64{1, 2, 1, 2, 2, 1}, map[string]int{"a": 3}, []string{"i-1", "i-3", "i-4"}},
		{"minimum for a model without work", []uint64{2, 2, 2, 2, 2, 2}, map[string]int{}, []string{"i-0", "i-1", "i-2", "i-3"}},
		{"half of the needed at the newest, the rest one behind", []uint64{4, 4, 3, 3, 1, 1}, map[string]int{"a": 4}, nil},
		{"more work needs more replicas", []uint64{4, 4, 3, 3, 1, 1}, map[string]int{"a": 6}, []string{"i-4", "i-5"}},
	} {
		limits.Needed = row.needed
		if got := targets(weightplan.Next(serving(row.serving...), versions, nil, limits)); !slices.Equal(got, row.want) {
			t.Errorf("%s: %v, want %v", row.name, got, row.want)
		}
	}
	limits.Needed = map[string]int{"a": 1}
	if got := targets(weightplan.Next(serving(3, 3), versions, weightplan.Loading{"i-1": "a"}, limits)); len(got) != 0 {
		t.Errorf("the only needed replica is loading, and %v start", got)
	}
}

func TestNeededReplicasIncludeReserve(t *testing.T) {
	needed := weightplan.NeededReplicas(map[string]int{"idle": 0, "busy": 120}, 8)
	if needed["idle"] != weightplan.MinNeeded || needed["busy"] != 23 {
		t.Errorf("needed %v", needed)
	}
}

// TestReplicasInBackoffDoNotBlockLoads checks that replicas in backoff, though furthest
// behind, do not block the loads of others.
func TestReplicasInBackoffDoNotBlockLoads(t *testing.T) {
	limits := weightplan.Limits{Total: 2, Share: 0.34, InBackoff: map[string]bool{"i-0": true, "i-1": true}}
	list := serving(1, 1, 4, 4, 4, 4)
	if got := targets(weightplan.Next(list, map[string]uint64{"a": 5}, nil, limits)); !slices.Equal(got, []string{"i-2"}) {
		t.Errorf("loading %v", got)
	}
	if list[0].ID != "i-0" || list[5].ID != "i-5" {
		t.Error("the caller's replicas were modified")
	}
	limits.InBackoff["i-0"] = false
	if got := targets(weightplan.Next(list, map[string]uint64{"a": 5}, nil, limits)); !slices.Equal(got, []string{"i-0"}) {
		t.Errorf("loading %v after the backoff", got)
	}
}

// BenchmarkPlan measures planning the loads of a service once.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{10, 350, 3500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			versions := make([]uint64, count)
			for i := range versions {
				versions[i] = uint64(3 + i%2)
			}
			list := serving(versions...)
			limits := weightplan.Limits{Total: max(2, count/5), Share: 0.34, Needed: map[string]int{"a": 40}}
			b.ReportAllocs()
			for b.Loop() {
				if changes := weightplan.Assign(list, []string{"a"}, nil, true); len(changes) > 0 {
					b.Fatal("assignment changed")
				}
				weightplan.Next(list, map[string]uint64{"a": 4}, nil, limits)
			}
		})
	}
}
