package control

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/port"
)

// outcome is a reply of the loop or, if this member is not the leader, the leader.
type outcome struct {
	reply  controlmember.Reply
	leader consensus.MemberID
	// notLeader is set if this member is not the leader.
	notLeader bool
}

// onLeader runs start in the loop if this member is the leader, and waits for the
// reply.
func (m *Member) onLeader(ctx context.Context, start func(l *loop, token uint64)) (outcome, error) {
	reply := make(chan controlmember.Reply, 1)
	redirect := make(chan consensus.MemberID, 1)
	refusal := m.loop().post(ctx, func(l *loop) {
		if !l.member.IsLeader() || ctx.Err() != nil {
			redirect <- l.member.Leader()
			return
		}
		start(l, l.addPendingReply(reply))
	})
	if refusal != nil {
		return outcome{}, refusal
	}
	select {
	case answered := <-reply:
		return outcome{reply: answered}, nil
	case leader := <-redirect:
		return outcome{leader: leader, notLeader: true}, nil
	case <-m.loop().stopped:
		return outcome{}, m.errAfterStop(reply)
	case <-ctx.Done():
		return outcome{}, port.NewError(port.MayHaveRun, port.CodeDeadline, "no answer in time")
	}
}

// errAfterStop returns the error of a call that was pending when the loop stopped.
func (m *Member) errAfterStop(reply <-chan controlmember.Reply) *port.Error {
	select {
	case answered := <-reply:
		if answered.Error != nil {
			return answered.Error
		}
	default:
	}
	return port.NewError(port.MayHaveRun, port.CodeUnavailable, "the control member stopped before the answer")
}

// withRetryAfter sets RetryAfter of an unavailable error to the election timeout.
func (m *Member) withRetryAfter(refusal *port.Error) *port.Error {
	if refusal.Code != port.CodeUnavailable || refusal.RetryAfter != 0 {
		return refusal
	}
	adjusted := *refusal
	adjusted.RetryAfter = m.config.electionTimeout()
	return &adjusted
}

func (m *Member) errNoLeader() *port.Error {
	return m.withRetryAfter(port.NewError(port.NotRun, port.CodeUnavailable, "the control group has no leader known to this member"))
}

// viaLeader runs start if this member is the leader, and otherwise calls forward
// once. forward is nil for requests that another member forwarded.
func (m *Member) viaLeader(ctx context.Context, start func(l *loop, token uint64), forward func(consensus.MemberID) (port.Result, error)) (port.Result, error) {
	done, err := m.onLeader(ctx, start)
	switch {
	case err != nil:
		return port.Result{}, m.withRetryAfter(port.AsError(err))
	case !done.notLeader && done.reply.Error != nil:
		return port.Result{}, m.withRetryAfter(done.reply.Error)
	case !done.notLeader:
		return done.reply.Result, nil
	case forward == nil || done.leader == consensus.None || uint64(done.leader) == m.config.ID:
		return port.Result{}, m.errNoLeader()
	}
	result, err := forward(done.leader)
	if err != nil {
		return port.Result{}, m.withRetryAfter(port.AsError(err))
	}
	return result, nil
}

// propose commits a command through the log, at the leader if necessary.
func (m *Member) propose(ctx context.Context, command port.Command, forwarded bool) (port.Result, error) {
	start := func(l *loop, token uint64) { l.member.Propose(token, command) }
	if forwarded {
		return m.viaLeader(ctx, start, nil)
	}
	started := time.Now()
	result, err := m.viaLeader(ctx, start, func(leader consensus.MemberID) (port.Result, error) {
		var result port.Result
		err := m.peers.call(ctx, leader, peerapi.MethodForward, command, &result)
		return result, err
	})
	m.recordCommand(result, err, time.Since(started))
	return result, err
}

// recordCommand records the metrics of a command.
func (m *Member) recordCommand(result port.Result, err error, elapsed time.Duration) {
	if m.config.Recorder == nil {
		return
	}
	refusal := result.Error
	if err != nil {
		refusal = port.AsError(err)
	}
	m.config.Recorder.CommandDone(refusal, elapsed)
}

