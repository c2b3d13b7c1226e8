package consensus

// SoftState is a member's volatile state, which need not survive a restart.
type SoftState struct {
	Role   Role
	Leader MemberID
	Term   uint64
}

// ReadState answers a ReadIndex.
type ReadState struct {
	RequestID uint64
	// Index is the position that the state machine must have applied before
	// it serves the read.
	Index uint64
	// Lost is set if the member lost leadership before it could answer.
	Lost bool
}

// Ready is the pending work of the owner: make HardState, Snapshot and Entries durable
// (in one sync, if MustSync), then send Messages, restore Snapshot, apply Committed and
// call Advance.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	// Entries are to be written at their indexes. They replace all entries already
	// written at or after the first index.
	Entries []Entry
	// Snapshot is set if the leader sent one. It replaces the state machine's state and
	// the complete log, or the log up to the snapshot's index if the log holds the entry
	// at the snapshot's index and term.
	Snapshot *Snapshot
	// MustSync is set if the messages depend on what is written.
	MustSync bool
	// Messages are to be sent only after the writes are durable. They may be
	// lost, duplicated or reordered.
	Messages []Message
	// Committed are to be applied in order, after Snapshot.
	Committed  []Entry
	ReadStates []ReadState
	// SoftState is nil if it has not changed.
	SoftState *SoftState
}

// MayPrecedeSync reports whether message may be sent before the Ready's writes are
// durable. This holds for a leader's appends, as the leader counts its own copy only
// after Advance (section 10.2.1 of the dissertation).
func (r Ready) MayPrecedeSync(message Message) bool {
	if r.Snapshot != nil || r.SoftState != nil {
		return false
	}
	return message.Kind == MessageAppend || message.Kind == MessageHeartbeat
}

// outbox collects the contents of the next Ready.
type outbox struct {
	messages        []Message
	readStates      []ReadState
	pendingSnapshot *Snapshot
	savedHard       HardState
	savedSoft       SoftState
	// outstanding is set between Ready and Advance.
	outstanding bool
	// savingTerm is set while the outstanding Ready makes a term or a vote durable.
	savingTerm bool
	// changingLeader is set while the outstanding Ready reports another role, leader or term.
	changingLeader bool
	// dirty is set when entries or a commit index may have to be sent.
	dirty bool
}

func (n *Node) send(message Message) {
	message.From = n.config.ID
	if message.Term == 0 {
		message.Term = n.term
	}
	n.outbox.messages = append(n.outbox.messages, message)
}

// HasReady reports whether there is work for Ready to return.
func (n *Node) HasReady() bool {
	box := &n.outbox
	if box.outstanding {
		return false
	}
	return box.dirty || len(box.messages) > 0 || len(box.readStates) > 0 || box.pendingSnapshot != nil ||
		n.log.inProgress < n.log.lastIndex() || n.log.applied < n.log.commit ||
		box.savedHard != n.hardState() || box.savedSoft != n.softState()
}

// Ready returns the pending work. It returns an empty Ready until the previous one has
// been passed to Advance.
func (n *Node) Ready() Ready {
	box := &n.outbox
	if box.outstanding {
		return Ready{}
	}
	if n.role == RoleLeader {
		n.sendAppends()
	}
	ready := Ready{
		Messages:   box.messages,
		ReadStates: box.readStates,
		Snapshot:   box.pendingSnapshot,
		Entries:    n.log.entriesBetween(n.log.inProgress, n.log.lastIndex()),
		Committed:  n.log.entriesBetween(n.log.applied, n.log.commit),
	}
	if hard := n.hardState(); hard != box.savedHard {
		ready.HardState = &hard
		box.savingTerm = hard.Term != box.savedHard.Term || hard.VotedFor != box.savedHard.VotedFor
		ready.MustSync = box.savingTerm
		box.savedHard = hard
	}
	if soft := n.softState(); soft != box.savedSoft {
		ready.SoftState = &soft
		box.changingLeader = true
		box.savedSoft = soft
	}
	ready.MustSync = ready.MustSync || len(ready.Entries) > 0 || ready.Snapshot != nil
	n.log.inProgress = n.log.lastIndex()
	box.messages, box.readStates, box.pendingSnapshot = nil, nil, nil
	box.dirty = false
	box.outstanding = true
	n.leadership.roundOpen = false
	return ready
}

// Advance confirms that the owner has processed ready.
func (n *Node) Advance(ready Ready) {
	if !n.outbox.outstanding {
		return
	}
	n.outbox.outstanding, n.outbox.savingTerm, n.outbox.changingLeader = false, false, false
	for i := len(ready.Entries) - 1; i >= 0; i-- {
		entry := &ready.Entries[i]
		if n.log.matches(entry.Index, entry.Term) {
			n.log.stable = max(n.log.stable, entry.Index)
			break
		}
	}
	if count := len(ready.Committed); count > 0 {
		n.log.applied = max(n.log.applied, ready.Committed[count-1].Index)
	}
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

func (n *Node) softState() SoftState {
	return SoftState{Role: n.visibleRole(), Leader: n.leader, Term: n.term}
}

func (n *Node) visibleRole() Role {
	if n.role == RoleFollower && !n.membership.IsVoter(n.config.ID) {
		return RoleLearner
	}
	return n.role
}
