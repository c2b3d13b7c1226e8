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

// Config configures a Member.
type Config struct {
	Consensus consensus.Config
	// TickInterval is the time between two calls of Tick.
	TickInterval time.Duration
	// SnapshotEntries is the number of applied entries after which a snapshot is due; 0
	// means DefaultSnapshotEntries.
	SnapshotEntries uint64
	// NoTimeJump disables the reports of jumps of the log time. Only tests set it, to show
	// the resulting failure.
	NoTimeJump bool
}

// Member is one control member. It is not safe for concurrent use.
type Member struct {
	config         Config
	node           *consensus.Node
	state          *controlstate.State
	clock          logClock
	wall           time.Time
	status         consensus.Status
	pending        map[uint64]proposal // by log index
	reads          map[uint64]uint64   // token by request id
	confirmedReads []confirmedRead
	replies        []Reply
	// lastRead is the request id of the last read.
	lastRead uint64
	// snapshotIndex is the index of the last durable snapshot.
	snapshotIndex uint64
}

type proposal struct {
	token uint64
	term  uint64
}

type confirmedRead struct {
	token uint64
	index uint64
}

// Reply is the result of the call with the same Token. Error is set if the call failed
// before it was applied; an error of the state machine is in Result.Error.
type Reply struct {
	Token  uint64
	Result port.Result
	Error  *port.Error
}

// New returns a member with the state that its storage restored and the current wall
// clock. It fails if that state is invalid; the member must then not start.
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
	member.updateStatus()
	return member, nil
}

// TickMissed records ticks during which the caller did not run the member. The caller
// calls Tick next.
func (m *Member) TickMissed(ticks int) {
	m.clock.advance(max(0, ticks))
	m.node.TickMissed(ticks)
}

// Tick records that one tick interval has passed; wall is the current wall clock. If more
// than one has passed, the caller calls TickMissed first.
func (m *Member) Tick(wall time.Time) {
	m.wall = wall
	m.clock.advance(1)
	m.node.Tick()
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

// Propose proposes a command, stamped with the leader's time. The result is a Reply; if
// the command does not enter the log, the Reply is queued immediately, with verdict NotRun.
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
		m.fail(token, unavailable(err))
		return
	}
	m.clock.jump = 0
	m.pending[index] = proposal{token: token, term: term}
}

// ChangeMembership adds, promotes or removes a control member. The context of the change
// is the member's address. The result is a Reply.
func (m *Member) ChangeMembership(token uint64, change consensus.MembershipChange) {
	index, term, err := m.node.ProposeMembership(change)
	if err != nil {
		m.fail(token, unavailable(err))
		return
	}
	m.pending[index] = proposal{token: token, term: term}
}

// Read requests a linearizable read. Once the state includes every change accepted before
// the call, a Reply with the revision is queued; the caller may read State until the next
// Advance.
func (m *Member) Read(token uint64) {
	m.lastRead++
	if err := m.node.ReadIndex(m.lastRead); err != nil {
		m.fail(token, unavailable(err))
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

// State returns the applied state. It is read-only.
func (m *Member) State() *controlstate.State { return m.state }

// Status returns the consensus status as of the last call.
func (m *Member) Status() consensus.Status { return m.status }

// IsLeader reports whether this member is the leader.
func (m *Member) IsLeader() bool { return m.status.Role == consensus.RoleLeader }

// Leader returns the leader that this member follows, or None.
func (m *Member) Leader() consensus.MemberID { return m.status.Leader }

// QuorumActive reports whether the member is in contact with a quorum: directly as the
// leader, or through the leader, which steps down when it loses the quorum.
func (m *Member) QuorumActive() bool { return m.status.QuorumActive }

// CaughtUp reports whether the member has applied everything that was committed at the
// leader's last message.
func (m *Member) CaughtUp() bool {
	return m.state.Applied() >= max(m.status.Commit, m.status.Required)
}

// Update returns the changes after position after, for an observer. Confirmed is set only
// while the member is in contact with a quorum and caught up.
func (m *Member) Update(after uint64) port.ViewUpdate {
	update := m.state.Update(after)
	update.Confirmed = m.QuorumActive() && m.CaughtUp()
	return update
}

// updateStatus updates the consensus status and handles gained or lost leadership.
func (m *Member) updateStatus() {
	m.status = m.node.Status()
	m.clock.observe(m.state.Time())
	leads := m.IsLeader()
	if leads && !m.clock.leading {
		m.clock.start(m.wall)
	}
	if !leads && m.clock.leading {
		m.clock.stop()
		m.failProposals()
	}
}

// failProposals fails the pending proposals after leadership was lost. Another leader may
// still commit them.
func (m *Member) failProposals() {
	for _, index := range sortedKeys(m.pending) {
		m.fail(m.pending[index].token, port.NewError(port.MayHaveRun, port.CodeUnavailable, "leadership was lost before the answer"))
	}
	clear(m.pending)
}

func (m *Member) fail(token uint64, reason *port.Error) {
	m.replies = append(m.replies, Reply{Token: token, Error: reason})
}

// unavailable converts a consensus error of a call that appended nothing to the log.
func unavailable(err error) *port.Error {
	return port.NewError(port.NotRun, port.CodeUnavailable, "%v", err)
}
