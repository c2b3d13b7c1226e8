package groupmember

import "github.com/loomgrade/loomgrade/internal/core/consensus"

// HasRoom reports whether a settled leader's group takes a machine in as a
// learner. Each new member costs the leader all that the group holds, so there are
// as many places as voters and learners are wanted. A member that is silent, that
// leaves, or whose machine came back under a newer id holds none: what is dead must
// not keep its successor out. A machine at the address of a member is always taken.
func HasRoom(status consensus.Status, records []Record, leaving map[string]bool, address string, limits Limits) bool {
	if limits.Learners == AnyNumber {
		return true
	}
	group := survey(status, records, leaving, limits)
	if _, known := group.find(func(m member) bool { return m.record.Address == address }); known {
		return true
	}
	taken := group.count(func(m member) bool {
		return !m.leaving && !m.superseded && (m.self || m.silent < limits.VacantTicks)
	})
	return taken < limits.Voters+limits.Learners
}
