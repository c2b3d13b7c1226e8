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
	// DefaultSnapshotEntries is the number of applied entries between snapshots.
	DefaultSnapshotEntries = 8192
	// DefaultSnapshotBytes is the size of applied entries between snapshots.
	DefaultSnapshotBytes = 6 << 20
)

var (
	// ErrLeadershipLost answers a proposal whose outcome is not known: another
	// leader may yet commit it.
	ErrLeadershipLost = errors.New("groupmember: leadership was lost before the answer")
	// ErrDisplaced answers a proposal that certainly has no effect.
	ErrDisplaced = errors.New("groupmember: another leader's entry took the place in the log")
)

// StateMachine is the replicated state. Its calls come one at a time.
type StateMachine interface {
	// Apply applies the command at a position of the log. The result goes to
	// the proposer.
	Apply(index uint64, command []byte) any
	// Snapshot captures the whole state as it is now. Later calls of Apply do not
	// change what is captured.
	Snapshot() Encoder
	// Restore replaces the state by an encoded one.
	Restore(data []byte) error
}

// Encoder writes a captured state behind what a buffer holds, as a state may be most of
// what a member has in memory. It is called once, and may run in another goroutine beside
// the calls of the state machine.
type Encoder func(into *bytes.Buffer) error

// Bytes gives the encoded state alone.
func (e Encoder) Bytes() ([]byte, error) {
	var state bytes.Buffer
	err := e(&state)
	return state.Bytes(), err
}

// Config sets a Member up. Zero sizes take defaults.
type Config struct {
	Consensus       consensus.Config
	SnapshotEntries uint64
	SnapshotBytes   int
	// Founders are the records of the members that founded the group. Only
	// they have them; their leader tells those that join.
	Founders []Record
}

// envelope is the data of a normal entry: a command or the directory.
type envelope struct {
	Command   []byte   `cbor:"1,keyasint,omitempty"`
	Directory []Record `cbor:"2,keyasint,omitempty"`
}

// snapshotHead is what the data of a snapshot begins with, in CBOR and behind its
// length; the state machine's encoding follows.
type snapshotHead struct {
	Directory []Record `cbor:"1,keyasint"`
	Told      bool     `cbor:"3,keyasint"`
}

// Reply answers the call that carried Token.
type Reply struct {
	Token  uint64
	Result any
	// Err is set if the call did not get through the log.
	Err error
}

// Member is one member of a group. It is not safe for concurrent use.
type Member struct {
	config    Config
	node      *consensus.Node
	machine   StateMachine
	directory directory
	// told is set once the directory of the founders stands in the log.
	told    bool
	status  consensus.Status
	applied uint64
	pending map[uint64]proposal // by log index
	reads   map[uint64]uint64   // token by request id
	waiting []waitingRead
	replies []Reply

	// placed is set once the members at the applied position are known. A
	// member that joins reads the log from before it was added.
	placed bool

	lastRead        uint64
	snapshotIndex   uint64
	bytesSinceSaved int
	// bytesSinceCaptured counts what was applied since the last capture, which is
	// not in the snapshot that it becomes.
	bytesSinceCaptured int
	// savedBytes is the size of the last snapshot: a large state is not saved
	// again before as much was written.
	savedBytes int
}

type proposal struct {
	token uint64
	term  uint64
}

type waitingRead struct {
	token uint64
	index uint64
}

// New makes a member from what its storage gave back. Machine must be empty.
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
	member.placed = len(restored.Snapshot.Membership.Voters) > 0
	member.refresh()
	return member, nil
}

func (m *Member) restore(snapshot consensus.Snapshot) error {
	length, begin := binary.Uvarint(snapshot.Data)
	if begin <= 0 || length > uint64(len(snapshot.Data)-begin) {
		return errNoSnapshot
	}
	state := begin + int(length)
	var head snapshotHead
	if err := cbor.Unmarshal(snapshot.Data[begin:state], &head); err != nil {
		return eris.Wrap(err, "decode snapshot")
	}
	m.directory.replace(head.Directory)
	m.told = head.Told
	return m.machine.Restore(snapshot.Data[state:])
}

