package consensus

import "slices"

// quorumValue returns the largest value that a quorum of voters has reached.
func (n *Node) quorumValue(value func(MemberID) uint64) uint64 {
	voters := n.membership.Voters
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, 8)
	for _, id := range voters {
		values = append(values, value(id))
	}
	slices.Sort(values)
	return values[len(values)-n.membership.Quorum()]
}

// peerValue returns own for this member and the peer's value for others.
func (n *Node) peerValue(id MemberID, own uint64, value func(*progress) uint64) uint64 {
	if id == n.config.ID {
		return own
	}
	if peer := n.leadership.peers[id]; peer != nil {
		return value(peer)
	}
	return 0
}

// active reports whether the peer answered within the election timeout, without the
// ticks that the leader missed.
func (n *Node) active(peer *progress) bool {
	return peer.ticksSinceContact(n.now) < uint64(n.config.ElectionTicks)
}

// quorumActive reports whether a quorum answered within the election timeout.
func (n *Node) quorumActive() bool {
	contact := n.quorumValue(func(id MemberID) uint64 {
		return n.peerValue(id, n.now, func(p *progress) uint64 { return p.contactTick })
	})
	return n.now-contact < uint64(n.config.ElectionTicks)
}

// quorumLost reports whether no quorum answered within the election timeout, without the
// ticks that this member missed.
func (n *Node) quorumLost() bool {
	contact := n.quorumValue(func(id MemberID) uint64 {
		return n.peerValue(id, n.now, func(p *progress) uint64 { return p.contactTick + p.missedTicks })
	})
	return n.now-contact >= uint64(n.config.ElectionTicks)
}

func (n *Node) tickLeader() {
	if n.quorumLost() && !n.config.Safeguards.NoCheckQuorum {
		n.lastStepDown = StepDown{Reason: StepDownQuorumLost, Term: n.term}
		n.becomeFollower(n.term, None)
		return
	}
	n.tickTransfer()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.config.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.leadership.promotionFloor = max(n.log.commit, n.leadership.termStart)
		n.broadcastHeartbeat()
	}
	for _, id := range n.leadership.peerOrder {
		n.queryOverdue(id, n.leadership.peers[id])
	}
	n.dropInactiveRemoved()
}

// queryOverdue queries what a member has received if its acknowledgement is overdue. The
// query is small and follows the data on the same connection: while that only holds up the
// data, nothing is sent twice. A member that lacks the data rejects the query, and the data is
// sent again from where its log ends.
func (n *Node) queryOverdue(id MemberID, peer *progress) {
	if !peer.outstanding() || n.now-peer.progressTick < n.config.ackTimeoutTicks() {
		return
	}
	peer.progressTick = n.now
	peer.shrinkWindow()
	switch {
	case peer.state == ProgressSnapshot && n.active(peer):
		n.sendChunkData(id, peer, nil)
	case peer.state == ProgressReplicate && n.queryAppend(id, peer.next-1):
	case peer.state == ProgressProbe && n.queryAppend(id, peer.probeEnd):
	default:
		peer.becomeProbe()
		n.outbox.dirty = true
	}
}

// queryAppend sends an append without entries at index. It returns false if the log no longer
// has the position.
func (n *Node) queryAppend(id MemberID, index uint64) bool {
	term, ok := n.log.term(index)
	if ok {
		n.sendAsLeader(Message{Kind: MessageAppend, To: id, Index: index, LogTerm: term, Commit: n.log.commit})
	}
	return ok
}

func (n *Node) broadcastHeartbeat() {
	for _, id := range n.leadership.peerOrder {
		n.sendHeartbeat(id, n.leadership.peers[id])
	}
}

func (n *Node) sendHeartbeat(id MemberID, peer *progress) {
	n.send(n.heartbeat(id, peer))
}

// heartbeat returns a heartbeat to a peer. Its commit index is one that the peer's log is
// known to hold.
func (n *Node) heartbeat(id MemberID, peer *progress) Message {
	commit := min(peer.match, n.log.commit)
	peer.sentCommit = max(peer.sentCommit, commit)
	return n.asLeader(Message{Kind: MessageHeartbeat, To: id, Commit: commit})
}

func (n *Node) sendAsLeader(message Message) {
	n.send(n.asLeader(message))
}

// asLeader sets the fields that every message of a leader has.
func (n *Node) asLeader(message Message) Message {
	message.SentTick = n.now
	message.Round = n.leadership.round
	message.Required = n.leaderRequired()
	return message
}

// leaderRequired returns the index that a state machine must have applied to include
// every committed entry. Until a leader has committed its first entry, it does not know
// which earlier ones are committed.
func (n *Node) leaderRequired() uint64 {
	return max(n.log.commit, n.leadership.termStart)
}

