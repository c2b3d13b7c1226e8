package weightplan_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/weightplan"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

// replicaWith returns a replica with an assigned model and versions of a and b.
func replicaWith(id, model string, a, b uint64) sitestate.Replica {
	return sitestate.Replica{ID: id, Model: model, Models: []sitestate.ModelVersion{{Name: "a", Version: a}, {Name: "b", Version: b}}}
}

// formatLoads formats targets as replica:model, sorted.
func formatLoads(targets []weightplan.Target) []string {
	var names []string
	for _, target := range targets {
		names = append(names, target.Replica.ID+":"+target.Model)
	}
	slices.Sort(names)
	return names
}

func TestExtraLoads(t *testing.T) {
	all := []sitestate.Replica{
		replicaWith("a0", "a", 5, 1), replicaWith("a1", "a", 5, 1),
		replicaWith("b0", "b", 1, 5), replicaWith("b1", "b", 1, 5),
	}
	for _, row := range []struct {
		name      string
		list      []sitestate.Replica
		needed    map[string]int
		loading   weightplan.Loading
		started   []weightplan.Target
		inBackoff map[string]bool
		total     int
		want      []string
	}{
		{name: "own replicas suffice", list: all, needed: map[string]int{"a": 2, "b": 2}, total: 8},
		{name: "no needs set", list: all, total: 8},
		{name: "single model", list: all[:2], needed: map[string]int{"a": 9}, total: 8},
		{
			name:   "model with too few replicas gets another",
			list:   []sitestate.Replica{replicaWith("a0", "a", 4, 1), replicaWith("a1", "a", 5, 1), all[2], all[3]},
			needed: map[string]int{"a": 4, "b": 2}, total: 8, want: []string{"b0:a"},
		},
		{
			name: "limit per version reached", list: all,
			needed: map[string]int{"a": 4, "b": 2}, total: 8,
		},
		{
			name:   "limit of all loads reached",
			list:   []sitestate.Replica{replicaWith("a0", "a", 4, 1), replicaWith("a1", "a", 4, 1), all[2], all[3]},
			needed: map[string]int{"a": 4, "b": 2}, total: 1, loading: weightplan.Loading{"a1": "a"},
		},
		{
			name:   "loads of Next are counted",
			list:   []sitestate.Replica{replicaWith("a0", "a", 4, 1), replicaWith("a1", "a", 4, 1), all[2], all[3]},
			needed: map[string]int{"a": 4, "b": 2}, total: 8,
			started: []weightplan.Target{{Replica: replicaWith("a0", "a", 4, 1), Model: "a", Version: 5}}, want: []string{"b0:a"},
		},
		{
			name:   "replica in backoff is skipped and replaced",
			list:   []sitestate.Replica{replicaWith("a0", "a", 4, 1), replicaWith("a1", "a", 5, 1), all[2], all[3]},
			needed: map[string]int{"a": 4, "b": 2}, total: 8, inBackoff: map[string]bool{"b0": true}, want: []string{"a1:b", "b1:a"},
		},
		{
			name:   "prefers a replica whose assigned model is up to date",
			list:   []sitestate.Replica{replicaWith("a0", "a", 4, 1), replicaWith("a1", "a", 5, 1), replicaWith("b0", "b", 1, 4), all[3]},
			needed: map[string]int{"a": 4, "b": 2}, total: 8, want: []string{"b1:a"},
		},
		{
			name:   "prefers a replica that cannot serve the model",
			list:   []sitestate.Replica{replicaWith("a0", "a", 4, 1), replicaWith("a1", "a", 5, 1), replicaWith("b0", "b", 4, 5), all[3]},
			needed: map[string]int{"a": 4, "b": 2}, total: 8, want: []string{"b1:a"},
		},
	} {
		limits := weightplan.Limits{Total: row.total, Share: 0.34, Needed: row.needed, InBackoff: row.inBackoff}
		got := formatLoads(weightplan.ExtraLoads(row.list, map[string]uint64{"a": 5, "b": 5}, row.loading, row.started, limits))
		if !slices.Equal(got, row.want) {
			t.Errorf("%s: %v, want %v", row.name, got, row.want)
		}
	}
}

