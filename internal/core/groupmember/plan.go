package groupmember

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Limits say how many voters a group wants and when a silent one is replaced.
type Limits struct {
	// Voters is the wanted number, an odd one.
	Voters int
	// LeastVoters is how many must stay when a member leaves on request.
	LeastVoters int
	// ReplaceTicks is how long a voter is silent before a caught-up learner
	// takes its place.
	ReplaceTicks uint64
	// ForgetTicks is how long a learner is silent before it is removed.
	ForgetTicks uint64
	// Learners is how many members without a vote are wanted, or AnyNumber.
	Learners int
	// VacantTicks is how long a member is silent before another machine may have
	// its place.
	VacantTicks uint64
}

// AnyNumber of learners are taken in: a group whose machines all follow its log.
const AnyNumber = -1

// Change is one step towards the wanted membership.
type Change struct {
	Kind   consensus.MembershipChangeKind
	Member consensus.MemberID
	// Transfer asks the leader to hand over leadership first: it is to leave
	// itself.
	Transfer bool
}

// Plan gives the next change of a settled leader's group, if one is due.
// Leaving holds the names of machines that are to be emptied. One change at a
// time is made; the next is planned once it is committed.
func Plan(status consensus.Status, records []Record, leaving map[string]bool, limits Limits) (Change, bool) {
	group := survey(status, records, leaving, limits)
	for _, rule := range []func() (Change, bool){
		group.removeSuperseded,
		group.promote,
		group.removeLeaving,
		group.removeDead,
		group.removeSurplus,
		group.forgetLearner,
	} {
		if change, due := rule(); due {
			return change, true
		}
	}
	return Change{}, false
}

// member is what a plan weighs of one member.
type member struct {
	record     Record
	voter      bool
	self       bool
	active     bool
	caughtUp   bool
	silent     uint64
	leaving    bool
	superseded bool
}

type groupView struct {
	limits  Limits
	members []member
}

func survey(status consensus.Status, records []Record, leaving map[string]bool, limits Limits) *groupView {
	group := &groupView{limits: limits}
	newest := map[string]consensus.MemberID{}
	for _, record := range records {
		if status.Membership.Contains(record.ID) {
			newest[record.Address] = max(newest[record.Address], record.ID)
		}
	}
	for _, record := range records {
		if !status.Membership.Contains(record.ID) {
			continue
		}
		current := member{
			record: record, voter: status.Membership.IsVoter(record.ID), self: record.ID == status.ID,
			leaving: leaving[record.Name], superseded: newest[record.Address] != record.ID,
		}
		if current.self {
			current.active, current.caughtUp = true, true
		}
		if i := slices.IndexFunc(status.Progress, func(peer consensus.PeerStatus) bool { return peer.ID == record.ID }); i >= 0 {
			peer := status.Progress[i]
			current.active, current.caughtUp, current.silent = peer.Active, peer.CaughtUp, peer.TicksSinceContact
		}
		group.members = append(group.members, current)
	}
	return group
}

func (g *groupView) voters() int {
	return g.count(func(m member) bool { return m.voter })
}

func (g *groupView) count(match func(member) bool) int {
	count := 0
	for _, current := range g.members {
		if match(current) {
			count++
		}
	}
	return count
}

func (g *groupView) find(match func(member) bool) (member, bool) {
	i := slices.IndexFunc(g.members, match)
	if i < 0 {
		return member{}, false
	}
	return g.members[i], true
}

// dead reports whether a voter is to be replaced: it has been silent for long, or
// for long enough that its place was given to a learner that is ready now.
func (g *groupView) dead(m member) bool {
	if !m.voter || m.self {
		return false
	}
	succeeded := g.limits.Learners != AnyNumber && g.count(ready) > g.limits.Learners
	return m.silent >= g.limits.ReplaceTicks || succeeded && m.silent >= g.limits.VacantTicks
}

func ready(m member) bool { return !m.voter && m.caughtUp && !m.leaving && !m.superseded }

// removeSuperseded takes out a member whose machine came back with an empty
// folder under a new id: what it once made durable is gone. It waits where that would
// leave a quorum too small to outlive the losses that the group is to bear: until a
// learner has caught up nothing could be accepted, which is 3.6 s for 35 MB of jobs after
// the loss of two disks.
func (g *groupView) removeSuperseded() (Change, bool) {
	old, found := g.find(func(m member) bool { return m.superseded })
	if !found || old.voter && g.shrinksQuorumTooFar() {
		return Change{}, false
	}
	return Change{Kind: consensus.RemoveMember, Member: old.record.ID}, true
}

// shrinksQuorumTooFar reports whether one voter less would make a quorum that is large
// enough too small.
func (g *groupView) shrinksQuorumTooFar() bool {
	least := quorum(g.limits.LeastVoters)
	return quorum(g.voters()) >= least && quorum(g.voters()-1) < least
}

// quorum gives the size of a majority of so many voters.
func quorum(voters int) int { return voters/2 + 1 }

// promote makes a caught-up learner a voter: while voters are missing, or in
// place of one that is dead or leaves. An even number of voters is passed
// through, not kept: a second learner or a removal follows.
func (g *groupView) promote() (Change, bool) {
	learners := g.count(ready)
	learner, found := g.find(ready)
	if !found {
		return Change{}, false
	}
	voters := g.voters()
	useful := g.count(func(m member) bool { return m.voter && !m.leaving && !g.dead(m) })
	missing := voters < g.limits.Voters && (voters%2 == 0 || learners > 1)
	if !missing && (useful >= voters || useful >= g.limits.Voters || voters > g.limits.Voters) {
		return Change{}, false
	}
	return Change{Kind: consensus.PromoteLearner, Member: learner.record.ID}, true
}

// removeLeaving takes out a member whose machine is to be emptied, once enough
// others are voters, caught up and in touch.
func (g *groupView) removeLeaving() (Change, bool) {
	leaver, found := g.find(func(m member) bool { return m.leaving })
	if !found {
		return Change{}, false
	}
	whole := g.count(func(m member) bool { return m.voter && !m.leaving && m.active && m.caughtUp })
	if leaver.voter && whole < g.limits.LeastVoters {
		return Change{}, false
	}
	return Change{Kind: consensus.RemoveMember, Member: leaver.record.ID, Transfer: leaver.self}, true
}

// removeDead takes out a silent voter once a learner has taken its place.
func (g *groupView) removeDead() (Change, bool) {
	silent, found := g.find(g.dead)
	if !found {
		return Change{}, false
	}
	others := g.count(func(m member) bool { return m.voter && !g.dead(m) })
	if others < g.limits.Voters && !(g.voters()%2 == 0 && others >= g.limits.LeastVoters) {
		return Change{}, false
	}
	return Change{Kind: consensus.RemoveMember, Member: silent.record.ID}, true
}

// removeSurplus brings voters back to the wanted number.
func (g *groupView) removeSurplus() (Change, bool) {
	if g.voters() <= g.limits.Voters {
		return Change{}, false
	}
	surplus, found := g.find(func(m member) bool { return m.voter && !m.self && !m.active })
	if !found {
		surplus, found = g.find(func(m member) bool { return m.voter && !m.self })
	}
	return Change{Kind: consensus.RemoveMember, Member: surplus.record.ID}, found
}

// forgetLearner takes out a learner that has been silent for long.
func (g *groupView) forgetLearner() (Change, bool) {
	silent, found := g.find(func(m member) bool { return !m.voter && !m.self && m.silent >= g.limits.ForgetTicks })
	return Change{Kind: consensus.RemoveMember, Member: silent.record.ID}, found
}
