package groupmember

import (
	"bytes"
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Defaults of Config.
const (
	// DefaultSnapshotEntries is the number of entries applied between snapshots.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotBytes is the size of the entries applied between snapshots.
	DefaultSnapshotBytes = 6 << 20
)

var (
	// ErrLeadershipLost fails a proposal with an unknown outcome: another leader may
	// still commit it.
	ErrLeadershipLost = errors.New("groupmember: leadership was lost before the answer")
	// ErrProposalReplaced fails a proposal that has no effect.
	ErrProposalReplaced = errors.New("groupmember: proposal was replaced by another leader's entry")
)

// StateMachine is the replicated state. Its methods are not called concurrently.
type StateMachine interface {
	// Apply applies the command at an index of the log. The result is returned to
	// the proposer.
	Apply(index uint64, command []byte) any
	// Snapshot captures the current state. Later calls of Apply do not change
	// the capture.
	Snapshot() Encoder
	// Restore replaces the state with the encoded one in data.
	Restore(data []byte) error
}

// Encoder appends a captured state to a buffer, which avoids a second copy of a large
// state. It is called once, and may run concurrently with the methods of the state
// machine.
type Encoder func(into *bytes.Buffer) error

// Bytes returns the encoded state.
func (e Encoder) Bytes() ([]byte, error) {
	var state bytes.Buffer
	err := e(&state)
	return state.Bytes(), err
}

// Config holds the settings of a Member. Zero sizes select the defaults.
type Config struct {
	Consensus       consensus.Config
	SnapshotEntries uint64
	SnapshotBytes   int
	// Founders are the records of the initial members, which bootstrap the group. Only
	// these members set it; their leader adds the records to the log for members that join.
	Founders []Record
}

// envelope is the data of a normal entry: either a command or the directory.
type envelope struct {
	Command   []byte   `cbor:"1,keyasint,omitempty"`
	Directory []Record `cbor:"2,keyasint,omitempty"`
}

// snapshotHeader is the CBOR header of a snapshot's data, preceded by its length; the
// state machine's encoding follows.
type snapshotHeader struct {
	Directory       []Record `cbor:"1,keyasint"`
	DirectoryLogged bool     `cbor:"3,keyasint"`
}

// Reply is the result of the call with the same Token.
type Reply struct {
	Token  uint64
	Result any
	// Err is set if the call has no effect or its outcome is unknown.
	Err error
}

// Member is one member of a group. It is not safe for concurrent use.
type Member struct {
	config    Config
	node      *consensus.Node
	machine   StateMachine
	directory directory
	// directoryLogged is set once the initial members' directory is in the log.
	directoryLogged bool
	status          consensus.Status
	applied         uint64
	pending         map[uint64]proposal // by log index
	reads           map[uint64]uint64   // token by request id
	confirmedReads  []confirmedRead
	replies         []Reply

	// membershipKnown is set once the membership at the applied index is known. A joining
	// member also applies entries from before it was added.
	membershipKnown bool

	lastRead           uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int
	// bytesSinceCapture counts the bytes applied since the last capture, which its
	// snapshot does not contain.
	bytesSinceCapture int
	// snapshotBytes is the size of the last snapshot; a larger state is captured less often.
	snapshotBytes int
}

type proposal struct {
	token uint64
	term  uint64
}

type confirmedRead struct {
	token uint64
	index uint64
}

// New returns a member with the restored state. Machine must be empty.
func New(config Config, restored consensus.Restored, machine StateMachine) (*Member, error) {
	if config.SnapshotEntries == 0 {
		config.SnapshotEntries = DefaultSnapshotEntries
	}
	if config.SnapshotBytes == 0 {
		config.SnapshotBytes = DefaultSnapshotBytes
	}
	member := &Member{
		config: config, machine: machine, directory: directory{},
		pending: map[uint64]proposal{}, reads: map[uint64]uint64{},
	}
	member.directory.replace(config.Founders)
	if len(restored.Snapshot.Data) > 0 {
		if err := member.restore(restored.Snapshot); err != nil {
			return nil, err
		}
	}
	node, err := consensus.New(config.Consensus, restored)
	if err != nil {
		return nil, err
	}
	member.node = node
	member.applied = restored.Snapshot.Index
	member.snapshotIndex = restored.Snapshot.Index
	member.membershipKnown = len(restored.Snapshot.Membership.Voters) > 0
	member.updateStatus()
	return member, nil
}

func (m *Member) restore(snapshot consensus.Snapshot) error {
	length, begin := binary.Uvarint(snapshot.Data)
	if begin <= 0 || length > uint64(len(snapshot.Data)-begin) {
		return errTruncatedSnapshot
	}
	state := begin + int(length)
	var head snapshotHeader
	if err := cbor.Unmarshal(snapshot.Data[begin:state], &head); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	m.directory.replace(head.Directory)
	m.directoryLogged = head.DirectoryLogged
	return m.machine.Restore(snapshot.Data[state:])
}

// errTruncatedSnapshot reports snapshot data without a complete header.
var errTruncatedSnapshot = errors.New("groupmember: snapshot data is truncated")

// Tick records that one tick interval has passed.
func (m *Member) Tick() {
	m.node.Tick()
	m.updateStatus()
}

// TickMissed records ticks during which the caller did not run the member. The caller
// calls Tick next.
func (m *Member) TickMissed(ticks int) {
	m.node.TickMissed(ticks)
	m.updateStatus()
}

// Step handles a message from another member. An error that matches
// consensus.ErrCommittedConflict is final: the member must stop.
func (m *Member) Step(message consensus.Message) error {
	err := m.node.Step(message)
	m.updateStatus()
	return err
}

// AnswerHeartbeat is consensus.Node.AnswerHeartbeat, for use while the caller writes.
func (m *Member) AnswerHeartbeat(message consensus.Message) (consensus.Message, bool) {
	reply, answered := m.node.AnswerHeartbeat(message)
	m.updateStatus()
	return reply, answered
}

// HeartbeatsDuringWrite is consensus.Node.HeartbeatsDuringWrite, for use while the caller
// writes.
func (m *Member) HeartbeatsDuringWrite(elapsed int) []consensus.Message {
	return m.node.HeartbeatsDuringWrite(elapsed)
}

// Propose proposes a command. The result is a Reply.
func (m *Member) Propose(token uint64, command []byte) {
	data, err := cbor.Marshal(envelope{Command: command})
	if err != nil {
		m.fail(token, err)
		return
	}
	index, term, err := m.node.Propose(data)
	m.trackProposal(token, index, term, err)
}

// ChangeMembership adds, promotes or removes a member. Record describes a member to be
// added. The result is a Reply.
func (m *Member) ChangeMembership(token uint64, kind consensus.MembershipChangeKind, record Record) {
	change := consensus.MembershipChange{Kind: kind, Member: record.ID}
	if kind == consensus.AddLearner {
		encoded, err := cbor.Marshal(record)
		if err != nil {
			m.fail(token, err)
			return
		}
		change.Context = encoded
	}
	index, term, err := m.node.ProposeMembership(change)
	m.trackProposal(token, index, term, err)
}

func (m *Member) trackProposal(token, index, term uint64, err error) {
	if err != nil {
		m.fail(token, err)
		return
	}
	m.pending[index] = proposal{token: token, term: term}
}

// Read requests a linearizable read. Once the state includes every command committed
// before the call, a Reply is queued; the caller may read the state until the next
// Advance. Only the leader can serve reads.
func (m *Member) Read(token uint64) {
	m.lastRead++
	if err := m.node.ReadIndex(m.lastRead); err != nil {
		m.fail(token, err)
		return
	}
	m.reads[m.lastRead] = token
}

// TransferTo transfers leadership to another voter before a graceful stop.
func (m *Member) TransferTo(id consensus.MemberID) error { return m.node.TransferLeadership(id) }

// TakeReplies returns the pending replies and clears them.
func (m *Member) TakeReplies() []Reply {
	replies := m.replies
	m.replies = nil
	return replies
}

// Status returns the consensus status as of the last call.
func (m *Member) Status() consensus.Status { return m.status }

// Applied returns the index of the last applied entry.
func (m *Member) Applied() uint64 { return m.applied }

// Directory returns the records of the members by ascending id.
func (m *Member) Directory() []Record { return m.directory.list() }

// Record returns a member's record.
func (m *Member) Record(id consensus.MemberID) (Record, bool) {
	record, found := m.directory[id]
	return record, found
}

// IsLeader reports whether this member is the leader.
func (m *Member) IsLeader() bool { return m.status.Role == consensus.RoleLeader }

// LeaderReady reports whether this member is the leader, is in contact with a quorum, and has
// applied an entry of its own term, so that its state includes all that earlier leaders
// committed.
func (m *Member) LeaderReady() bool {
	start, leads := m.node.TermStart()
	return leads && m.status.QuorumActive && m.applied >= start
}

// CaughtUp reports whether the member has applied everything that was committed at the
// leader's last message.
func (m *Member) CaughtUp() bool {
	return m.applied >= max(m.status.Commit, m.status.Required)
}

// updateStatus updates the consensus status and fails the proposals if leadership was lost.
func (m *Member) updateStatus() {
	led := m.IsLeader()
	m.status = m.node.Status()
	if led && !m.IsLeader() {
		m.failProposals()
	}
}

func (m *Member) failProposals() {
	for _, index := range sortedKeys(m.pending) {
		m.fail(m.pending[index].token, ErrLeadershipLost)
	}
	clear(m.pending)
}

func (m *Member) fail(token uint64, reason error) {
	m.replies = append(m.replies, Reply{Token: token, Err: reason})
}
