package admission

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Bounds of the RetryAfter of a SendLimiter.
const (
	minSendRetryAfter = 50 * time.Millisecond
	maxSendRetryAfter = 2 * time.Second
)

// Reason is the rule by which a SendLimiter refused a request, as counted by metrics.
type Reason string

// The reasons.
const (
	// ReasonQueue: requests of the same or a higher priority fill the limit.
	ReasonQueue Reason = "queue"
	// ReasonDeadline: the request could not be sent in time to be answered in time.
	ReasonDeadline Reason = "deadline"
	// ReasonTenant: the tenant has the highest recent usage.
	ReasonTenant Reason = "tenant"
	// ReasonRetryBudget: a replica refused the request, and the service's budget pays no
	// further try. The sender gives this reason; a SendLimiter does not.
	ReasonRetryBudget Reason = "retry_budget"
)

// Refusal is the cause of the port.Error of a refused request.
type Refusal struct {
	Reason Reason
	Tenant port.TenantName
	// Rate is the sender's limit in requests per second; 0 if there is none.
	Rate float64
	// Waiting is the number of waiting requests.
	Waiting int
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused by %s: tenant %s, limit %.1f/s, %d waiting", r.Reason, r.Tenant, r.Rate, r.Waiting)
}

// ReasonOf returns the reason in err's chain, or "" if a SendLimiter did not refuse it.
func ReasonOf(err error) Reason {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		return ""
	}
	return refusal.Reason
}

// refuse counts a refused request and returns its error.
func (s *SendLimiter[T]) refuse(now time.Time, item *Item[waitingSend[T]], reason Reason) *port.Error {
	s.refused.add(now)
	code := port.CodeQueueFull
	if reason == ReasonDeadline {
		code = port.CodeDeadline
	}
	refusal := &Refusal{Reason: reason, Tenant: item.Tenant, Rate: s.Status().Rate, Waiting: s.queue.Len()}
	err := port.NewError(port.NotRun, code, "the service is overloaded").WithCause(refusal)
	err.RetryAfter = s.retryAfter(now, item.ID)
	return err
}

// RefuseRetry returns the error of a request that was sent, refused by a replica, and for which
// the retry budget of the service pays no further try.
func (s *SendLimiter[T]) RefuseRetry(now time.Time, item Item[T]) *port.Error {
	s.rate.advance(now)
	sent := wrap(item, false)
	return s.refuse(now, &sent, ReasonRetryBudget)
}

// retryAfter returns the time in which the limit serves the requests that wait or were
// recently refused, spread by id so that callers do not return together.
func (s *SendLimiter[T]) retryAfter(now time.Time, id port.RequestID) time.Duration {
	backlog := float64(s.queue.Len()) + s.refused.at(now)
	drained := minSendRetryAfter
	if s.rate.limited {
		drained = seconds(min(backlog/s.rate.rate, maxSendRetryAfter.Seconds()))
	}
	drained = max(drained, minSendRetryAfter)
	low := max(drained/2, minSendRetryAfter)
	high := min(drained*3/2, maxSendRetryAfter)
	return low + time.Duration(unitHash(id)*float64(high-low))
}

// unitHash maps an id to a number from 0 to 1. A hash replaces a random draw here.
func unitHash(id port.RequestID) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(string(id))>>(64-mantissaBits)) / (1 << mantissaBits)
}