// readIndex returns an index that covers every change accepted before the call.
func (m *Member) readIndex(ctx context.Context, forwarded bool) (uint64, error) {
	start := func(l *loop, token uint64) { l.member.Read(token) }
	forward := func(leader consensus.MemberID) (port.Result, error) {
		var answer readIndexAnswer
		err := m.peers.call(ctx, leader, methodReadIndex, peerapi.Empty{}, &answer)
		return port.Result{Index: answer.Index}, err
	}
	if forwarded {
		forward = nil
	}
	result, err := m.viaLeader(ctx, start, forward)
	if err != nil {
		refusal := *port.AsError(err)
		refusal.Verdict = port.NotRun // a read has no effect
		return 0, &refusal
	}
	return result.Index, nil
}

// readState runs read in the loop, on a state that includes every change accepted
// before the call.
func (m *Member) readState(ctx context.Context, read func(member *controlmember.Member)) error {
	index, err := m.readIndex(ctx, false)
	if err != nil {
		return err
	}
	if err := m.waitApplied(ctx, index); err != nil {
		return err
	}
	return m.inLoop(ctx, func(l *loop) { read(l.member) })
}

func (m *Member) waitApplied(ctx context.Context, index uint64) error {
	done := make(chan struct{})
	refusal := m.loop().post(ctx, func(l *loop) {
		if l.member.State().Applied() >= index {
			close(done)
			return
		}
		l.pendingReads = append(l.pendingReads, pendingRead{index: index, done: done})
	})
	if refusal != nil {
		return refusal
	}
	return m.awaitLoop(ctx, done)
}

// inLoop runs work in the loop and waits until it is done.
func (m *Member) inLoop(ctx context.Context, work request) error {
	done := make(chan struct{})
	refusal := m.loop().post(ctx, func(l *loop) {
		work(l)
		close(done)
	})
	if refusal != nil {
		return refusal
	}
	return m.awaitLoop(ctx, done)
}

func (m *Member) awaitLoop(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-m.loop().stopped:
		return errStopped()
	case <-ctx.Done():
		return port.NewError(port.NotRun, port.CodeDeadline, "the read did not finish in time")
	}
}

// changeMember adds, promotes or removes a control member, at the leader if
// necessary.
func (m *Member) changeMember(ctx context.Context, change operatorapi.MemberChange, forwarded bool) (port.Result, error) {
	start := func(l *loop, token uint64) {
		if reason := checkMemberChange(l.member.Status().Membership, change); reason != nil {
			l.pendingReplies[token] <- controlmember.Reply{Token: token, Error: reason}
			delete(l.pendingReplies, token)
			return
		}
		l.member.ChangeMembership(token, membershipChange(change))
	}
	forward := func(leader consensus.MemberID) (port.Result, error) {
		var result port.Result
		err := m.peers.call(ctx, leader, methodChangeMember, change, &result)
		return result, err
	}
	if forwarded {
		forward = nil
	}
	return m.viaLeader(ctx, start, forward)
}

func membershipChange(change operatorapi.MemberChange) consensus.MembershipChange {
	kinds := map[operatorapi.MemberAction]consensus.MembershipChangeKind{
		operatorapi.MemberAdd:     consensus.AddLearner,
		operatorapi.MemberPromote: consensus.PromoteLearner,
		operatorapi.MemberRemove:  consensus.RemoveMember,
	}
	return consensus.MembershipChange{
		Kind:    kinds[change.Action],
		Member:  consensus.MemberID(change.ID),
		Context: []byte(change.Address),
	}
}

// checkMemberChange rejects changes that cannot succeed on retry.
func checkMemberChange(membership consensus.Membership, change operatorapi.MemberChange) *port.Error {
	id := consensus.MemberID(change.ID)
	switch {
	case change.Action == operatorapi.MemberAdd && membership.Contains(id):
		return port.NewError(port.NotRun, port.CodeConflict, "member %d is in the group already", id)
	case change.Action == operatorapi.MemberAdd && id <= membership.HighestID:
		return port.InvalidField("id", formatUint(change.ID), "a number above "+formatUint(uint64(membership.HighestID)))
	case change.Action != operatorapi.MemberAdd && !membership.Contains(id):
		return port.NewError(port.NotRun, port.CodeNotFound, "no member %d", id)
	case change.Action == operatorapi.MemberPromote && membership.IsVoter(id):
		return port.NewError(port.NotRun, port.CodeConflict, "member %d is a voter already", id)
	}
	return nil
}
