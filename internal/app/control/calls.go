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

// outcome is the reply of the leader here, or the leader to ask instead.
type outcome struct {
	reply  controlmember.Reply
	leader consensus.MemberID
	// refused is set if this member does not lead.
	refused bool
}

// onLeader runs start in the loop if this member leads, and waits for the
// reply.
func (m *Member) onLeader(ctx context.Context, start func(l *loop, token uint64)) (outcome, error) {
	reply := make(chan controlmember.Reply, 1)
	redirect := make(chan consensus.MemberID, 1)
	refusal := m.loop().post(ctx, func(l *loop) {
		if !l.member.IsLeader() || ctx.Err() != nil {
			redirect <- l.member.Leader()
			return
		}
		start(l, l.await(reply))
	})
	if refusal != nil {
		return outcome{}, refusal
	}
	select {
	case answered := <-reply:
		return outcome{reply: answered}, nil
	case leader := <-redirect:
		return outcome{leader: leader, refused: true}, nil
	case <-m.loop().stopped:
		return outcome{}, m.afterStop(reply)
	case <-ctx.Done():
		return outcome{}, port.NewError(port.MayHaveRun, port.CodeDeadline, "no answer in time")
	}
}

// afterStop is the outcome of a call that the loop's end overtook.
func (m *Member) afterStop(reply <-chan controlmember.Reply) *port.Error {
	select {
	case answered := <-reply:
		if answered.Error != nil {
			return answered.Error
		}
	default:
	}
	return port.NewError(port.MayHaveRun, port.CodeUnavailable, "the control member stopped before the answer")
}

// withRetryAfter advises when a group without a leader may have one again.
func (m *Member) withRetryAfter(refusal *port.Error) *port.Error {
	if refusal.Code != port.CodeUnavailable || refusal.RetryAfter != 0 {
		return refusal
	}
	advised := *refusal
	advised.RetryAfter = m.config.electionTimeout()
	return &advised
}

func (m *Member) errNoLeader() *port.Error {
	return m.withRetryAfter(port.NewError(port.NotRun, port.CodeUnavailable, "the control group has no leader that this member knows"))
}

// viaLeader runs start here if this member leads, else sends the request to the
// leader once. A request that came from a member has no forward and is not
// passed on again.
func (m *Member) viaLeader(ctx context.Context, start func(l *loop, token uint64), forward func(consensus.MemberID) (port.Result, error)) (port.Result, error) {
	done, err := m.onLeader(ctx, start)
	switch {
	case err != nil:
		return port.Result{}, m.withRetryAfter(port.AsError(err))
	case !done.refused && done.reply.Error != nil:
		return port.Result{}, m.withRetryAfter(done.reply.Error)
	case !done.refused:
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

// propose puts a command through the log, at the leader if need be.
func (m *Member) propose(ctx context.Context, command port.Command, forwarded bool) (port.Result, error) {
	start := func(l *loop, token uint64) { l.member.Propose(token, command) }
	if forwarded {
		return m.viaLeader(ctx, start, nil)
	}
	began := time.Now()
	result, err := m.viaLeader(ctx, start, func(leader consensus.MemberID) (port.Result, error) {
		var result port.Result
		err := m.peers.call(ctx, leader, peerapi.MethodForward, command, &result)
		return result, err
	})
	m.measure(result, err, time.Since(began))
	return result, err
}

// measure counts the answer to a command.
func (m *Member) measure(result port.Result, err error, elapsed time.Duration) {
	if m.config.Recorder == nil {
		return
	}
	refusal := result.Error
	if err != nil {
		refusal = port.AsError(err)
	}
	m.config.Recorder.CommandDone(refusal, elapsed)
}

// readIndex gives a position that shows every change accepted before the call.
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
		refusal.Verdict = port.NotRun // a read leaves nothing behind
		return 0, &refusal
	}
	return result.Index, nil
}

// readState runs read in the loop, on a state that shows every change accepted
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
		l.reads = append(l.reads, appliedRead{index: index, done: done})
	})
	if refusal != nil {
		return refusal
	}
	return m.awaitLoop(ctx, done)
}

// inLoop runs work in the loop and waits for it.
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
// need be.
func (m *Member) changeMember(ctx context.Context, change operatorapi.MemberChange, forwarded bool) (port.Result, error) {
	start := func(l *loop, token uint64) {
		if reason := checkMemberChange(l.member.Status().Membership, change); reason != nil {
			l.awaiting[token] <- controlmember.Reply{Token: token, Error: reason}
			delete(l.awaiting, token)
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

// checkMemberChange refuses what no retry can mend.
func checkMemberChange(membership consensus.Membership, change operatorapi.MemberChange) *port.Error {
	id := consensus.MemberID(change.ID)
	switch {
	case change.Action == operatorapi.MemberAdd && membership.Contains(id):
		return port.NewError(port.NotRun, port.CodeConflict, "member %d is in the group already", id)
	case change.Action == operatorapi.MemberAdd && id <= membership.HighestID:
		return port.InvalidField("id", uintText(change.ID), "a number above "+uintText(uint64(membership.HighestID)))
	case change.Action != operatorapi.MemberAdd && !membership.Contains(id):
		return port.NewError(port.NotRun, port.CodeNotFound, "no member %d", id)
	case change.Action == operatorapi.MemberPromote && membership.IsVoter(id):
		return port.NewError(port.NotRun, port.CodeConflict, "member %d is a voter already", id)
	}
	return nil
}