// updateRequired records the leader's Required index. The message has this member's term.
func (n *Node) updateRequired(message Message) {
	if n.requiredTerm != message.Term {
		n.required, n.requiredTerm = 0, message.Term
	}
	n.required = max(n.required, message.Required)
}

// sendAppends sends every peer as much as its window allows.
func (n *Node) sendAppends() {
	for _, id := range n.leadership.peerOrder {
		peer := n.leadership.peers[id]
		switch peer.state {
		case ProgressProbe:
			n.sendProbe(id, peer)
		case ProgressReplicate:
			n.sendWindow(id, peer)
		case ProgressSnapshot:
			n.sendChunks(id, peer)
		}
	}
}

func (n *Node) sendProbe(id MemberID, peer *progress) {
	if peer.waiting {
		return
	}
	var entries []Entry
	if n.active(peer) {
		entries = n.log.entriesFrom(peer.next, n.config.MaxBatchBytes)
	}
	n.startAckTimer(peer)
	peer.waiting = true
	peer.probeEnd, peer.probeTick = peer.next-1+uint64(len(entries)), n.now
	n.sendEntries(id, peer, entries)
}

// sendWindow sends the entries that the member's window allows. A member that does not answer
// receives none, so that they do not pile up before a dead connection.
func (n *Node) sendWindow(id MemberID, peer *progress) {
	if !n.active(peer) {
		return
	}
	sent := false
	for peer.next <= n.log.lastIndex() && len(peer.inflight) < n.config.MaxInflight && peer.inflightBytes < peer.window {
		entries := n.log.entriesFrom(peer.next, n.config.MaxBatchBytes)
		before := peer.sentBytes
		if !n.sendEntries(id, peer, entries) {
			return
		}
		sent = true
		n.startAckTimer(peer)
		peer.next += uint64(len(entries))
		peer.sentAppend(inflightAppend{last: peer.next - 1, bytes: peer.sentBytes - before})
	}
	if !sent && peer.sentCommit < min(peer.match, n.log.commit) {
		n.sendHeartbeat(id, peer)
	}
}

func (n *Node) startAckTimer(peer *progress) {
	if !peer.outstanding() {
		peer.progressTick = n.now
	}
}

// sendEntries sends entries from peer.next on. If the position before them is compacted,
// it starts a snapshot instead and returns false.
func (n *Node) sendEntries(id MemberID, peer *progress, entries []Entry) bool {
	previous := peer.next - 1
	term, ok := n.log.term(previous)
	if !ok {
		n.startSnapshot(id, peer)
		return false
	}
	peer.sentCommit = max(peer.sentCommit, min(n.log.commit, previous+uint64(len(entries))))
	peer.recordEntries(entries)
	n.sendAsLeader(Message{
		Kind: MessageAppend, To: id, Index: previous, LogTerm: term,
		Entries: entries, Commit: n.log.commit,
	})
	return true
}

// handleFromLeader handles messages that only the leader of this term sends.
func (n *Node) handleFromLeader(message Message) error {
	if n.role == RoleLeader {
		return ErrMalformed
	}
	if n.role != RoleFollower || n.leader != message.From {
		n.becomeFollower(n.term, message.From)
	}
	n.recordLeaderContact(message)
	switch message.Kind {
	case MessageAppend:
		return n.handleAppend(message)
	case MessageHeartbeat:
		n.commitTo(message.Commit)
		n.reply(message, Message{Kind: MessageHeartbeatReply})
		return nil
	default:
		return n.handleChunk(message)
	}
}

// recordLeaderContact records a message of this member's leader.
func (n *Node) recordLeaderContact(message Message) {
	n.electionElapsed = 0
	n.ticksSinceLeader = 0
	n.contactedLeader = true
	n.updateRequired(message)
}

// AnswerHeartbeat handles a heartbeat of this member's leader while the owner writes, either
// between Ready and Advance or with no Ready pending. It returns the reply, which
// acknowledges no write and may be sent at once. The owner must have passed all elapsed
// ticks to TickMissed. It returns false for any other message, and while the outstanding
// Ready saves a term or a vote; the owner passes such messages to Step after the write.
func (n *Node) AnswerHeartbeat(message Message) (Message, bool) {
	follows := n.role == RoleFollower && n.leader == message.From && n.term == message.Term
	if n.failed != nil || !follows || message.Kind != MessageHeartbeat || message.To != n.config.ID {
		return Message{}, false
	}
	if n.outbox.savingTerm {
		return Message{}, false
	}
	n.recordLeaderContact(message)
	n.commitTo(message.Commit)
	reply := n.replyTo(message, Message{Kind: MessageHeartbeatReply})
	reply.From, reply.Term = n.config.ID, n.term
	return reply, true
}

// reply answers a leader's message.
func (n *Node) reply(request, reply Message) {
	n.send(n.replyTo(request, reply))
}

