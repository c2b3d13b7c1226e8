// Package shardplan decides how the jobs of a site are divided into shards: how many
// there are, which store machines keep each, and which shard a model's jobs go to. It
// is pure.
//
// A shard has a group of its own, whose leader runs its items: one leader's processor
// and memory bound how many items run at once. A machine is a member of one group.
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

// Limits say what a site's shards need.
type Limits struct {
	// Voters is how many machines keep a shard.
	Voters int
	// Spares is how many machines stay outside all groups, to take the places of lost
	// ones; a site with a single shard needs none.
	Spares int
	// PlacesPerShard is how many places of engines, each for one item at a time, a
	// shard is meant for.
	PlacesPerShard int
}

// Wanted gives how many shards a site is to have, given its store machines and the
// places of its engines. There is always one.
func Wanted(machines, places int, limits Limits) int {
	byWork := places / max(1, limits.PlacesPerShard)
	byMachines := (machines - limits.Spares) / max(1, limits.Voters)
	return max(1, min(byWork, byMachines))
}

// Pick takes as many free machines as are asked for, if there are that many, for a
// group that has members already, so that its machines are spread over zones: always
// one of the zone that has the fewest of the group, and of these one of the zone with
// the most free machines.
func Pick(members, free []Machine, count int) []Machine {
	inGroup, left := byZone(members), byZone(free)
	rest := slices.Clone(free)
	var picked []Machine
	for len(picked) < count && len(rest) > 0 {
		best := 0
		for i := range rest {
			if better(rest[i], rest[best], inGroup, left) {
				best = i
			}
		}
		taken := rest[best]
		rest = slices.Delete(rest, best, best+1)
		inGroup[taken.Zone]++
		left[taken.Zone]--
		picked = append(picked, taken)
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

func better(a, b Machine, inGroup, left map[string]int) bool {
	return cmp.Or(
		cmp.Compare(inGroup[a.Zone], inGroup[b.Zone]),
		cmp.Compare(left[b.Zone], left[a.Zone]),
		cmp.Compare(a.Name, b.Name),
	) < 0
}

// For gives the shard that a further model's jobs go to: of those that may keep them the one
// with the fewest models, the first of equals; 0 if there is none.
func For(placed map[string]sitestate.ShardNumber, shards int, may func(sitestate.ShardNumber) bool) sitestate.ShardNumber {
	models := map[sitestate.ShardNumber]int{}
	for _, shard := range placed {
		models[shard]++
	}
	best := sitestate.ShardNumber(0)
	for shard := sitestate.ShardNumber(1); int(shard) <= shards; shard++ {
		if may(shard) && (best == 0 || models[shard] < models[best]) {
			best = shard
		}
	}
	return best
}
