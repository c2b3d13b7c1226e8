package consensus

// writeHeartbeatTimeouts is for how many election timeouts a leader sends heartbeats while
// its owner writes. Slow syncs of sound disks end within that time; beyond it the disk is
// taken to hang and the leader has to be replaced, which takes the followers another
// election timeout.
const writeHeartbeatTimeouts = 2

// HeartbeatsDuringWrite returns the heartbeats that are due while the owner writes, either
// between Ready and Advance or with no Ready pending. They may be sent at once. Elapsed is
// the number of ticks since the last Tick; the owner passes these to TickMissed and Tick
// after the write. It returns nothing once elapsed exceeds two election timeouts, on a
// member that does not lead, and while the outstanding Ready saves a term or a vote or
// reports another leader.
//
// The heartbeats claim nothing that depends on the write: the term is durable, and the commit
// index counts only what a quorum, with this member's earlier writes, has made durable. The
// lease is not extended by sending: it starts at SentTick, which is not after the time of
// sending, and only once the owner passes a reply to Step.
func (n *Node) HeartbeatsDuringWrite(elapsed int) []Message {
	if n.failed != nil || n.role != RoleLeader || n.outbox.savingTerm || n.outbox.changingLeader {
		return nil
	}
	due := n.heartbeatElapsed+elapsed >= n.config.HeartbeatTicks
	if !due || elapsed > writeHeartbeatTimeouts*n.config.ElectionTicks {
		return nil
	}
	n.heartbeatElapsed = -elapsed
	messages := make([]Message, 0, len(n.leadership.peerOrder))
	for _, id := range n.leadership.peerOrder {
		message := n.heartbeat(id, n.leadership.peers[id])
		message.From, message.Term = n.config.ID, n.term
		message.SentTick += uint64(elapsed)
		messages = append(messages, message)
	}
	return messages
}
