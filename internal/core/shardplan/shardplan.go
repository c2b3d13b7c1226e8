// Package shardplan decides how the jobs of a site are divided into shards: the number of shards,
// the store machines of each, and the shard of a model's jobs. It does no I/O.
//
// Each shard has its own group, whose leader runs the shard's items and limits how many run
// concurrently. A machine is a member of one group.
package shardplan

import (
	"cmp"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// Machine is a store machine.
type Machine struct {
	Name string
	Zone string
}

// Limits are the requirements of a site's shards.
type Limits struct {
	// Voters is the number of machines in a shard's group.
	Voters int
	// Spares is the number of machines reserved outside all groups to replace lost ones; a site
	// with a single shard needs none.
	Spares int
	// SlotsPerShard is the number of replica slots, one item each, that a shard can serve.
	SlotsPerShard int
}

// ShardCount returns the number of shards for a site's store machines and replica slots, at least
// one.
func ShardCount(machines, slots int, limits Limits) int {
	byWork := slots / max(1, limits.SlotsPerShard)
	byMachines := (machines - limits.Spares) / max(1, limits.Voters)
	return max(1, min(byWork, byMachines))
}

// Pick selects up to count free machines for a group with the given members so that the group is
// spread over zones. It selects each machine from the zone with the fewest members and, if
// several zones have as few, from the one with the most free machines.
func Pick(members, free []Machine, count int) []Machine {
	inGroup, available := byZone(members), byZone(free)
	rest := slices.Clone(free)
	var picked []Machine
	for len(picked) < count && len(rest) > 0 {
		best := 0
		for i := range rest {
			if better(rest[i], rest[best], inGroup, available) {
				best = i
			}
		}
		selected := rest[best]
		rest = slices.Delete(rest, best, best+1)
		inGroup[selected.Zone]++
		available[selected.Zone]--
		picked = append(picked, selected)
	}
	return picked
}

func byZone(machines []Machine) map[string]int {
	counts := map[string]int{}
	for _, machine := range machines {
		counts[machine.Zone]++
	}
	return counts
}

func better(a, b Machine, inGroup, available map[string]int) bool {
	return cmp.Or(
		cmp.Compare(inGroup[a.Zone], inGroup[b.Zone]),
		cmp.Compare(available[b.Zone], available[a.Zone]),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

// ShardForModel returns the shard for a new model's jobs: the allowed shard with the fewest
// models, the lowest number if several have as few, or 0 if none is allowed.
func ShardForModel(placed map[string]sitestate.ShardNumber, shards int, allowed func(sitestate.ShardNumber) bool) sitestate.ShardNumber {
	models := map[sitestate.ShardNumber]int{}
	for _, shard := range placed {
		models[shard]++
	}
	best := sitestate.ShardNumber(0)
	for shard := sitestate.ShardNumber(1); int(shard) <= shards; shard++ {
		if allowed(shard) && (best == 0 || models[shard] < models[best]) {
			best = shard
		}
	}
	return best
}
