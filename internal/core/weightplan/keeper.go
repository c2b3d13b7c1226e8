package weightplan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// standing is where replicas stand that are alike to a plan.
type standing struct {
	model   string
	version uint64
}

// keeper picks the replicas that a plan is about: those that their model needs,
// the ones with the newest weights first, and those that load. It puts standings
// in order, of which there are few, and only counts replicas.
type keeper struct {
	loading Loading
	limits  Limits
	// room is how many replicas of each standing are still to be taken; it is
	// not used if all are needed.
	room map[standing]int
}

func newKeeper(replicas []sitestate.Replica, loading Loading, limits Limits) *keeper {
	k := &keeper{loading: loading, limits: limits}
	if limits.Needed != nil {
		k.share(replicas)
	}
	return k
}

// share gives the places of each model to its newest replicas.
func (k *keeper) share(replicas []sitestate.Replica) {
	counts, busy := map[standing]int{}, map[string]int{}
	for i := range replicas {
		replica := &replicas[i]
		switch {
		case k.limits.Resting[replica.ID]:
		case k.busy(replica.ID):
			busy[replica.Model]++
		default:
			counts[standingOf(replica)]++
		}
	}
	newestFirst := slices.SortedFunc(maps.Keys(counts), func(a, b standing) int { return cmp.Compare(b.version, a.version) })
	k.room = make(map[standing]int, len(counts))
	taken := busy
	for _, group := range newestFirst {
		k.room[group] = max(0, min(counts[group], k.needed(group.model)-taken[group.model]))
		taken[group.model] += k.room[group]
	}
}

func (k *keeper) busy(id string) bool {
	_, busy := k.loading[id]
	return busy
}

func (k *keeper) needed(model string) int {
	return k.limits.needed(model)
}

func standingOf(replica *sitestate.Replica) standing {
	return standing{model: replica.Model, version: replica.VersionOf(replica.Model)}
}

// take reports whether the plan is about a replica. Each is asked for once, in
// the order of the list.
func (k *keeper) take(replica *sitestate.Replica) bool {
	if k.limits.Resting[replica.ID] {
		return false
	}
	if k.limits.Needed == nil || k.busy(replica.ID) {
		return true
	}
	group := standingOf(replica)
	if k.room[group] == 0 {
		return false
	}
	k.room[group]--
	return true
}
