package weightplan_test

import (
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/weightplan"
)

// BenchmarkPlanOfAFleet measures one planning cycle of the control leader.
func BenchmarkPlanOfAFleet(b *testing.B) {
	for _, size := range []int{100, 1000, 8000, 16_000} {
		const models = 8
		names, demand, published, placed := []string{}, map[string]float64{}, map[string]uint64{}, map[string]sitestate.ShardNumber{}
		for m := range models {
			name := fmt.Sprint("m", m)
			names = append(names, name)
			demand[name], published[name], placed[name] = 100, 5, sitestate.ShardNumber(m+1)
		}
		var replicas []sitestate.Replica
		for i := range size {
			replica := sitestate.Replica{ID: fmt.Sprint("i-", i), Service: "s", Slots: 6, Model: names[i%models]}
			for _, name := range names {
				replica.Models = append(replica.Models, sitestate.ModelVersion{Name: name, Version: 4})
			}
			replicas = append(replicas, replica)
		}
		limits := weightplan.Limits{Total: size / 5, Share: 0.34, Shards: placed, InBackoff: map[string]bool{}}
		b.Run(fmt.Sprint("assign/", size), func(b *testing.B) {
			for b.Loop() {
				weightplan.Assign(replicas, names, demand, true)
			}
		})
		b.Run(fmt.Sprint("next/", size), func(b *testing.B) {
			for b.Loop() {
				targets := weightplan.Next(replicas, published, weightplan.Loading{}, limits)
				weightplan.ExtraLoads(replicas, published, weightplan.Loading{}, targets, limits)
			}
		})
	}
}
