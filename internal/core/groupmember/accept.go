package groupmember

import "github.com/loomgrade/loomgrade/internal/core/consensus"

// AcceptsLearner reports whether the group of a leader that is ready accepts a machine as a
// learner. The number of slots is limited, as the leader sends each new member the full
// state. A machine with the address of a member is always accepted.
func AcceptsLearner(status consensus.Status, records []Record, leaving map[string]bool, address string, limits Limits) bool {
	if limits.Learners == UnlimitedLearners {
		return true
	}
	group := newGroupView(status, records, leaving, limits)
	if _, found := group.find(func(m member) bool { return m.record.Address == address }); found {
		return true
	}
	return group.freeSlots() > 0
}

// FreeSlots returns how many more machines the group of a leader that is ready accepts, or 0
// if their number is not limited.
func FreeSlots(status consensus.Status, records []Record, leaving map[string]bool, limits Limits) int {
	if limits.Learners == UnlimitedLearners {
		return 0
	}
	return newGroupView(status, records, leaving, limits).freeSlots()
}

// freeSlots counts the unused slots. A member that is unreachable, leaving or superseded
// by a newer id uses none, so that it cannot block its replacement.
func (g *groupView) freeSlots() int {
	used := g.count(func(m member) bool {
		return !m.leaving && !m.superseded && (m.self || m.ticksSinceContact < g.limits.FreeSlotTicks)
	})
	return max(0, g.limits.Voters+g.limits.Learners-used)
}
