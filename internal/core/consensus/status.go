package consensus

// Status is a member's view of the group, for operators.
type Status struct {
	ID         MemberID
	Role       Role
	Term       uint64
	Leader     MemberID
	Commit     uint64
	Applied    uint64
	FirstIndex uint64
	LastIndex  uint64
	// SnapshotIndex is the position of the latest snapshot.
	SnapshotIndex uint64
	Membership    Membership
	// Progress lists the other members in ascending order; it is set only on a leader.
	Progress []PeerStatus
	// QuorumActive is set on a leader with contact to a quorum, and on a member with
	// contact to a leader.
	QuorumActive bool
	// TicksSinceContact is the time since a follower's last contact with a leader, or a
	// leader's with a quorum.
	TicksSinceContact uint64
	// Required is the index that this member must have applied to include every entry
	// that was committed at its last contact with the leader, or now if it leads.
	Required uint64
	// LeaseValid is set on a leader that may serve reads without contacting a quorum.
	LeaseValid bool
	// LastStepDown is how this member last lost its leadership.
	LastStepDown StepDown
}

// StepDownReason is why a leader became a follower.
type StepDownReason uint8

const (
	// StepDownNone is set on a member that never lost its leadership.
	StepDownNone StepDownReason = iota
	// StepDownQuorumLost means that no quorum answered within the election timeout.
	StepDownQuorumLost
	// StepDownHigherTerm means that a member sent a message of a higher term.
	StepDownHigherTerm
)

// String returns the reason for log lines.
func (r StepDownReason) String() string {
	switch r {
	case StepDownQuorumLost:
		return "no quorum answered"
	case StepDownHigherTerm:
		return "higher term"
	default:
		return "none"
	}
}

// StepDown is a loss of leadership.
type StepDown struct {
	Reason StepDownReason
	// From is the member whose message had the higher term.
	From MemberID
	// Term is the term that was led.
	Term uint64
}

// PeerStatus is a leader's view of another member.
type PeerStatus struct {
	ID      MemberID
	Learner bool
	// Match is the last position known to be durable on the member.
	Match  uint64
	Next   uint64
	State  ProgressState
	Active bool
	// TicksSinceContact excludes ticks that the leader missed.
	TicksSinceContact uint64
	// CaughtUp is set if the member is active and its durable log includes the entries that
	// were committed one heartbeat ago.
	CaughtUp bool
	// Answered is set if the member has answered a message of this leader.
	Answered bool
	// SentBytes counts the bytes of entries and snapshots sent to the member in this term, and
	// RepeatedBytes those of them that were sent before.
	SentBytes, RepeatedBytes uint64
}

// Status returns a copy of the member's view of the group.
func (n *Node) Status() Status {
	status := Status{
		ID:            n.config.ID,
		Role:          n.visibleRole(),
		Term:          n.term,
		Leader:        n.leader,
		Commit:        n.log.commit,
		Applied:       n.log.applied,
		FirstIndex:    n.log.baseIndex + 1,
		LastIndex:     n.log.lastIndex(),
		SnapshotIndex: n.snapshot.Index,
		Membership:    n.membership.Clone(),
		LastStepDown:  n.lastStepDown,
	}
	if n.role != RoleLeader {
		status.TicksSinceContact = uint64(n.ticksSinceLeader)
		status.Required = n.required
		status.QuorumActive = n.leader != None && n.ticksSinceLeader < n.config.ElectionTicks
		return status
	}
	contact := n.quorumValue(func(id MemberID) uint64 {
		return n.peerValue(id, n.now, func(p *progress) uint64 { return p.contactTick })
	})
	status.TicksSinceContact = n.now - contact
	status.QuorumActive = n.quorumActive()
	status.Required = n.leaderRequired()
	status.LeaseValid = n.leaseValid()
	status.Progress = n.peerStatuses()
	return status
}

func (n *Node) peerStatuses() []PeerStatus {
	statuses := make([]PeerStatus, 0, len(n.leadership.peerOrder))
	for _, id := range n.leadership.peerOrder {
		peer := n.leadership.peers[id]
		statuses = append(statuses, PeerStatus{
			ID: id, Learner: n.membership.IsLearner(id), Match: peer.match, Next: peer.next, State: peer.state,
			Active: n.active(peer), TicksSinceContact: peer.ticksSinceContact(n.now), CaughtUp: n.caughtUp(id), Answered: peer.answered(),
			SentBytes: peer.sentBytes, RepeatedBytes: peer.repeatedBytes,
		})
	}
	return statuses
}

// TermStart returns the index of the first entry of a leader's own term, and whether this
// member leads.
func (n *Node) TermStart() (index uint64, leads bool) {
	return n.leadership.termStart, n.role == RoleLeader
}
