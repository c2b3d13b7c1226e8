package sitecontrol

import (
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// holderMargin is waited beyond the lease after the holder changed: the last call of
	// the one before may arrive late.
	holderMargin = 300 * time.Millisecond
	// authorityMargin is how long beyond the lease a call may begin: half of that, so that
	// it arrives before a new holder's first one.
	authorityMargin = holderMargin / 2
	// giveBackWithin is how long after its start a process offers leadership
	// to the holder.
	giveBackWithin = 8 * time.Second
)

// lease is the right to call replicas and the provider, which one machine has at a time.
// Only the leader has it; its term is the fencing token. Whoever is called need not check
// tokens: a new holder waits until the one before can act no more. The goroutine of
// Control.lead owns it, but for confirm.
type lease struct {
	control *Control

	// term is the one in which this member leads, 0 if it does not, and ledFrom
	// when it began to, as seen here; holds is set once it is the holder.
	term    uint64
	ledFrom time.Duration // by the process's clock
	holds   bool
	// started is when the process started; gaveBack is set once leadership was
	// offered to the holder.
	started  time.Time
	gaveBack bool
}

func newLease(control *Control) *lease { return &lease{control: control, started: time.Now()} }

// follow notes whether this member leads, and in which term. Each term begins anew:
// another member may have led for a moment between two.
func (l *lease) follow(leads bool) {
	term := uint64(0)
	if shown := l.control.member.PublishedState(); leads && shown != nil {
		term = shown.Status.Term
	}
	if term != l.term {
		l.term, l.ledFrom, l.holds = term, l.control.config.Clock(), false
	}
}

// hold takes the lease over. A new holder waits until nobody holds to the one before.
func (l *lease) hold(ctx context.Context) bool {
	if l.holds {
		return true
	}
	if l.term == 0 {
		return false
	}
	holder := sitestate.Holder{}
	if l.control.member.Read(ctx, func(machine groupmember.StateMachine) { holder = machine.(*sitestate.State).Holder() }) != nil {
		return false
	}
	self := l.control.config.Machine
	if holder.Machine != "" && holder.Machine != self && l.control.config.Clock()-l.ledFrom < l.control.config.HolderLease+holderMargin {
		l.giveBack(holder)
		return false
	}
	if holder.Machine != self {
		taken := sitestate.Holder{Machine: self, Address: l.control.config.Address}
		if _, err := l.control.propose(ctx, sitestate.Command{Holder: &taken}); err != nil {
			return false
		}
	}
	l.control.config.Logger.Info().Str(eventlog.Field, eventlog.HolderTaken).Str("before", holder.Machine).Msg("this machine orders replicas and calls the provider from now on")
	l.holds = true
	return true
}

// giveBack hands leadership to the holder, once, if this process has only just
// started: after all processes were killed the holder is back as well, and need
// not wait before it acts.
func (l *lease) giveBack(holder sitestate.Holder) {
	if l.gaveBack || time.Since(l.started) > giveBackWithin || holder.Address == "" {
		return
	}
	if l.control.member.TransferTo(holder.Address) {
		l.gaveBack = true
		l.control.config.Logger.Info().Str(eventlog.Field, eventlog.HolderPreferred).Str("holder", holder.Machine).Msg("leadership is offered to the machine that orders replicas")
	}
}

// errNotHolder refuses a call of a member that is not the holder any more.
var errNotHolder = errors.New("sitecontrol: this machine is not the holder any more")

// authority is a confirmation that this machine is the holder. Whoever takes the lease over
// waits for HolderLease and holderMargin after that, so that a call must begin before.
type authority struct {
	// term is the fencing token.
	term  uint64
	until time.Duration
	clock boottime.Clock
}

// check fails once the authority is over. It is asked right before a call leaves: between a
// confirmation and the call the machine may have been frozen, or suspended, in which no timer
// of the process counts.
func (a *authority) check() error {
	if a.clock() >= a.until {
		return errNotHolder
	}
	return nil
}

// confirm gives the authority of this member as the holder, confirmed by a
// quorum. The read lease alone would not do: after a transfer of leadership that
// failed it is gone until the next term, though the member leads on.
func (l *lease) confirm(ctx context.Context) (authority, error) {
	asked := l.control.config.Clock()
	before := l.control.member.PublishedState()
	var holder sitestate.Holder
	err := l.control.member.Read(ctx, func(machine groupmember.StateMachine) { holder = machine.(*sitestate.State).Holder() })
	if err != nil {
		return authority{}, err
	}
	after := l.control.member.PublishedState()
	if before == nil || after == nil || !after.LeaderReady || before.Status.Term != after.Status.Term || holder.Machine != l.control.config.Machine {
		return authority{}, errNotHolder
	}
	return authority{term: after.Status.Term, until: asked + l.control.config.HolderLease + authorityMargin, clock: l.control.config.Clock}, nil
}
