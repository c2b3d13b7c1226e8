package consensus

// A snapshot's data may be large and is needed only while it is sent to another member.
// The owner, which has it in its storage, may release it and provide it again on request.

// ReleaseSnapshot discards the data of the newest snapshot. Transfers in progress
// continue.
func (n *Node) ReleaseSnapshot() {
	if n.snapshot.Index == 0 || n.snapshotReleased {
		return
	}
	n.snapshot.Data = nil
	n.snapshotReleased = true
}

// SnapshotWanted reports whether a member waits for the released data of the newest
// snapshot. Only a leader returns true.
func (n *Node) SnapshotWanted() bool {
	return n.role == RoleLeader && n.snapshotReleased && n.leadership.snapshotWanted
}

// SendingSnapshot reports whether an active member is receiving a snapshot, or waits for
// the data of one.
func (n *Node) SendingSnapshot() bool {
	if n.role != RoleLeader {
		return false
	}
	for _, peer := range n.leadership.peers {
		if peer.state == ProgressSnapshot && n.active(peer) {
			return true
		}
	}
	return n.SnapshotWanted()
}

// ProvideSnapshot restores the data of the newest snapshot. A snapshot that differs from
// the released one is ignored.
func (n *Node) ProvideSnapshot(snapshot Snapshot) {
	if !n.snapshotReleased || snapshot.Index != n.snapshot.Index || checksum(snapshot.Data) != n.snapshotChecksum {
		return
	}
	n.snapshot.Data = snapshot.Data
	n.snapshotReleased = false
	n.leadership.snapshotWanted = false
	for _, peer := range n.leadership.peers {
		if peer.state == ProgressProbe {
			peer.waiting = false
		}
	}
	n.outbox.dirty = true
}
