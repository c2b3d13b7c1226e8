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
	// holderMargin extends the wait for the previous holder's lease, whose last call may
	// arrive late.
	holderMargin = 300 * time.Millisecond
	// authorityMargin is how long after the lease a call may still start. It is below
	// holderMargin so that the call arrives before a new holder's first one.
	authorityMargin = holderMargin / 2
	// returnLeadershipWithin is how long after its start a process may transfer leadership
	// to the holder.
	returnLeadershipWithin = 8 * time.Second
)

// lease is the right to call replicas and the provider, held by one machine at a time. Only
// the leader acquires it; the term is the fencing token. Callees need not check tokens: a
// new holder waits until the previous one can no longer call. All methods but confirm run
// in the goroutine of Control.lead.
type lease struct {
	control *Control

	// term is the one in which this member leads, 0 if it does not; leaderSince is when
	// that was first observed, and held is set once this member holds the lease.
	term        uint64
	leaderSince time.Duration // monotonic clock
	held        bool
	// started is the start time of the process; leadershipReturned is set once it has
	// transferred leadership to the holder.
	started            time.Time
	leadershipReturned bool
}

func newLease(control *Control) *lease { return &lease{control: control, started: time.Now()} }

// updateTerm updates the term in which this member leads. Each term starts without the
// lease, since another member may have led in between.
func (l *lease) updateTerm(leads bool) {
	term := uint64(0)
	if published := l.control.member.PublishedState(); leads && published != nil {
		term = published.Status.Term
	}
	if term != l.term {
		l.term, l.leaderSince, l.held = term, l.control.config.Clock(), false
	}
}

// acquire acquires the lease, once that of the previous holder has expired.
func (l *lease) acquire(ctx context.Context) bool {
	if l.held {
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
	if holder.Machine != "" && holder.Machine != self && l.control.config.Clock()-l.leaderSince < l.control.config.HolderLease+holderMargin {
		l.returnLeadership(holder)
		return false
	}
	if holder.Machine != self {
		acquired := sitestate.Holder{Machine: self, Address: l.control.config.Address}
		if _, err := l.control.propose(ctx, sitestate.Command{Holder: &acquired}); err != nil {
			return false
		}
	}
	l.control.config.Logger.Info().Str(eventlog.Field, eventlog.LeaseAcquired).Str("before", holder.Machine).Msg("this machine acquired the lease to call replicas and the provider")
	l.held = true
	return true
}

// returnLeadership transfers leadership to the holder, once, if this process has started
// recently: after a restart of all processes the holder need not wait for its lease.
func (l *lease) returnLeadership(holder sitestate.Holder) {
	if l.leadershipReturned || time.Since(l.started) > returnLeadershipWithin || holder.Address == "" {
		return
	}
	if l.control.member.TransferTo(holder.Address) {
		l.leadershipReturned = true
		l.control.config.Logger.Info().Str(eventlog.Field, eventlog.LeadershipReturned).Str("holder", holder.Machine).Msg("leadership transfer to the lease holder started")
	}
}

// errNotHolder rejects a call by a member that no longer holds the lease.
var errNotHolder = errors.New("sitecontrol: this machine no longer holds the lease")

// authority is a confirmation that this machine holds the lease. A new holder waits for
// HolderLease and holderMargin after it, so that calls must start before until.
type authority struct {
	// term is the fencing token.
	term  uint64
	until time.Duration
	clock boottime.Clock
}

// check returns an error once the authority has expired. Callers check right before each
// call: the machine may have been suspended since the confirmation, which stops timers.
func (a *authority) check() error {
	if a.clock() >= a.until {
		return errNotHolder
	}
	return nil
}

// confirm returns an authority confirmed by a quorum. The read lease doesn't suffice: after
// a failed transfer of leadership, the leader has none until the next term.
func (l *lease) confirm(ctx context.Context) (authority, error) {
	requestedAt := l.control.config.Clock()
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
	return authority{term: after.Status.Term, until: requestedAt + l.control.config.HolderLease + authorityMargin, clock: l.control.config.Clock}, nil
}
