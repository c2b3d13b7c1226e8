package gate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Request is a request for admission.
type Request struct {
	ID          port.RequestID
	Tenant      port.TenantName
	TenantShare float64
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	// Preferred is chosen if it passes the filters; if empty, the gate chooses.
	Preferred port.ReplicaID
	// Avoid is chosen only if no other replica can serve.
	Avoid port.ReplicaID
	// Scheduling holds the scheduler's other inputs. The gate sets its Prefix.
	Scheduling scheduling.Request
}

// State is the state of a ticket.
type State uint8

// The states of a ticket, which starts as Unoffered.
const (
	Unoffered State = iota
	Waiting
	Granted
	Refused
	Cancelled
	Released
)

// Ticket tracks one request through the gate. It may be offered only once.
type Ticket struct {
	Request Request
	// Owner belongs to the caller; the gate doesn't use it.
	Owner any

	State State
	// Refusal is the error of a refused request, with verdict NotRun.
	Refusal *port.Error
	// Replica, Result and Waited are set when the ticket is granted.
	Replica port.ReplicaID
	Result  scheduling.Result
	Waited  time.Duration

	offeredAt time.Time
	// skips counts the requests behind it that were served first.
	skips        int
	replicaState *replicaState
}

// item returns the queue item of the ticket.
func (t *Ticket) item() admission.Item[*Ticket] {
	return admission.Item[*Ticket]{
		ID:          t.Request.ID,
		Tenant:      t.Request.Tenant,
		Priority:    t.Request.Scheduling.Priority,
		Deadline:    t.Request.Deadline,
		TenantShare: t.Request.TenantShare,
		Value:       t,
	}
}

func (t *Ticket) refuse(refusal *port.Error) {
	t.State = Refused
	t.Refusal = refusal
}

// Outcome describes how a granted request ended.
type Outcome struct {
	// Abandoned means that the caller gave up or the request never started. Such an
	// outcome doesn't affect the limit.
	Abandoned bool
	// Overloaded means a failure that indicates overload.
	Overloaded bool
	// Latency must be comparable between requests: the time per output token, or of
	// the call. 0 means unknown.
	Latency time.Duration
	// Weight is the number of equal answers that this one counts as, such as its
	// tokens; 0 means one.
	Weight int
	// Service is the total duration of the request, used to check deadlines; 0 means
	// that it isn't counted.
	Service time.Duration
}

// Release frees a granted ticket's slot and dispatches queued requests. Later calls
// for the same ticket have no effect. It returns the tickets that this resolved,
// valid until the next call.
func (g *Gate) Release(now time.Time, ticket *Ticket, outcome Outcome) []*Ticket {
	g.resolved = g.resolved[:0]
	if ticket.State != Granted {
		return nil
	}
	ticket.State = Released
	state := ticket.replicaState
	if !outcome.Abandoned && (outcome.Latency > 0 || outcome.Overloaded) {
		state.limiter.ObserveWeighted(now, outcome.Latency, outcome.Weight, outcome.Overloaded, state.inflight)
	}
	if outcome.Service > 0 {
		g.queue.ObserveService(outcome.Service)
		state.recordLatency(now, outcome.Service)
	}
	state.inflight--
	state.finished++
	state.tokens -= ticket.Request.Scheduling.MaxTokens
	g.dispatch(now)
	return g.resolved
}
