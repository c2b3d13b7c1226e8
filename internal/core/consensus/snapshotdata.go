package consensus

// A snapshot's data may be most of what a member has in memory, and is needed only
// while another member is sent it. The owner, which has it in its storage, may take
// it from the node and give it back once it is wanted.

// ReleaseSnapshot drops the data of the newest snapshot. Members that are being sent
// it go on to be.
func (n *Node) ReleaseSnapshot() {
	if n.snapshot.Index == 0 || n.snapshotReleased {
		return
	}
	n.snapshot.Data = nil
	n.snapshotReleased = true
}

// SnapshotWanted reports whether a member waits for the data of the newest snapshot,
// which was released. Only a leader wants it.
func (n *Node) SnapshotWanted() bool {
	return n.role == RoleLeader && n.snapshotReleased && n.leadership.wantsSnapshot
}

// SendsSnapshot reports whether a member that answers is being sent a snapshot, or waits
// for the data of one.
func (n *Node) SendsSnapshot() bool {
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

// ProvideSnapshot gives the data of the newest snapshot back. Another one, or one
// that differs from what was released, is ignored.
func (n *Node) ProvideSnapshot(snapshot Snapshot) {
	if !n.snapshotReleased || snapshot.Index != n.snapshot.Index || checksum(snapshot.Data) != n.snapshotChecksum {
		return
	}
	n.snapshot.Data = snapshot.Data
	n.snapshotReleased = false
	n.leadership.wantsSnapshot = false
	for _, peer := range n.leadership.peers {
		if peer.state == ProgressProbe {
			peer.waiting = false
		}
	}
	n.outbox.dirty = true
}
