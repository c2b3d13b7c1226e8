package chaos

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// adminInterval is the interval at which the admin checks for lost machines.
const adminInterval = 2 * time.Second

// admin replaces lost machines: it adds a new one as a learner, removes the lost one and
// promotes the learner once it has caught up.
type admin struct {
	world *World
	// replacement is the machine being added, or nil.
	replacement *machine
	// learner is set if the replaced machine was a learner.
	learner bool
	// repaired counts completed replacements.
	repaired int
}

func (a *admin) schedule() { a.world.after(adminInterval, a.check) }

func (a *admin) check() {
	a.schedule()
	leader := a.world.leader()
	if leader == nil || !leader.member.QuorumActive() {
		return
	}
	membership := leader.member.Status().Membership
	lost := a.lostMember(membership)
	a.dropLostReplacement()
	switch {
	case a.replacement == nil && lost != nil:
		a.replacement = a.world.addMachine(consensus.Membership{})
		a.learner = membership.IsLearner(lost.id)
		a.replacement.start()
		a.propose(leader, consensus.AddLearner, a.replacement.id)
	case a.replacement == nil:
		return
	case !membership.Contains(a.replacement.id):
		a.propose(leader, consensus.AddLearner, a.replacement.id)
	case lost != nil:
		a.propose(leader, consensus.RemoveMember, lost.id)
	case membership.IsLearner(a.replacement.id) && !a.learner:
		a.propose(leader, consensus.PromoteLearner, a.replacement.id)
	default:
		a.world.tracef("replacement %d is complete", a.replacement.id)
		a.replacement = nil
		a.repaired++
		a.world.faults.onRepaired()
	}
}

// dropLostReplacement abandons a replacement that was itself lost.
func (a *admin) dropLostReplacement() {
	if a.replacement != nil && a.replacement.lost {
		a.replacement = nil
	}
}

// lostMember returns a member whose machine is lost, or nil.
func (a *admin) lostMember(membership consensus.Membership) *machine {
	for _, id := range membership.Members() {
		if machine := a.world.machine(id); machine.lost {
			return machine
		}
	}
	return nil
}

func (a *admin) propose(leader *machine, kind consensus.MembershipChangeKind, id consensus.MemberID) {
	change := consensus.MembershipChange{Kind: kind, Member: id, Context: []byte("10.0.0.3:7000")}
	leader.process(func() {
		token := a.world.token()
		leader.callers[token] = func(reply response) {
			if reply.err != nil {
				a.world.tracef("membership change %d of member %d: %v", kind, id, reply.err)
			}
		}
		leader.member.ChangeMembership(token, change)
	})
}
