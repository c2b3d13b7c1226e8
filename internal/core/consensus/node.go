package consensus

import (
	"hash/crc32"
)

// Node is the consensus state of one member. It is not safe for concurrent use.
type Node struct {
	config   Config
	random   randomSource
	term     uint64
	votedFor MemberID
	log      raftLog
	role     Role
	leader   MemberID

	snapshot         Snapshot
	snapshotChecksum uint32
	// snapshotReleased is set while only the owner holds the snapshot's data.
	snapshotReleased bool
	incoming         *incomingSnapshot

	// membership is the latest one in the log, committed or not.
	membership        Membership
	membershipHistory []indexedMembership
	wasMember         bool

	// now counts ticks. The other counters are ticks since an event.
	now              uint64
	electionElapsed  int
	electionTimeout  int
	ticksSinceLeader int
	// contactedLeader is set once this member has accepted a leader's message since it
	// started, or has led.
	contactedLeader bool
	// heartbeatElapsed is negative after HeartbeatsDuringWrite, until the ticks of the write
	// are passed.
	heartbeatElapsed int
	// required is the highest Message.Required received from the leader of requiredTerm.
	required     uint64
	requiredTerm uint64
	votes        map[MemberID]vote
	// unanimous is set on a candidate that needs the vote of every voter.
	unanimous bool

	leadership   leadership
	lastStepDown StepDown
	outbox       outbox
	failed       error
}

// leadership holds the state that only a leader has.
type leadership struct {
	peers     map[MemberID]*progress
	peerOrder []MemberID
	// termStart is the index of the leader's first entry.
	termStart uint64
	// promotionFloor is the commit index one heartbeat ago, which a learner must have
	// reached to be promoted.
	promotionFloor  uint64
	round           uint64
	roundOpen       bool
	reads           []pendingRead
	transferTo      MemberID
	transferSent    bool
	transferElapsed int
	// leaseRevoked is set once this leader offered leadership in this term: the receiver
	// may be elected while voters still accept this leader's messages.
	leaseRevoked bool
	// snapshotWanted is set while a member waits for a snapshot whose data was released.
	snapshotWanted bool
}

// New returns a member with the given configuration and restored state. It fails with
// ErrConfig or with an InconsistentError. The owner's state machine must hold
// restored.Snapshot; Ready returns the committed entries after it again.
func New(config Config, restored Restored) (*Node, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	history, err := restored.check()
	if err != nil {
		return nil, err
	}
	node := &Node{
		config:            config.withDefaults(),
		random:            randomSource{state: config.Seed ^ uint64(config.ID)*0x9e3779b97f4a7c15},
		term:              restored.HardState.Term,
		votedFor:          restored.HardState.VotedFor,
		log:               newRaftLog(restored.Snapshot, restored.Entries, restored.HardState.Commit),
		snapshot:          restored.Snapshot,
		membershipHistory: history,
		now:               1,
	}
	node.snapshot.Membership = restored.Snapshot.Membership.normalized()
	node.snapshotChecksum = checksum(node.snapshot.Data)
	node.membership = history[len(history)-1].membership
	node.wasMember = node.membershipAt(node.snapshot.Index).Contains(config.ID)
	node.resetElectionTimer()
	node.useStartupTimeout()
	node.outbox.savedHard = node.hardState()
	node.outbox.savedSoft = node.softState()
	node.checkRemoval()
	return node, nil
}

// Restored is the state read from the log storage at startup. For a new group,
// Snapshot.Membership holds the first members and all else is zero; for a member that
// joins an existing group all of it is zero.
type Restored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// check validates the restored state and returns the memberships in it.
func (r Restored) check() ([]indexedMembership, error) {
	if !r.Snapshot.Membership.valid() {
		return nil, &InconsistentError{Reason: "snapshot's membership is invalid", Index: r.Snapshot.Index}
	}
	if (r.Snapshot.Index == 0) != (r.Snapshot.Term == 0) {
		return nil, &InconsistentError{Reason: "snapshot has an index without a term, or a term without an index", Index: r.Snapshot.Index}
	}
	if r.Snapshot.Index > 0 && len(r.Snapshot.Membership.Voters) == 0 {
		return nil, &InconsistentError{Reason: "snapshot without voters", Index: r.Snapshot.Index}
	}
	history := []indexedMembership{{r.Snapshot.Index, r.Snapshot.Membership.normalized()}}
	index, term := r.Snapshot.Index, r.Snapshot.Term
	for _, entry := range r.Entries {
		if entry.Index != index+1 {
			return nil, &InconsistentError{Reason: "gap in the log", Index: entry.Index}
		}
		if entry.Term < term || entry.Term == 0 {
			return nil, &InconsistentError{Reason: "term decreases in the log", Index: entry.Index}
		}
		index, term = entry.Index, entry.Term
		if entry.Kind != EntryMembership {
			continue
		}
		decoded, err := DecodeMembershipEntry(entry.Data)
		if err != nil {
			return nil, &InconsistentError{Reason: "unreadable membership entry", Index: entry.Index}
		}
		history = append(history, indexedMembership{entry.Index, decoded.Result})
	}
	if r.HardState.Term < term {
		return nil, &InconsistentError{Reason: "term is below the log's", Index: index}
	}
	if r.HardState.Commit > index {
		return nil, &InconsistentError{Reason: "commit index is past the log's end", Index: r.HardState.Commit}
	}
	if r.HardState.Term == 0 && r.HardState.VotedFor != None {
		return nil, &InconsistentError{Reason: "vote without a term"}
	}
	return history, nil
}

