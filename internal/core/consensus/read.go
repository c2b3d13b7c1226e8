package consensus

// pendingRead is a read that waits for confirmation of leadership.
type pendingRead struct {
	requestID uint64
	index     uint64
	round     uint64
}

// ReadIndex requests a safe read index: a state machine that has applied it includes
// every change committed before this call. The answer is a ReadState. It is available
// immediately under the leader lease, else after a quorum has answered a heartbeat sent
// after the call. The owner must have called Tick for every tick so far. It fails with
// ErrNotLeader, ErrRemoved or ErrQueueFull.
func (n *Node) ReadIndex(requestID uint64) error {
	lead := &n.leadership
	switch {
	case n.failed != nil:
		return n.failed
	case n.role == RoleRemoved:
		return ErrRemoved
	case n.role != RoleLeader:
		return ErrNotLeader
	case len(lead.reads) >= n.config.MaxUncommitted:
		return ErrQueueFull
	}
	if n.log.commit >= lead.termStart && n.leaseValid() {
		n.outbox.readStates = append(n.outbox.readStates, ReadState{RequestID: requestID, Index: n.log.commit})
		return nil
	}
	if !lead.roundOpen {
		lead.round++
		lead.roundOpen = true
		n.broadcastHeartbeat()
	}
	lead.reads = append(lead.reads, pendingRead{requestID: requestID, index: n.log.commit, round: lead.round})
	n.serveReads()
	return nil
}

// leaseValid reports whether no other leader can have been elected yet: a quorum accepted
// a message of this leader so recently that it still rejects other candidates.
func (n *Node) leaseValid() bool {
	if n.config.NoLeaseReads || n.leadership.leaseRevoked {
		return false
	}
	start := n.quorumValue(func(id MemberID) uint64 {
		return n.peerValue(id, n.now, func(p *progress) uint64 { return p.leaseTick })
	})
	return start > 0 && n.now-start < n.config.leaseTicks()
}

// serveReads answers the confirmed reads. A new leader first commits an entry of its
// term, as it does not know the commit index before.
func (n *Node) serveReads() {
	lead := &n.leadership
	if len(lead.reads) == 0 || n.log.commit < lead.termStart {
		return
	}
	lease := n.leaseValid()
	confirmed := n.quorumValue(func(id MemberID) uint64 {
		return n.peerValue(id, lead.round, func(p *progress) uint64 { return p.round })
	})
	served := 0
	for _, read := range lead.reads {
		if !lease && read.round > confirmed {
			break
		}
		index := max(read.index, lead.termStart)
		n.outbox.readStates = append(n.outbox.readStates, ReadState{RequestID: read.requestID, Index: index})
		served++
	}
	lead.reads = lead.reads[served:]
}
