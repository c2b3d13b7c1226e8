package consensus

import "fmt"

// maxSnapshotPreallocBytes limits the buffer allocated before a snapshot has arrived.
// Preallocation avoids copying the buffer as it grows.
const maxSnapshotPreallocBytes = 64 << 20

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	from   MemberID
	term   uint64
	header SnapshotChunk
	data   []byte
}

func (s *incomingSnapshot) continues(message Message) bool {
	chunk := message.Chunk
	return s != nil && s.from == message.From && s.term == message.Term &&
		s.header.Index == chunk.Index && s.header.Term == chunk.Term &&
		s.header.Total == chunk.Total && s.header.Checksum == chunk.Checksum
}

// BuildSnapshot returns a snapshot for the owner to store and then pass to Compact: data
// is the state machine's state after the entry at index. It fails with ErrNotApplied,
// ErrCompacted or ErrNoMembership.
func (n *Node) BuildSnapshot(index uint64, data []byte) (Snapshot, error) {
	if index > n.log.applied {
		return Snapshot{}, ErrNotApplied
	}
	term, ok := n.log.term(index)
	if !ok || index < n.snapshot.Index {
		return Snapshot{}, ErrCompacted
	}
	membership := n.membershipAt(index).Clone()
	if len(membership.Voters) == 0 {
		return Snapshot{}, ErrNoMembership
	}
	return Snapshot{Index: index, Term: term, Membership: membership, Data: data}, nil
}

// Compact truncates the log up to a durable snapshot. It fills in a zero Term or empty
// Membership. It fails with ErrNotApplied, ErrCompacted or ErrSnapshotMismatch.
func (n *Node) Compact(snapshot Snapshot) error {
	built, err := n.BuildSnapshot(snapshot.Index, snapshot.Data)
	if err != nil {
		return err
	}
	if snapshot.Index <= n.snapshot.Index {
		return ErrCompacted
	}
	if snapshot.Term != 0 && snapshot.Term != built.Term {
		return fmt.Errorf("%w: term %d, the log has %d", ErrSnapshotMismatch, snapshot.Term, built.Term)
	}
	if len(snapshot.Membership.Voters) > 0 && !sameMembers(snapshot.Membership, built.Membership) {
		return fmt.Errorf("%w: membership differs", ErrSnapshotMismatch)
	}
	n.setSnapshot(built)
	n.log.compact(n.log.compactionIndex(built.Index, n.config.RetainEntries, n.config.RetainBytes))
	return nil
}

func (n *Node) setSnapshot(snapshot Snapshot) {
	n.snapshot = snapshot
	n.snapshotChecksum = checksum(snapshot.Data)
	n.snapshotReleased = false
	n.pruneMemberships(snapshot.Index)
}

// startSnapshot starts sending the snapshot to a member whose next entry is compacted. It
// only probes a member that does not answer, and any member while the snapshot's data is
// released.
func (n *Node) startSnapshot(id MemberID, peer *progress) {
	if n.snapshotReleased && n.active(peer) {
		n.leadership.snapshotWanted = true
	}
	if !n.active(peer) || n.snapshotReleased {
		peer.becomeProbe()
		n.startAckTimer(peer)
		peer.waiting = true
		return
	}
	snapshot := n.snapshot
	peer.becomeSnapshot(&snapshot, n.snapshotChecksum)
	n.sendChunks(id, peer)
}

// sendChunks sends up to SnapshotWindow unacknowledged chunks. It resumes from the
// acknowledged offset while peer.waiting is not set, with a single chunk after a lost one.
func (n *Node) sendChunks(id MemberID, peer *progress) {
	if !peer.waiting {
		peer.sent = peer.offset
		n.startAckTimer(peer)
		peer.waiting = true
		n.sendChunk(id, peer)
	}
	if peer.resumed {
		return
	}
	total, window := uint64(len(peer.snapshot.Data)), min(peer.window, uint64(n.config.SnapshotWindow*n.config.SnapshotChunkBytes))
	for peer.sent < total && peer.sent-peer.offset < window {
		n.sendChunk(id, peer)
	}
}

// sendChunk sends the next chunk of the snapshot.
func (n *Node) sendChunk(id MemberID, peer *progress) {
	data := peer.snapshot.Data
	end := min(uint64(len(data)), peer.sent+uint64(n.config.SnapshotChunkBytes))
	n.sendChunkData(id, peer, data[peer.sent:end])
	peer.recordChunk(end)
	peer.sent = end
}

