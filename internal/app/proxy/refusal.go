package proxy

import (
	"cmp"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Kind is the kind of traffic that a request belongs to.
type Kind uint8

const (
	// KindCaller is a caller's request. It is limited by latency and by refusals.
	KindCaller Kind = iota
	// KindReward is a reward call of an item. A job waits for its last reward call, so that
	// only refusals limit it, and its latency does not.
	KindReward
)

// Refusal is why the send limit refused a request; "" if it did not.
type Refusal string

// The refusals, which are also labels of a metric.
const (
	// RefusedQueue: the request can't be sent in time, or every replica is full.
	RefusedQueue Refusal = "queue"
	// RefusedDeadline: the caller's deadline can't be met, or passed while the request waited.
	RefusedDeadline Refusal = "deadline"
	// RefusedTenant: the tenant had the highest recent usage.
	RefusedTenant Refusal = "tenant"
	// RefusedRetryBudget: a replica refused the request, and no further try was left.
	RefusedRetryBudget Refusal = "retry_budget"
)

// Recorder records metrics of limited sends.
type Recorder interface {
	// SendRefused counts a request that the send limit refused.
	SendRefused(reason string)
	// RetryRefused counts a further try that the retry budget did not allow.
	RetryRefused()
}

type noRecorder struct{}

func (noRecorder) SendRefused(string) {}
func (noRecorder) RetryRefused()      {}

const (
	// tenantField is the field of the limiter's errors for refusals because of the tenant.
	tenantField = "tenant"
	// defaultRetryAfter is used while no rate is known: about the duration of a queue of 24
	// requests of 25 ms at a replica of 6 slots, with some reserve.
	defaultRetryAfter = 200 * time.Millisecond
	// minRetryAfter is two runs of a request of 25 ms; an earlier retry meets the same queue.
	// maxRetryAfter keeps callers from staying away after the end of a burst, from which the
	// service must recover within a second.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// PriorityOf returns the priority of a tenant's requests on a route; tenant may be nil.
// Configurations count from 0, the most urgent.
func PriorityOf(route *routing.Route, tenant *routing.Tenant) port.Priority {
	if tenant != nil && tenant.Priority != nil {
		return port.Priority(-*tenant.Priority)
	}
	return port.Priority(-route.Priority)
}

// aim returns the latency by which the request is limited.
func (r *Request) aim() time.Duration {
	if r.Kind == KindReward {
		return 0
	}
	return r.Aim
}

// awaitLimit waits until the send limit of the service allows the request, and returns nil
// then.
func (e *exchange) awaitLimit() *Failure {
	// A trial was granted by the control group, and the next one is due much later.
	if e.limit == nil || e.admission.Trial {
		return nil
	}
	item := admission.Item[*waiter]{
		ID: port.RequestID(e.request.ID), Tenant: port.TenantName(e.request.Caller), Priority: e.request.Priority,
	}
	if e.expiresAt != 0 {
		item.Deadline = e.proxy.limits.timeAt(e.expiresAt)
	}
	w := e.limit.offer(item, e.request.aim())
	if w.ready != nil {
		offeredAt := e.proxy.clock()
		select {
		case <-w.ready:
		case <-e.ctx.Done():
			e.limit.leave(w)
		}
		e.waited = e.proxy.clock() - offeredAt
	}
	switch {
	case e.ctx.Err() != nil:
		failure := e.contextFailure()
		if failure.Code == port.CodeDeadline {
			e.refuse(failure, RefusedDeadline)
		}
		return failure
	case w.refusal != nil:
		failure := e.fail(w.refusal.Code, w.refusal.Message)
		failure.RetryAfter = cmp.Or(failure.RetryAfter, w.refusal.RetryAfter)
		if w.refusal.Code != port.CodeDraining {
			e.refuse(failure, refusalOf(w.refusal))
		}
		return failure
	default:
		return nil
	}
}

func refusalOf(err *port.Error) Refusal {
	switch {
	case err.Field == tenantField:
		return RefusedTenant
	case err.Code == port.CodeDeadline:
		return RefusedDeadline
	default:
		return RefusedQueue
	}
}

// refuse marks a failure as a refusal by the send limit.
func (e *exchange) refuse(failure *Failure, refusal Refusal) {
	failure.Refusal = refusal
	failure.RetryAfter = cmp.Or(failure.RetryAfter, retryAfterOf(e.limit.status()))
	e.proxy.recorder.SendRefused(string(refusal))
}

// retryAfterOf returns when the requests that wait now will have been sent.
func retryAfterOf(status admission.SendStatus) time.Duration {
	if status.Rate <= 0 {
		return defaultRetryAfter
	}
	seconds := min(float64(status.Waiting+1)/status.Rate, maxRetryAfter.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// chargeRetry reports whether the retry budget allows a further try.
func (e *exchange) chargeRetry() bool {
	if e.limit == nil || e.limit.withdrawRetry() {
		return true
	}
	e.proxy.recorder.RetryRefused()
	return false
}

// everyReplicaFull returns the failure of a request that has not run, and that no replica
// accepted.
func (e *exchange) everyReplicaFull(reason string) *Failure {
	failure := e.fail(port.CodeQueueFull, reason)
	switch {
	case e.limit == nil:
	case e.retryRefused:
		failure.Reason = "no further try is left in the retry budget of the service; the last failure: " + reason
		e.refuse(failure, RefusedRetryBudget)
	case len(e.refused) > 0:
		e.refuse(failure, RefusedQueue)
	}
	return failure
}
