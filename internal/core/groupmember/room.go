package groupmember

import "github.com/loomgrade/loomgrade/internal/core/consensus"

// HasRoom reports whether a settled leader's group takes a machine in as a
// learner. Each new member costs the leader all that the group holds, so there are
// as many places as voters and learners are wanted. A machine at the address of a
// member is always taken.
func HasRoom(status consensus.Status, records []Record, leaving map[string]bool, address string, limits Limits) bool {
	if limits.Learners == AnyNumber {
		return true
	}
	group := survey(status, records, leaving, limits)
	if _, known := group.find(func(m member) bool { return m.record.Address == address }); known {
		return true
	}
	return group.vacant() > 0
}

// Vacant gives how many further machines a settled leader's group takes in, 0 if it
// takes in any number of them.
func Vacant(status consensus.Status, records []Record, leaving map[string]bool, limits Limits) int {
	if limits.Learners == AnyNumber {
		return 0
	}
	return survey(status, records, leaving, limits).vacant()
}

// vacant counts the places that nobody holds. A member that is silent, that leaves,
// or whose machine came back under a newer id holds none: what is dead must not keep
// its successor out.
func (g *groupView) vacant() int {
	taken := g.count(func(m member) bool {
		return !m.leaving && !m.superseded && (m.self || m.silent < g.limits.VacantTicks)
	})
	return max(0, g.limits.Voters+g.limits.Learners-taken)
}