// sendChunkData sends data as the chunk that follows those sent.
func (n *Node) sendChunkData(id MemberID, peer *progress, data []byte) {
	snapshot := peer.snapshot
	n.sendAsLeader(Message{Kind: MessageSnapshotChunk, To: id, Chunk: &SnapshotChunk{
		Index: snapshot.Index, Term: snapshot.Term, Membership: snapshot.Membership,
		Offset: peer.sent, Total: uint64(len(snapshot.Data)), Checksum: peer.checksum, Data: data,
	}})
}

func (n *Node) handleSnapshotReply(message Message, peer *progress) {
	if peer.state != ProgressSnapshot || message.Index != peer.snapshot.Index {
		return
	}
	total := uint64(len(peer.snapshot.Data))
	switch {
	case message.Done:
		n.handleAppended(message.Index, peer)
		return
	case message.Offset > total:
		return
	case message.Reject:
		n.resendChunks(message.Offset, peer)
	case message.Offset > peer.offset:
		if message.Offset > peer.recoverOffset {
			peer.growWindow(message.Offset - peer.offset)
		}
		peer.offset, peer.resumed = message.Offset, false
		peer.sent = max(peer.sent, peer.offset)
		peer.waiting = peer.sent > peer.offset
		peer.progressTick = n.now
		n.outbox.dirty = true
	}
}

// resendChunks resumes from the received offset that the member reported: a chunk was
// lost, or the member restarted the transfer. The member rejects every chunk after a lost
// one; only the first rejection per tick counts.
func (n *Node) resendChunks(received uint64, peer *progress) {
	if received == peer.offset && peer.resentTick == n.now {
		return
	}
	peer.offset, peer.resentTick, peer.resumed = received, n.now, true
	peer.waiting = false
	peer.progressTick = n.now
	n.outbox.dirty = true
}

// valid reports whether a correct leader may have sent the chunk.
func (c *SnapshotChunk) valid() bool {
	return c != nil && c.Index > 0 && c.Term > 0 && c.Total <= MaxSnapshotBytes && c.Offset <= c.Total &&
		uint64(len(c.Data)) <= c.Total-c.Offset && len(c.Membership.Voters) > 0 && c.Membership.valid()
}

// handleChunk collects the chunks of a snapshot and installs it when it is complete.
func (n *Node) handleChunk(message Message) error {
	chunk := message.Chunk
	if !chunk.valid() {
		return ErrMalformed
	}
	if chunk.Index <= n.log.commit || n.log.matches(chunk.Index, chunk.Term) {
		n.commitTo(chunk.Index)
		n.incoming = nil
		n.reply(message, Message{Kind: MessageAppendReply, Index: n.log.commit})
		return nil
	}
	if !n.incoming.continues(message) {
		n.incoming = &incomingSnapshot{from: message.From, term: message.Term, header: *chunk}
	}
	n.addChunk(message)
	return nil
}

func (n *Node) addChunk(message Message) {
	incoming, chunk := n.incoming, message.Chunk
	received := uint64(len(incoming.data))
	if chunk.Offset != received {
		n.reply(message, Message{Kind: MessageSnapshotReply, Index: chunk.Index, Offset: received, Reject: chunk.Offset > received})
		return
	}
	if incoming.data == nil {
		incoming.data = make([]byte, 0, min(chunk.Total, maxSnapshotPreallocBytes))
	}
	incoming.data = append(incoming.data, chunk.Data...)
	received = uint64(len(incoming.data))
	if received < chunk.Total {
		n.reply(message, Message{Kind: MessageSnapshotReply, Index: chunk.Index, Offset: received})
		return
	}
	n.incoming = nil
	if checksum(incoming.data) != chunk.Checksum {
		n.reply(message, Message{Kind: MessageSnapshotReply, Index: chunk.Index, Reject: true})
		return
	}
	n.installSnapshot(Snapshot{Index: chunk.Index, Term: chunk.Term, Membership: chunk.Membership.normalized(), Data: incoming.data})
	n.reply(message, Message{Kind: MessageSnapshotReply, Index: chunk.Index, Done: true})
}

// installSnapshot replaces the log and the state with the leader's snapshot.
func (n *Node) installSnapshot(snapshot Snapshot) {
	n.log.reset(snapshot.Index, snapshot.Term)
	n.membershipHistory = []indexedMembership{{snapshot.Index, snapshot.Membership}}
	n.membership = snapshot.Membership
	n.setSnapshot(snapshot)
	n.outbox.pendingSnapshot = &snapshot
	n.checkRemoval()
}