// replyTo addresses a reply to a leader's message and echoes its tick and round.
func (n *Node) replyTo(request, reply Message) Message {
	reply.To = request.From
	reply.SentTick = request.SentTick
	reply.Round = request.Round
	reply.Commit = n.log.commit
	return reply
}

func (n *Node) handleAppend(message Message) error {
	if message.Index < n.log.commit {
		n.reply(message, Message{Kind: MessageAppendReply, Index: n.log.commit})
		return nil
	}
	if !n.log.matches(message.Index, message.LogTerm) {
		if message.Index == n.log.commit {
			n.failed = ErrCommittedConflict
			return n.failed
		}
		hint, term := n.log.lastAtOrBelow(message.Index, message.LogTerm)
		n.reply(message, Message{
			Kind: MessageAppendReply, Index: message.Index, Reject: true, HintIndex: hint, HintTerm: term,
		})
		return nil
	}
	last, err := n.acceptEntries(message.Index, message.Entries)
	if err != nil {
		return err
	}
	n.commitTo(min(message.Commit, last))
	n.reply(message, Message{Kind: MessageAppendReply, Index: last})
	return nil
}

// acceptEntries appends the entries after previous that the log lacks, and replaces
// conflicting ones. It returns the index of the last one.
func (n *Node) acceptEntries(previous uint64, entries []Entry) (uint64, error) {
	for i, entry := range entries {
		if entry.Index != previous+uint64(i)+1 || entry.Term > n.term {
			return 0, ErrMalformed
		}
	}
	last := previous + uint64(len(entries))
	for len(entries) > 0 && n.log.matches(entries[0].Index, entries[0].Term) {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return last, nil
	}
	memberships, err := membershipsIn(entries)
	if err != nil {
		return 0, err
	}
	if entries[0].Index <= n.log.lastIndex() {
		n.log.truncateFrom(entries[0].Index)
		n.truncateMemberships(entries[0].Index)
	}
	n.log.append(entries...)
	n.recordMemberships(memberships)
	return last, nil
}

// handleFromFollower handles replies to a leader's messages.
func (n *Node) handleFromFollower(message Message) {
	peer := n.leadership.peers[message.From]
	if n.role != RoleLeader || peer == nil {
		return
	}
	n.recordContact(message, peer)
	switch message.Kind {
	case MessageAppendReply:
		if message.Reject {
			n.handleAppendRejected(message, peer)
		} else {
			n.handleAppended(message.Index, peer)
		}
	case MessageSnapshotReply:
		n.handleSnapshotReply(message, peer)
	}
	if n.role != RoleLeader {
		return
	}
	n.serveReads()
	if peer.removalIndex > 0 && message.Commit >= peer.removalIndex {
		n.dropPeer(message.From)
	}
}

func (n *Node) recordContact(message Message, peer *progress) {
	if !n.active(peer) {
		n.outbox.dirty = true // sendWindow sent nothing meanwhile
	}
	peer.contactTick, peer.missedTicks = n.now, 0
	if message.SentTick <= n.now {
		peer.leaseTick = max(peer.leaseTick, message.SentTick)
	}
	peer.round = max(peer.round, min(message.Round, n.leadership.round))
}

func (n *Node) handleAppendRejected(message Message, peer *progress) {
	if message.Index <= peer.match || peer.state == ProgressSnapshot || peer.state == ProgressProbe && !peer.answersProbe(message) {
		return // it answers an earlier message
	}
	lastMatch := message.HintIndex // needs the snapshot if the log begins later
	if lastMatch >= n.log.baseIndex {
		lastMatch, _ = n.log.lastAtOrBelow(message.HintIndex, message.HintTerm)
	}
	peer.becomeProbe()
	peer.next = max(peer.match+1, min(lastMatch+1, message.Index))
	n.outbox.dirty = true
}

func (n *Node) handleAppended(index uint64, peer *progress) {
	if index > n.log.lastIndex() {
		return
	}
	matched := peer.state == ProgressProbe && index >= peer.next-1
	advanced := peer.acknowledge(index)
	if advanced {
		peer.progressTick = n.now
	}
	if matched {
		peer.becomeReplicate()
	}
	if peer.state == ProgressSnapshot && peer.match >= peer.snapshot.Index {
		peer.becomeProbe()
	}
	n.outbox.dirty = n.outbox.dirty || matched || advanced
	if advanced {
		n.advanceCommit()
		n.continueTransfer()
	}
}

// advanceCommit commits what a quorum has made durable. Only entries of the leader's own
// term are committed by counting replicas (section 5.4.2 of the paper).
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(id MemberID) uint64 {
		return n.peerValue(id, n.log.stable, func(p *progress) uint64 { return p.match })
	})
	term, ok := n.log.term(index)
	if index <= n.log.commit || !ok {
		return
	}
	if term != n.term && !n.config.Safeguards.NoTermCommitRule {
		return
	}
	n.commitTo(index)
	if n.role == RoleLeader {
		n.serveReads()
	}
}
