package group

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// Propose puts a command through the log if this member leads, and gives the
// state machine's result. A *NotLeaderError and ErrNotReady say that the
// command has no effect; so does groupmember.ErrProposalReplaced. Any other error
// leaves it open.
func (m *Member) Propose(ctx context.Context, command []byte) (any, error) {
	return m.ProposeTo(ctx, AnyShard, command)
}

// ProposeTo is Propose for a member of the shard; one of another shard refuses with a
// *NotLeaderError.
func (m *Member) ProposeTo(ctx context.Context, shard Shard, command []byte) (any, error) {
	return m.onLeader(ctx, shard, func(l *loop, token uint64) { l.member.Propose(token, command) }, nil)
}

// Read runs read in the loop on a state that shows every command committed
// before the call, if this member leads.
func (m *Member) Read(ctx context.Context, read func(machine groupmember.StateMachine)) error {
	return m.ReadFrom(ctx, AnyShard, read)
}

// ReadFrom is Read for a member of the shard; one of another shard refuses with a
// *NotLeaderError.
func (m *Member) ReadFrom(ctx context.Context, shard Shard, read func(machine groupmember.StateMachine)) error {
	_, err := m.onLeader(ctx, shard, func(l *loop, token uint64) { l.member.Read(token) }, read)
	return err
}

type outcome struct {
	result any
	err    error
}

func (m *Member) onLeader(ctx context.Context, shard Shard, start func(l *loop, token uint64), read func(groupmember.StateMachine)) (any, error) {
	l := m.current.Load()
	if l == nil {
		return nil, ErrNotReady
	}
	if shard != AnyShard && shard != l.shard {
		return nil, &NotLeaderError{}
	}
	done := make(chan outcome, 1)
	posted := func(l *loop) {
		if ctx.Err() != nil {
			done <- outcome{err: eris.Wrap(&NotLeaderError{}, "given up before it began")}
			return
		}
		if !l.member.IsLeader() {
			leader, _ := l.member.Record(l.member.Status().Leader)
			done <- outcome{err: &NotLeaderError{Leader: leader}}
			return
		}
		start(l, l.await(func(reply groupmember.Reply) {
			err := reply.Err
			if err == nil && read != nil {
				read(l.machine)
			}
			if refusedByCore(err) {
				err = &NotLeaderError{}
			}
			done <- outcome{result: reply.Result, err: err}
		}))
	}
	select {
	case l.requests <- posted:
	case <-l.stopped:
		return nil, ErrNotReady
	case <-ctx.Done():
		return nil, eris.Wrap(&NotLeaderError{}, "the loop took no request in time")
	}
	select {
	case answered := <-done:
		return answered.result, answered.err
	case <-l.stopped:
		return nil, groupmember.ErrLeadershipLost
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// refusedByCore reports whether an error left nothing in the log.
func refusedByCore(err error) bool {
	for _, refusal := range []error{consensus.ErrNotLeader, consensus.ErrRemoved, consensus.ErrTransferring, consensus.ErrQueueFull} {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}

// Inspect runs look in the loop on the state as it is here, which may be old.
func (m *Member) Inspect(ctx context.Context, look func(machine groupmember.StateMachine)) error {
	return m.InspectFrom(ctx, AnyShard, look)
}

// InspectFrom is Inspect for a member of the shard; one of another shard refuses with a
// *NotLeaderError.
func (m *Member) InspectFrom(ctx context.Context, shard Shard, look func(machine groupmember.StateMachine)) error {
	l := m.current.Load()
	if l == nil {
		return ErrNotReady
	}
	if shard != AnyShard && shard != l.shard {
		return &NotLeaderError{}
	}
	done := make(chan struct{})
	select {
	case l.requests <- func(l *loop) { look(l.machine); close(done) }:
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

// HandOver asks another voter to lead, before a planned stop, and waits a
// moment for it.
func (m *Member) TransferLeadership(ctx context.Context) {
	l := m.current.Load()
	if l == nil || !m.leads() {
		return
	}
	select {
	case l.requests <- func(l *loop) { l.transfer() }:
	default:
		return
	}
	deadline := time.After(m.config.electionTimeout())
	for m.leads() {
		select {
		case <-time.After(m.config.Tick / 2):
		case <-deadline:
			return
		case <-ctx.Done():
			return
		}
	}
}

// TransferTo offers leadership to the voter at an address, if this member leads
// and that one is in touch and caught up. It reports whether it was offered.
func (m *Member) TransferTo(address string) bool {
	shown := m.PublishedState()
	l := m.current.Load()
	if l == nil || shown == nil || !shown.LeaderReady {
		return false
	}
	for _, record := range shown.Records {
		if record.Address != address || !shown.Status.Membership.IsVoter(record.ID) {
			continue
		}
		for _, peer := range shown.Status.Progress {
			if peer.ID == record.ID && peer.Active && peer.CaughtUp {
				l.requests <- func(l *loop) { _ = l.member.TransferTo(record.ID) }
				return true
			}
		}
	}
	return false
}

func (m *Member) leads() bool {
	shown := m.shown.Load()
	return shown != nil && shown.Status.Role == consensus.RoleLeader
}
