package gate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Request is a request to be admitted.
type Request struct {
	ID          port.RequestID
	Tenant      port.TenantName
	TenantShare float64
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	// Preferred is taken if it passes the filters; empty leaves the choice to
	// the gate.
	Preferred port.ReplicaID
	// Avoid is taken only if no other replica can serve.
	Avoid port.ReplicaID
	// Pick holds the rest of what the choice depends on. Its Prefix is set by
	// the gate.
	Pick scheduling.Request
}

// State is the standing of a ticket.
type State uint8

// The states. A ticket starts as Unoffered.
const (
	Unoffered State = iota
	Waiting
	Granted
	Refused
	Cancelled
	Released
)

// Ticket is one request on its way through the gate. A ticket is offered once.
type Ticket struct {
	Request Request
	// Owner is the caller's own and not looked at.
	Owner any

	State State
	// Refusal says why a refused request will not run; it is NotRun.
	Refusal *port.Error
	// Replica, Result and Waited tell of the choice once it was granted.
	Replica port.ReplicaID
	Result  scheduling.Result
	Waited  time.Duration

	offered time.Time
	// passedOver counts the requests behind it that went first.
	passedOver int
	slot       *slot
}

// item gives the ticket as it stands in the queue.
func (t *Ticket) item() admission.Item[*Ticket] {
	return admission.Item[*Ticket]{
		ID:          t.Request.ID,
		Tenant:      t.Request.Tenant,
		Priority:    t.Request.Pick.Priority,
		Deadline:    t.Request.Deadline,
		TenantShare: t.Request.TenantShare,
		Value:       t,
	}
}

func (t *Ticket) refuse(refusal *port.Error) {
	t.State = Refused
	t.Refusal = refusal
}

// Outcome tells how a request that was granted ended.
type Outcome struct {
	// Abandoned means that the caller gave up or the request never started; it
	// says nothing about the replica.
	Abandoned bool
	// Overloaded means a failure that speaks of overload.
	Overloaded bool
	// Latency is comparable between requests: the time per output token, or of
	// the whole call. 0 means not known.
	Latency time.Duration
	// Weight is the number of equal answers that this one stands for, such as its
	// tokens; 0 means one.
	Weight int
	// Service is the time of the whole request for the check of deadlines; 0
	// means not to be counted.
	Service time.Duration
}

// Release gives a granted ticket's place back and serves the next request. A
// ticket is released once; later calls have no effect. The tickets that this
// settled hold until the next call.
func (g *Gate) Release(now time.Time, ticket *Ticket, outcome Outcome) []*Ticket {
	g.settled = g.settled[:0]
	if ticket.State != Granted {
		return nil
	}
	ticket.State = Released
	held := ticket.slot
	if !outcome.Abandoned && (outcome.Latency > 0 || outcome.Overloaded) {
		held.limiter.ObserveWeighted(now, outcome.Latency, outcome.Weight, outcome.Overloaded, held.inflight)
	}
	if outcome.Service > 0 {
		g.queue.ObserveService(outcome.Service)
		held.served(now, outcome.Service)
	}
	held.inflight--
	held.finished++
	held.tokens -= ticket.Request.Pick.MaxTokens
	g.dispatch(now)
	return g.settled
}