// Tick advances the member's clock by one tick. The owner calls it for each tick; for
// ticks that it missed it calls TickMissed first.
func (n *Node) Tick() {
	if n.role == RoleRemoved || n.failed != nil {
		return
	}
	n.now++
	if n.role == RoleLeader {
		n.tickLeader()
		return
	}
	n.ticksSinceLeader++
	n.electionElapsed++
	if n.electionElapsed >= n.electionTimeout && n.membership.IsVoter(n.config.ID) {
		n.startElection()
	}
}

// TickMissed advances the clock by ticks during which the owner did not run the member,
// for example in a slow write. They count for leases and votes, but not for the timeouts
// of other members, whose messages the owner has not yet passed to Step. The owner calls
// Tick next.
func (n *Node) TickMissed(ticks int) {
	if ticks <= 0 || n.role == RoleRemoved || n.failed != nil {
		return
	}
	n.now += uint64(ticks)
	if n.role != RoleLeader {
		n.ticksSinceLeader += ticks
		return
	}
	n.heartbeatElapsed += ticks
	for _, peer := range n.leadership.peers {
		peer.missedTicks += uint64(ticks)
		peer.progressTick += uint64(ticks)
	}
}

// Step handles a message from another member. Delayed and duplicate messages are
// harmless. ErrCommittedConflict is final: the member has stopped.
func (n *Node) Step(message Message) error {
	if n.failed != nil {
		return n.failed
	}
	if message.To != n.config.ID || message.From == None || message.From == n.config.ID {
		return ErrMalformed
	}
	if n.role == RoleRemoved {
		return nil
	}
	if message.Kind == MessageRemoved {
		n.handleRemoved(message)
		return nil
	}
	if message.Term < n.term {
		n.rejectOldTerm(message)
		return nil
	}
	if message.Term > n.term && !n.adoptTerm(message) {
		return nil
	}
	return n.dispatch(message)
}

func (n *Node) dispatch(message Message) error {
	switch message.Kind {
	case MessagePreVote:
		n.handlePreVote(message)
	case MessagePreVoteReply:
		n.handlePreVoteReply(message)
	case MessageVote:
		n.handleVote(message)
	case MessageVoteReply:
		n.handleVoteReply(message)
	case MessageTimeoutNow:
		n.handleTimeoutNow(message)
	case MessageAppend, MessageHeartbeat, MessageSnapshotChunk:
		return n.handleFromLeader(message)
	case MessageAppendReply, MessageHeartbeatReply, MessageSnapshotReply:
		n.handleFromFollower(message)
	default:
		return ErrMalformed
	}
	return nil
}

// Propose appends a command to the log. The command is committed once a Ready contains
// it with the same index and term; if a Ready contains another entry at that index, the
// command is lost. It fails with ErrNotLeader, ErrTransferring, ErrQueueFull,
// ErrTooLarge or ErrRemoved.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if err := n.checkProposal(data); err != nil {
		return 0, 0, err
	}
	entry := n.appendEntry(EntryNormal, data)
	return entry.Index, entry.Term, nil
}

func (n *Node) checkProposal(data []byte) error {
	switch {
	case n.failed != nil:
		return n.failed
	case n.role == RoleRemoved:
		return ErrRemoved
	case n.role != RoleLeader:
		return ErrNotLeader
	case n.leadership.transferTo != None:
		return ErrTransferring
	case len(data) > MaxEntryBytes:
		return ErrTooLarge
	case n.log.lastIndex()-n.log.commit >= uint64(n.config.MaxUncommitted):
		return ErrQueueFull
	}
	return nil
}

func (n *Node) appendEntry(kind EntryKind, data []byte) Entry {
	entry := Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(entry)
	n.outbox.dirty = true
	return entry
}

// commitTo advances the commit index to index, or to the end of the log.
func (n *Node) commitTo(index uint64) {
	index = min(index, n.log.lastIndex())
	if index <= n.log.commit {
		return
	}
	n.log.commit = index
	n.outbox.dirty = true
	n.checkRemoval()
}

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = n.config.ElectionTicks + 1 + n.random.intn(n.config.ElectionTicks)
}

func (n *Node) hardState() HardState {
	return HardState{Term: n.term, VotedFor: n.votedFor, Commit: n.log.commit}
}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(data []byte) uint32 {
	return crc32.Checksum(data, checksumTable)
}
