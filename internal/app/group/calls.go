package group

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// Propose proposes a command if this member leads, and returns the state machine's result.
// After a *NotLeaderError, ErrNotReady or groupmember.ErrProposalReplaced the command
// certainly has no effect; after any other error the outcome is unknown.
func (m *Member) Propose(ctx context.Context, command []byte) (any, error) {
	return m.ProposeTo(ctx, AnyShard, command)
}

// ProposeTo is Propose for a member of the shard; a member of another shard returns a
// *NotLeaderError.
func (m *Member) ProposeTo(ctx context.Context, shard Shard, command []byte) (any, error) {
	return m.onLeader(ctx, shard, func(l *loop, token uint64) { l.member.Propose(token, command) }, nil)
}

// Read runs read in the loop, if this member leads, on a state that includes every command
// committed before the call. Once Read has returned, read does not run any more, so it may
// write to variables of the caller.
func (m *Member) Read(ctx context.Context, read func(machine groupmember.StateMachine)) error {
	return m.ReadFrom(ctx, AnyShard, read)
}

// ReadFrom is Read for a member of the shard; a member of another shard returns a
// *NotLeaderError.
func (m *Member) ReadFrom(ctx context.Context, shard Shard, read func(machine groupmember.StateMachine)) error {
	_, err := m.onLeader(ctx, shard, func(l *loop, token uint64) { l.member.Read(token) }, read)
	return err
}

type outcome struct {
	result any
	err    error
}

// callback is a function of a caller that the loop runs, unless the caller has returned before:
// it must not write to the caller's variables after that.
type callback struct {
	mutex sync.Mutex
	// run is nil if there is nothing to run, or the caller has returned.
	run func(groupmember.StateMachine)
}

// invoke runs the function in the loop.
func (c *callback) invoke(machine groupmember.StateMachine) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.run != nil {
		c.run(machine)
	}
}

// abandon prevents later runs. It blocks while the function runs.
func (c *callback) abandon() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.run = nil
}

// onLeader runs start in the loop, if this member leads, and returns the reply. After a
// successful reply, it runs read in the loop, unless read is nil.
func (m *Member) onLeader(ctx context.Context, shard Shard, start func(l *loop, token uint64), read func(groupmember.StateMachine)) (any, error) {
	l := m.current.Load()
	if l == nil {
		return nil, ErrNotReady
	}
	if shard != AnyShard && shard != l.shard {
		return nil, &NotLeaderError{}
	}
	done := make(chan outcome, 1)
	call := &callback{run: read}
	defer call.abandon()
	work := func(l *loop) {
		if ctx.Err() != nil {
			done <- outcome{err: eris.Wrap(&NotLeaderError{}, "context ended before the request started")}
			return
		}
		if !l.member.IsLeader() {
			leader, _ := l.member.Record(l.member.Status().Leader)
			done <- outcome{err: &NotLeaderError{Leader: leader}}
			return
		}
		start(l, l.addPendingReply(func(reply groupmember.Reply) {
			err := reply.Err
			if err == nil {
				call.invoke(l.machine)
			}
			if rejectedByCore(err) {
				err = &NotLeaderError{}
			}
			done <- outcome{result: reply.Result, err: err}
		}))
	}
	select {
	case l.requests <- work:
	case <-l.stopped:
		return nil, ErrNotReady
	case <-ctx.Done():
		return nil, eris.Wrap(&NotLeaderError{}, "context ended while the request queue was full")
	}
	select {
	case reply := <-done:
		return reply.result, reply.err
	case <-l.stopped:
		return nil, groupmember.ErrLeadershipLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// rejectedByCore reports whether an error means that nothing was appended to the log.
func rejectedByCore(err error) bool {
	for _, rejection := range []error{consensus.ErrNotLeader, consensus.ErrRemoved, consensus.ErrTransferring, consensus.ErrQueueFull} {
		if errors.Is(err, rejection) {
			return true
		}
	}
	return false
}

// Inspect runs inspect in the loop on the local state, which may be stale. Once Inspect has
// returned, inspect does not run any more.
func (m *Member) Inspect(ctx context.Context, inspect func(machine groupmember.StateMachine)) error {
	return m.InspectFrom(ctx, AnyShard, inspect)
}

// InspectFrom is Inspect for a member of the shard; a member of another shard returns a
// *NotLeaderError.
func (m *Member) InspectFrom(ctx context.Context, shard Shard, inspect func(machine groupmember.StateMachine)) error {
	l := m.current.Load()
	if l == nil {
		return ErrNotReady
	}
	if shard != AnyShard && shard != l.shard {
		return &NotLeaderError{}
	}
	done := make(chan struct{})
	call := &callback{run: inspect}
	defer call.abandon()
	select {
	case l.requests <- func(l *loop) { call.invoke(l.machine); close(done) }:
	case <-l.stopped:
		return ErrNotReady
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return ErrNotReady
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TransferLeadership transfers leadership to another voter before a graceful stop. It waits
// up to an election timeout for another member to lead.
func (m *Member) TransferLeadership(ctx context.Context) {
	l := m.current.Load()
	if l == nil || !m.isLeader() {
		return
	}
	select {
	case l.requests <- func(l *loop) { l.startTransfer() }:
	default:
		return
	}
	deadline := time.After(m.config.electionTimeout())
	for m.isLeader() {
		select {
		case <-time.After(m.config.Tick / 2):
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// TransferTo starts a transfer of leadership to the voter at an address, if this member
// leads and the voter is active and caught up. It reports whether it did.
func (m *Member) TransferTo(address string) bool {
	published := m.PublishedState()
	l := m.current.Load()
	if l == nil || published == nil || !published.LeaderReady {
		return false
	}
	for _, record := range published.Records {
		if record.Address != address || !published.Status.Membership.IsVoter(record.ID) {
			continue
		}
		for _, peer := range published.Status.Progress {
			if peer.ID == record.ID && peer.Active && peer.CaughtUp {
				l.requests <- func(l *loop) { _ = l.member.TransferTo(record.ID) }
				return true
			}
		}
	}
	return false
}

func (m *Member) isLeader() bool {
	published := m.published.Load()
	return published != nil && published.Status.Role == consensus.RoleLeader
}