// errNoSnapshot reports bytes that are no snapshot's.
var errNoSnapshot = errors.New("groupmember: the data of a snapshot is cut short")

// Tick notes that one tick passed.
func (m *Member) Tick() {
	m.node.Tick()
	m.refresh()
}

// TickMissed notes that ticks passed while the owner was held up and did not run the
// member. Tick follows.
func (m *Member) TickMissed(ticks int) {
	m.node.TickMissed(ticks)
	m.refresh()
}

// Step handles a message from another member. An error that matches
// consensus.ErrCommittedConflict is final: the member must stop.
func (m *Member) Step(message consensus.Message) error {
	err := m.node.Step(message)
	m.refresh()
	return err
}

// Propose puts a command into the log. The answer comes as a Reply.
func (m *Member) Propose(token uint64, command []byte) {
	data, err := cbor.Marshal(envelope{Command: command})
	if err != nil {
		m.fail(token, err)
		return
	}
	index, term, err := m.node.Propose(data)
	m.await(token, index, term, err)
}

// ChangeMembership adds, promotes or removes a member. Record is that of a
// member to be added.
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
	m.await(token, index, term, err)
}

func (m *Member) await(token, index, term uint64, err error) {
	if err != nil {
		m.fail(token, err)
		return
	}
	m.pending[index] = proposal{token: token, term: term}
}

// Read asks for a moment at which this member's state shows every command that
// was committed before the call. Only a leader can serve it. The state may be
// read until the next Advance.
func (m *Member) Read(token uint64) {
	m.lastRead++
	if err := m.node.ReadIndex(m.lastRead); err != nil {
		m.fail(token, err)
		return
	}
	m.reads[m.lastRead] = token
}

// TransferTo hands leadership to another voter.
func (m *Member) TransferTo(id consensus.MemberID) error { return m.node.TransferLeadership(id) }

// TakeReplies gives the replies that have come up and forgets them.
func (m *Member) TakeReplies() []Reply {
	replies := m.replies
	m.replies = nil
	return replies
}

// Status gives the consensus view as of the last call.
func (m *Member) Status() consensus.Status { return m.status }

// Applied gives the index of the last applied entry.
func (m *Member) Applied() uint64 { return m.applied }

// Directory gives the records of the members by ascending id.
func (m *Member) Directory() []Record { return m.directory.list() }

// Record finds a member's record.
func (m *Member) Record(id consensus.MemberID) (Record, bool) {
	record, found := m.directory[id]
	return record, found
}

// IsLeader says whether this member leads.
func (m *Member) IsLeader() bool { return m.status.Role == consensus.RoleLeader }

// Settled says whether this member leads, is in touch with a quorum, and has
// applied an entry of its own term: its state shows all that was committed
// under earlier leaders.
func (m *Member) Settled() bool {
	start, leads := m.node.TermStart()
	return leads && m.status.QuorumActive && m.applied >= start
}

// CaughtUp says whether the member has applied everything that was committed
// when it last heard from the leader.
func (m *Member) CaughtUp() bool {
	return m.applied >= max(m.status.Commit, m.status.Required)
}

// refresh takes over the consensus status and reacts to lost leadership.
func (m *Member) refresh() {
	led := m.IsLeader()
	m.status = m.node.Status()
	if led && !m.IsLeader() {
		m.dropProposals()
	}
}

func (m *Member) dropProposals() {
	for _, index := range sortedKeys(m.pending) {
		m.fail(m.pending[index].token, ErrLeadershipLost)
	}
	clear(m.pending)
}

func (m *Member) fail(token uint64, reason error) {
	m.replies = append(m.replies, Reply{Token: token, Err: reason})
}
