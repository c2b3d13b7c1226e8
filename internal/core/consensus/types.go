package consensus

import (
	"slices"
)

// MemberID identifies one member of the group. An id is never reused, not even for a
// machine that lost its disk.
type MemberID uint64

// None is the zero MemberID, which no member has.
const None MemberID = 0

// EntryKind determines the meaning of an Entry's data.
type EntryKind uint8

const (
	// EntryNormal carries a command of the replicated state machine.
	EntryNormal EntryKind = iota
	// EntryMembership carries an encoded MembershipEntry.
	EntryMembership
	// EntryEmpty is a leader's first entry of a term; it has no data.
	EntryEmpty
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState must be durable before a member sends a message that depends on it.
type HardState struct {
	Term     uint64   `cbor:"1,keyasint,omitempty"`
	VotedFor MemberID `cbor:"2,keyasint,omitempty"`
	Commit   uint64   `cbor:"3,keyasint,omitempty"`
}

// Snapshot is the state machine's state after the entry at Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint,omitempty"`
	Term       uint64     `cbor:"2,keyasint,omitempty"`
	Membership Membership `cbor:"3,keyasint,omitempty"`
	Data       []byte     `cbor:"4,keyasint,omitempty"`
}

// Membership is the set of members at one position of the log. Both lists are
// sorted and disjoint.
type Membership struct {
	Voters   []MemberID `cbor:"1,keyasint,omitempty"`
	Learners []MemberID `cbor:"2,keyasint,omitempty"`
	// HighestID is the largest id that was ever a member. A new member must
	// have a larger one, so that no id is used twice.
	HighestID MemberID `cbor:"3,keyasint,omitempty"`
}

// Quorum returns how many voters make a majority.
func (m Membership) Quorum() int {
	return len(m.Voters)/2 + 1
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id MemberID) bool {
	return slices.Contains(m.Voters, id)
}

// IsLearner reports whether id is a learner.
func (m Membership) IsLearner(id MemberID) bool {
	return slices.Contains(m.Learners, id)
}

// Contains reports whether id is a voter or a learner.
func (m Membership) Contains(id MemberID) bool {
	return m.IsVoter(id) || m.IsLearner(id)
}

// Members returns voters and learners in ascending order.
func (m Membership) Members() []MemberID {
	members := slices.Concat(m.Voters, m.Learners)
	slices.Sort(members)
	return members
}

// Clone returns a copy that shares no memory with m.
func (m Membership) Clone() Membership {
	return Membership{
		Voters:    slices.Clone(m.Voters),
		Learners:  slices.Clone(m.Learners),
		HighestID: m.HighestID,
	}
}

// normalized returns a sorted copy with HighestID raised to its members' ids.
func (m Membership) normalized() Membership {
	clone := m.Clone()
	slices.Sort(clone.Voters)
	slices.Sort(clone.Learners)
	for _, id := range clone.Members() {
		clone.HighestID = max(clone.HighestID, id)
	}
	return clone
}

// valid reports whether m has no zero id and no duplicate member, and has a voter if it
// has any member.
func (m Membership) valid() bool {
	members := m.Members()
	if len(members) > 0 && len(m.Voters) == 0 {
		return false
	}
	if slices.Contains(members, None) {
		return false
	}
	return len(slices.Compact(members)) == len(m.Voters)+len(m.Learners)
}

// Role is a member's current role in the group.
type Role uint8

const (
	// RoleFollower is a voter that follows a leader or waits for one.
	RoleFollower Role = iota
	// RolePreCandidate is a voter that has requested pre-votes.
	RolePreCandidate
	// RoleCandidate is a voter that has requested votes.
	RoleCandidate
	// RoleLeader is the member that appends to the log in its term.
	RoleLeader
	// RoleLearner is a member that receives the log but has no vote.
	RoleLearner
	// RoleRemoved is a member that was removed from the group and has stopped.
	RoleRemoved
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader", "learner", "removed"}

// String returns the role's name in lower case.
func (r Role) String() string {
	if int(r) < len(roleNames) {
		return roleNames[r]
	}
	return "unknown"
}
