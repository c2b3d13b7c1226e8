package controlmember

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// DefaultSnapshotEntries is the number of applied entries between snapshots.
const DefaultSnapshotEntries = 4096

// Config sets a Member up.
type Config struct {
	Consensus consensus.Config
	// TickInterval is the time between two calls of Tick.
	TickInterval time.Duration
	// SnapshotEntries is the number of applied entries after which a snapshot is
	// due; 0 takes DefaultSnapshotEntries.
	SnapshotEntries uint64
	// NoTimeJump lets a leader keep silent about a jump of the log's time. Only
	// tests that show what the telling is for set it.
	NoTimeJump bool
}

// Member is one control member. It is not safe for concurrent use.
type Member struct {
	config  Config
	node    *consensus.Node
	state   *controlstate.State
	clock   logClock
	wall    time.Time
	status  consensus.Status
	pending map[uint64]proposal // by log index
	reads   map[uint64]uint64   // token by request id
	waiting []waitingRead
	replies []Reply
	// lastRead is the last request id given to a read.
	lastRead uint64
	// snapshotIndex is the position of the last durable snapshot.
	snapshotIndex uint64
}

type proposal struct {
	token uint64
	term  uint64
}

type waitingRead struct {
	token uint64
	index uint64
}

// Reply answers the call that carried Token. Error is set if the call did not
// get through the log; a refusal by the state machine stands in Result.Error.
type Reply struct {
	Token  uint64
	Result port.Result
	Error  *port.Error
}

// New makes a member from what its storage gave back. Wall is its clock. It
// fails if the restored state is unusable; the member must then not take part.
func New(config Config, restored consensus.Restored, wall time.Time) (*Member, error) {
	if config.TickInterval <= 0 {
		return nil, fmt.Errorf("%w: tick interval %v", consensus.ErrConfig, config.TickInterval)
	}
	if config.SnapshotEntries == 0 {
		config.SnapshotEntries = DefaultSnapshotEntries
	}
	state := controlstate.New()
	if len(restored.Snapshot.Data) > 0 {
		if err := state.Restore(restored.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	node, err := consensus.New(config.Consensus, restored)
	if err != nil {
		return nil, err
	}
	member := &Member{
		config: config, node: node, state: state, wall: wall,
		clock:   logClock{tick: config.TickInterval},
		pending: map[uint64]proposal{}, reads: map[uint64]uint64{},
		snapshotIndex: restored.Snapshot.Index,
	}
	member.refresh()
	return member, nil
}

// TickMissed notes that ticks passed while the owner was held up and did not run the member.
// Tick follows.
func (m *Member) TickMissed(ticks int) {
	m.clock.advance(max(0, ticks))
	m.node.TickMissed(ticks)
}

// Tick notes that one tick interval passed; wall is the member's clock now. Where more than
// one passed since, TickMissed goes before it.
func (m *Member) Tick(wall time.Time) {
	m.wall = wall
	m.clock.advance(1)
	m.node.Tick()
	m.refresh()
}

// Step handles a message from another member. An error that matches
// consensus.ErrCommittedConflict is final: the member must stop.
func (m *Member) Step(message consensus.Message) error {
	err := m.node.Step(message)
	m.refresh()
	return err
}

// Propose puts a command into the log. The leader's time is stamped on it. The
// answer comes as a Reply: at once, with verdict NotRun, if the command did not
// enter the log.
func (m *Member) Propose(token uint64, command port.Command) {
	command.Time, command.TimeJump = m.clock.now(), m.clock.jumpMillis()
	if m.config.NoTimeJump {
		command.TimeJump = 0
	}
	data, err := controlstate.EncodeCommand(command)
	if err != nil {
		m.fail(token, port.NewError(port.NotRun, port.CodeInvalid, "command cannot be encoded: %v", err))
		return
	}
	index, term, err := m.node.Propose(data)
	if err != nil {
		m.fail(token, refusal(err))
		return
	}
	m.clock.jump = 0
	m.pending[index] = proposal{token: token, term: term}
}

// ChangeMembership adds, promotes or removes a control member. A change's
// context is the member's address. The answer comes as a Reply.
func (m *Member) ChangeMembership(token uint64, change consensus.MembershipChange) {
	index, term, err := m.node.ProposeMembership(change)
	if err != nil {
		m.fail(token, refusal(err))
		return
	}
	m.pending[index] = proposal{token: token, term: term}
}

// Read asks for a moment at which this member's state shows every change that
// was accepted before the call. It comes as a Reply with the revision; State
// may be read until the next Advance.
func (m *Member) Read(token uint64) {
	m.lastRead++
	if err := m.node.ReadIndex(m.lastRead); err != nil {
		m.fail(token, refusal(err))
		return
	}
	m.reads[m.lastRead] = token
}

// TransferTo hands leadership to another voter before a planned stop.
func (m *Member) TransferTo(id consensus.MemberID) error { return m.node.TransferLeadership(id) }

// TakeReplies gives the replies that have come up and forgets them.
func (m *Member) TakeReplies() []Reply {
	replies := m.replies
	m.replies = nil
	return replies
}

// State gives the applied state, for reading only.
func (m *Member) State() *controlstate.State { return m.state }

// Status gives the consensus view as of the last call.
func (m *Member) Status() consensus.Status { return m.status }

// IsLeader says whether this member leads.
func (m *Member) IsLeader() bool { return m.status.Role == consensus.RoleLeader }

// Leader names the member that this one takes for the leader, or None.
func (m *Member) Leader() consensus.MemberID { return m.status.Leader }

// QuorumContact says whether the member is in touch with a quorum: as a leader
// itself, else through the leader, which steps down when it loses the quorum.
func (m *Member) QuorumContact() bool { return m.status.QuorumActive }

// CaughtUp says whether the member has applied everything that was committed
// when it last heard from the leader.
func (m *Member) CaughtUp() bool {
	return m.state.Applied() >= max(m.status.Commit, m.status.Required)
}

// Update gives what an observer at position after lacks. Confirmed is set only
// while the member is in touch with a quorum and caught up.
func (m *Member) Update(after uint64) port.ViewUpdate {
	update := m.state.Update(after)
	update.Confirmed = m.QuorumContact() && m.CaughtUp()
	return update
}

// refresh takes over the consensus status and reacts to won or lost leadership.
func (m *Member) refresh() {
	m.status = m.node.Status()
	m.clock.observe(m.state.Time())
	leads := m.IsLeader()
	if leads && !m.clock.leads {
		m.clock.start(m.wall)
	}
	if !leads && m.clock.leads {
		m.clock.stop()
		m.dropProposals()
	}
}

// dropProposals answers what was proposed in a leadership that is lost. The
// entries may yet be committed by another leader.
func (m *Member) dropProposals() {
	for _, index := range sortedKeys(m.pending) {
		m.fail(m.pending[index].token, port.NewError(port.MayHaveRun, port.CodeUnavailable, "leadership was lost before the answer"))
	}
	clear(m.pending)
}

func (m *Member) fail(token uint64, reason *port.Error) {
	m.replies = append(m.replies, Reply{Token: token, Error: reason})
}

// refusal translates a consensus error to the one that callers see. None of the
// calls it is for left anything in the log.
func refusal(err error) *port.Error {
	return port.NewError(port.NotRun, port.CodeUnavailable, "%v", err)
}
