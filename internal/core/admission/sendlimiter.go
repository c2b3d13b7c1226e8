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

// waitingSend is a waiting request. Its Item's Deadline in the queue is when it must have
// been sent.
type waitingSend[T any] struct {
	value T
	// deadline is when the caller gives up; the zero time means never.
	deadline time.Time
	priority port.Priority
	// late is set if the aim of the request has passed.
	late bool
	// reserve is the share of the bucket that the request leaves to others.
	reserve float64
}

// SendLimiter limits the requests that a sender sends to a service. It is not safe for
// concurrent use.
type SendLimiter[T any] struct {
	queue   *Queue[waitingSend[T]]
	rate    sendRate
	usage   tenantUsage
	refused recentRefusals
}

// NewSendLimiter returns a limiter without a limit.
func NewSendLimiter[T any](now time.Time) *SendLimiter[T] {
	return &SendLimiter[T]{
		queue: NewQueue[waitingSend[T]](Config{}),
		rate:  sendRate{rule: proportionalRule{}, updated: now},
		usage: newTenantUsage(now),
	}
}

// SetCapacity sets the slots of all replicas of the service and the number of senders; 0 means
// unknown.
func (s *SendLimiter[T]) SetCapacity(slots, senders int) {
	s.rate.slots = max(slots, 0)
	s.rate.senders = max(senders, 0)
}

// Offer adds a request that has to be answered within aim, or refuses it with a NotRun
// error whose cause is a Refusal. 0 means no aim; a negative aim has already passed. Offer may
// evict a waiting request instead, which Expire returns.
func (s *SendLimiter[T]) Offer(now time.Time, item Item[T], aim time.Duration) *port.Error {
	if _, waiting := s.queue.byID[item.ID]; waiting {
		return port.NewError(port.NotRun, port.CodeConflict, "request %s already waits", item.ID)
	}
	s.rate.advance(now)
	s.rate.signals.offered.add(now)
	s.rate.signals.expectAim(aim)
	offered := wrap(item, aim < 0)
	if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
		return s.refuse(now, &offered, ReasonDeadline)
	}
	if s.rate.limited {
		offered.Deadline = s.sendBy(now, item.Deadline, aim)
		offered.Value.reserve = s.reserve(now, &offered)
		if err := s.makeRoom(now, &offered); err != nil {
			return err
		}
	}
	s.queue.add(offered)
	return nil
}

// wrap returns the item as it is queued. Each priority has two levels in the queue, the lower one
// for requests that are late: they could not be on time, but would make others late.
func wrap[T any](item Item[T], late bool) Item[waitingSend[T]] {
	level := 2 * item.Priority
	if late {
		level--
	}
	return Item[waitingSend[T]]{
		ID: item.ID, Tenant: item.Tenant, Priority: level, Deadline: item.Deadline, TenantShare: item.TenantShare,
		Value: waitingSend[T]{value: item.Value, deadline: item.Deadline, priority: item.Priority, late: late},
	}
}

// unwrap returns the item as it was offered.
func unwrap[T any](queued Item[waitingSend[T]]) Item[T] {
	return Item[T]{
		ID: queued.ID, Tenant: queued.Tenant, Priority: queued.Value.priority, Deadline: queued.Value.deadline, TenantShare: queued.TenantShare,
		Value: queued.Value.value,
	}
}

// Next removes and returns the request to send now; false means that none may be sent.
func (s *SendLimiter[T]) Next(now time.Time) (Item[T], bool) {
	s.rate.advance(now)
	s.endExpired(now)
	first := s.queue.leastUsed(s.usage.counts)
	if first == nil || !s.rate.take(first.item.Value.reserve) {
		return Item[T]{}, false
	}
	s.queue.remove(first)
	s.usage.add(now, first.item.Tenant)
	return unwrap(first.item), true
}

// WakeAt returns when Next and Expire must be called again; the zero time means only after
// another call. Without a limit that is at once while requests wait: a sender that bounds its
// requests in flight waits for the end of one instead.
func (s *SendLimiter[T]) WakeAt(now time.Time) time.Time {
	if s.queue.Len() == 0 {
		return time.Time{}
	}
	s.rate.advance(now)
	if !s.rate.limited {
		return now
	}
	first := s.queue.leastUsed(s.usage.counts)
	wake := now.Add(s.rate.untilPermit(first.item.Value.reserve))
	earliest := s.queue.earliest().item.Deadline
	if !earliest.IsZero() && earliest.Before(wake) {
		return earliest
	}
	return wake
}

// Expire removes the requests that can no longer be served and returns them with their errors.
func (s *SendLimiter[T]) Expire(now time.Time) []Unserved[T] {
	s.rate.advance(now)
	s.endExpired(now)
	return unwrapEnded(s.queue.flushEnded())
}

// Cancel removes a request whose caller disconnected; false means that it does not wait.
func (s *SendLimiter[T]) Cancel(id port.RequestID) (Item[T], bool) {
	queued, found := s.queue.Cancel(id)
	return unwrap(queued), found
}

// Drain removes all requests and returns them with an error, for a graceful stop.
func (s *SendLimiter[T]) Drain() []Unserved[T] { return unwrapEnded(s.queue.Drain()) }

// Observe records the result of one try at a replica.
func (s *SendLimiter[T]) Observe(now time.Time, result TryResult) { s.rate.observe(now, result) }

// Status returns the current limit and its causes.
func (s *SendLimiter[T]) Status() SendStatus {
	status := SendStatus{
		Limited: s.rate.limited,
		Waiting: s.queue.Len(),
		Latency: seconds(s.rate.signals.latency),
	}
	if s.rate.limited {
		status.Rate = s.rate.rate
	}
	return status
}

// unwrapEnded returns ended requests as they were offered.
func unwrapEnded[T any](ended []Unserved[waitingSend[T]]) []Unserved[T] {
	var unwrapped []Unserved[T]
	for _, entry := range ended {
		unwrapped = append(unwrapped, Unserved[T]{Item: unwrap(entry.Item), Error: entry.Error})
	}
	return unwrapped
}
