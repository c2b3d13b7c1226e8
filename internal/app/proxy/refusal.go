package proxy

import (
	"cmp"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/port"
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

// limitAim returns the latency of a try by which the limit of the service is adapted, 0 if it
// is not.
func (r *Request) limitAim() time.Duration { return admission.ShareOf(r.Traffic, 0, 0).Aim(r.Aim) }

// remainingAim returns the time in which the request must be answered to be on time: 0 if it
// need not, negative if it is late already.
func (r *Request) remainingAim() time.Duration { return admission.RemainingAim(r.limitAim(), r.Age) }

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
	w := e.limit.offer(item, e.request.remainingAim())
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
			e.refuse(failure, admission.ReasonDeadline)
		}
		return failure
	case w.refusal != nil:
		failure := e.fail(w.refusal.Code, w.refusal.Message)
		failure.RetryAfter = cmp.Or(failure.RetryAfter, w.refusal.RetryAfter)
		if w.refusal.Code != port.CodeDraining {
			e.refuse(failure, cmp.Or(admission.ReasonOf(w.refusal), admission.ReasonQueue))
		}
		return failure
	default:
		return nil
	}
}

// refuse marks a failure as a refusal by the send limit.
func (e *exchange) refuse(failure *Failure, refusal admission.Reason) {
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
		e.refuse(failure, admission.ReasonRetryBudget)
	case e.crowded:
		failure.Reason = "too many requests wait for a connection to the replicas of the service"
		e.refuse(failure, admission.ReasonQueue)
	case len(e.refused) > 0:
		e.refuse(failure, admission.ReasonQueue)
	}
	return failure
}
