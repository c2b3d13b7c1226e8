package admission

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// TryResult is the result of one try of a request at a replica.
type TryResult struct {
	// Latency is the duration of a try that was answered.
	Latency time.Duration
	// Refused is set if a full replica refused the request without running it.
	Refused bool
	// Aim is the latency that the caller aims for; 0 means none.
	Aim time.Duration
}

// SendStatus describes a SendLimiter.
type SendStatus struct {
	// Limited is set while the sender sends less than it is offered.
	Limited bool
	// Rate is the limit in requests per second; 0 if there is none.
	Rate float64
	// Waiting is the number of waiting requests.
	Waiting int
	// Latency is the recent mean latency of the replicas.
	Latency time.Duration
}

// SendLimiter limits the requests that a sender sends to a service. It is not safe for
// concurrent use.
type SendLimiter[T any] struct {
	queue *Queue[T]
}

// NewSendLimiter returns a limiter without a limit.
func NewSendLimiter[T any](now time.Time) *SendLimiter[T] {
	return &SendLimiter[T]{queue: NewQueue[T](Config{Length: 1})}
}

// SetCapacity sets the slots of all replicas of the service and the number of senders; 0 means
// unknown.
func (s *SendLimiter[T]) SetCapacity(slots, senders int) {}

// Offer adds a request whose caller aims for a latency of aim, or refuses it with a NotRun error.
func (s *SendLimiter[T]) Offer(now time.Time, item Item[T], aim time.Duration) *port.Error {
	return s.queue.Offer(now, item)
}

// Next removes and returns the request to send now; false means that none may be sent.
func (s *SendLimiter[T]) Next(now time.Time) (Item[T], bool) { return s.queue.Next(now) }

// WakeAt returns when Next and Expire must be called again; the zero time means only after
// another call.
func (s *SendLimiter[T]) WakeAt(now time.Time) time.Time { return time.Time{} }

// Expire removes the requests that can no longer be served and returns them with their errors.
func (s *SendLimiter[T]) Expire(now time.Time) []Unserved[T] { return s.queue.Expire(now) }

// Cancel removes a request whose caller disconnected; false means that it does not wait.
func (s *SendLimiter[T]) Cancel(id port.RequestID) (Item[T], bool) { return s.queue.Cancel(id) }

// Drain removes all requests and returns them with an error, for a graceful stop.
func (s *SendLimiter[T]) Drain() []Unserved[T] { return s.queue.Drain() }

// Observe records the result of one try at a replica.
func (s *SendLimiter[T]) Observe(now time.Time, result TryResult) {}

// Status returns the current limit and its causes.
func (s *SendLimiter[T]) Status() SendStatus { return SendStatus{Waiting: s.queue.Len()} }