// TestExtraLoadsStayWithinLimits checks that a replica gets at most one load and that the limits of
// all loads and of each version hold.
func TestExtraLoadsStayWithinLimits(t *testing.T) {
	models := []string{"a", "b", "c"}
	testkit.Check(t, 16, func(r *rapid.T) {
		versions := map[string]uint64{}
		needed := map[string]int{}
		for _, model := range models {
			versions[model] = rapid.Uint64Range(1, 6).Draw(r, "published")
			needed[model] = rapid.IntRange(1, 12).Draw(r, "needed")
		}
		var list []sitestate.Replica
		loading := weightplan.Loading{}
		for i := range rapid.IntRange(1, 12).Draw(r, "replicas") {
			replica := sitestate.Replica{ID: fmt.Sprint("i-", i), Model: rapid.SampledFrom(models).Draw(r, "kept")}
			for _, model := range models {
				version := rapid.Uint64Range(1, versions[model]).Draw(r, "version")
				replica.Models = append(replica.Models, sitestate.ModelVersion{Name: model, Version: version})
			}
			if rapid.IntRange(0, 4).Draw(r, "busy") == 0 {
				loading[replica.ID] = rapid.SampledFrom(models).Draw(r, "loads")
			}
			list = append(list, replica)
		}
		limits := weightplan.Limits{Total: rapid.IntRange(0, 6).Draw(r, "total"), Share: 0.34, Needed: needed}
		started := weightplan.Next(list, versions, loading, limits)
		targets := weightplan.ExtraLoads(list, versions, loading, started, limits)
		if len(targets) > 0 && len(loading)+len(started)+len(targets) > limits.Total {
			r.Fatalf("%d loading, %d from Next and %d from ExtraLoads exceed the limit of %d", len(loading), len(started), len(targets), limits.Total)
		}
		hasLoad := map[string]bool{}
		for _, target := range append(slices.Clone(started), targets...) {
			if _, busy := loading[target.Replica.ID]; busy || hasLoad[target.Replica.ID] {
				r.Fatalf("%s gets a second load", target.Replica.ID)
			}
			hasLoad[target.Replica.ID] = true
			if target.Replica.VersionOf(target.Model) >= versions[target.Model] {
				r.Fatalf("%s already has the version to load", target.Replica.ID)
			}
		}
		for _, target := range started {
			loading[target.Replica.ID] = target.Model
		}
		assigned := map[string]bool{}
		for _, replica := range list {
			assigned[replica.Model] = true
		}
		for _, target := range targets {
			loading[target.Replica.ID] = target.Model
		}
		for _, target := range targets {
			newest := 0
			for _, replica := range list {
				if loading[replica.ID] == target.Model || replica.VersionOf(target.Model) >= versions[target.Model] {
					newest++
				}
			}
			if newest > max(1, len(list)/len(assigned)) {
				r.Fatalf("%d replicas have or load %s, too many for %d replicas and %d models", newest, target.Model, len(list), len(assigned))
			}
		}
	})
}

// BenchmarkExtraLoads measures ExtraLoads for replicas with many models, half of which need more
// replicas.
func BenchmarkExtraLoads(b *testing.B) {
	const models = 16
	for _, count := range []int{44, 3500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			versions, needed := map[string]uint64{}, map[string]int{}
			for m := range models {
				versions[fmt.Sprint("m", m)] = 9
				needed[fmt.Sprint("m", m)] = 2 * count / models * (m % 2)
			}
			var list []sitestate.Replica
			for i := range count {
				replica := sitestate.Replica{ID: fmt.Sprint("i-", i), Model: fmt.Sprint("m", i%models)}
				for m := range models {
					replica.Models = append(replica.Models, sitestate.ModelVersion{Name: fmt.Sprint("m", m), Version: uint64(6 + (i+m)%4)})
				}
				list = append(list, replica)
			}
			limits := weightplan.Limits{Total: max(2, count/5), Share: 0.34, Needed: needed}
			for b.Loop() {
				weightplan.ExtraLoads(list, versions, nil, nil, limits)
			}
		})
	}
}
