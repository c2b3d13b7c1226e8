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
	// Progress lists the other members in ascending order; only a leader has
	// it.
	Progress []PeerStatus
	// QuorumActive is set on a leader in touch with a quorum, and on a member
	// in touch with a leader.
	QuorumActive bool
	// TicksSinceContact is how long ago a follower heard from a leader, or a
	// leader from a quorum.
	TicksSinceContact uint64
	// Required is the position that this member must have applied to show every
	// entry that was committed when it last heard from the leader, or is
	// committed now if it leads itself.
	Required uint64
	// LeaseValid is set on a leader that may answer reads on its own.
	LeaseValid bool
}

// PeerStatus is what a leader knows about another member.
type PeerStatus struct {
	ID      MemberID
	Learner bool
	// Match is the last position known to be durable on the member.
	Match  uint64
	Next   uint64
	State  ProgressState
	Active bool
	// TicksSinceContact leaves out those in which the leader was held up.
	TicksSinceContact uint64
	// CaughtUp is set if the member could be promoted now.
	CaughtUp bool
}

// Status returns a copy of the member's view.
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
	}
	if n.role != RoleLeader {
		status.TicksSinceContact = uint64(n.sinceLeader)
		status.Required = n.required
		status.QuorumActive = n.leader != None && n.sinceLeader < n.config.ElectionTicks
		return status
	}
	contact := n.quorumValue(func(id MemberID) uint64 {
		return n.peerValue(id, n.now, func(p *progress) uint64 { return p.contactTick })
	})
	status.TicksSinceContact = n.now - contact
	status.QuorumActive = n.quorumActive()
	status.Required = n.requiredAsLeader()
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
			Active: n.active(peer), TicksSinceContact: peer.silentFor(n.now), CaughtUp: n.caughtUp(id),
		})
	}
	return statuses
}

// TermStart gives the index of the first entry of a leader's own term, and
// whether this member leads.
func (n *Node) TermStart() (index uint64, leads bool) {
	return n.leadership.termStart, n.role == RoleLeader
}
