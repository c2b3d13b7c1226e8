package weightplan

import (
	"cmp"
	"maps"
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// replicaGroup identifies replicas that a plan does not distinguish.
type replicaGroup struct {
	model   string
	version uint64
}

// selector selects the replicas that a plan considers: those that are loading, and as many as
// each model needs, newest weights first. It sorts groups, which are few, instead of replicas.
type selector struct {
	loading Loading
	limits  Limits
	// remaining is the number of replicas still to select from each group; unused if all are
	// needed.
	remaining map[replicaGroup]int
}

func newSelector(replicas []sitestate.Replica, loading Loading, limits Limits) *selector {
	s := &selector{loading: loading, limits: limits}
	if limits.Needed != nil {
		s.allocate(replicas)
	}
	return s
}

// allocate distributes each model's needed replicas to its groups, newest weights first.
func (s *selector) allocate(replicas []sitestate.Replica) {
	counts, busy := map[replicaGroup]int{}, map[string]int{}
	for i := range replicas {
		replica := &replicas[i]
		switch {
		case s.limits.InBackoff[replica.ID]:
		case s.busy(replica.ID):
			busy[replica.Model]++
		default:
			counts[groupOf(replica)]++
		}
	}
	newestFirst := slices.SortedFunc(maps.Keys(counts), func(a, b replicaGroup) int { return cmp.Compare(b.version, a.version) })
	s.remaining = make(map[replicaGroup]int, len(counts))
	allocated := busy
	for _, group := range newestFirst {
		s.remaining[group] = max(0, min(counts[group], s.needed(group.model)-allocated[group.model]))
		allocated[group.model] += s.remaining[group]
	}
}

func (s *selector) busy(id string) bool {
	_, busy := s.loading[id]
	return busy
}

func (s *selector) needed(model string) int {
	return s.limits.needed(model)
}

func groupOf(replica *sitestate.Replica) replicaGroup {
	return replicaGroup{model: replica.Model, version: replica.VersionOf(replica.Model)}
}

// selects reports whether the plan considers a replica. It must be called once per replica, in
// list order.
func (s *selector) selects(replica *sitestate.Replica) bool {
	if s.limits.InBackoff[replica.ID] {
		return false
	}
	if s.limits.Needed == nil || s.busy(replica.ID) {
		return true
	}
	group := groupOf(replica)
	if s.remaining[group] == 0 {
		return false
	}
	s.remaining[group]--
	return true
}
