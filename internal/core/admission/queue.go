package admission

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Item is a waiting request. Value belongs to the caller; the queue doesn't use it.
type Item[T any] struct {
	ID       port.RequestID
	Tenant   port.TenantName
	Priority port.Priority
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	// TenantShare is the share of the queue that the tenant may fill, and the
	// tenant's weight in the fair order; 0 means 1.
	TenantShare float64
	Value       T
}

// Unserved is a request that left the queue unserved, with its error.
type Unserved[T any] struct {
	Item  Item[T]
	Error *port.Error
}

// Config holds the settings of a Queue.
type Config struct {
	// Length limits the waiting requests; less than 1 means 1.
	Length int
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue[T any] struct {
	length int
	byID   map[port.RequestID]*entry[T]
	// levels are ordered by descending priority.
	levels []*level[T]
	// ended holds the requests to be returned by Expire or Drain.
	ended []Unserved[T]
	drain drainRate
}

// NewQueue returns an empty queue.
func NewQueue[T any](config Config) *Queue[T] {
	return &Queue[T]{length: max(config.Length, 1), byID: make(map[port.RequestID]*entry[T])}
}

// SetLength changes the limit; excess requests stay in the queue.
func (q *Queue[T]) SetLength(length int) { q.length = max(length, 1) }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Offer adds a request to the queue or refuses it with a NotRun error. When the queue
// is full, a request of higher priority evicts one of the lowest priority; the caller
// must call Expire next to get the evicted one.
func (q *Queue[T]) Offer(now time.Time, item Item[T]) *port.Error {
	if _, waiting := q.byID[item.ID]; waiting {
		return port.NewError(port.NotRun, port.CodeConflict, "request %s already waits", item.ID)
	}
	if refusal := q.checkDeadline(now, item); refusal != nil {
		return refusal
	}
	if refusal := q.checkTenant(now, item); refusal != nil {
		return refusal
	}
	if len(q.byID) >= q.length && !q.evictLowerPriority(now, item.Priority) {
		return q.queueFullError(now, "the queue of %d is full", q.length)
	}
	if len(q.byID) == 0 {
		q.drain.beginBacklog(now)
	}
	q.add(item)
	return nil
}

// Next removes and returns the request to serve next; false means that none waits. It
// skips requests whose deadline has passed.
func (q *Queue[T]) Next(now time.Time) (Item[T], bool) {
	return q.NextFitting(now, 1, func(*Item[T]) bool { return true })
}

// NextFitting removes and returns the first request, in the order of Next, for which
// fits returns true. It tests up to limit requests; skipped ones keep their position.
// Fits must not call the queue.
func (q *Queue[T]) NextFitting(now time.Time, limit int, fits func(*Item[T]) bool) (Item[T], bool) {
	var skipped []*entry[T]
	var chosen *entry[T]
	for chosen == nil && len(skipped) < limit {
		first := q.first()
		if first == nil {
			break
		}
		first.unlink()
		switch {
		case first.expired(now):
			delete(q.byID, first.item.ID)
			q.addEnded(first, q.deadlinePassedError())
		case fits(&first.item):
			chosen = first
		default:
			first.skip()
			skipped = append(skipped, first)
		}
	}
	for _, entry := range slices.Backward(skipped) {
		entry.restore()
	}
	if chosen == nil {
		q.dropEmptyLevels()
		return Item[T]{}, false
	}
	delete(q.byID, chosen.item.ID)
	chosen.tenant.advance(chosen.weight())
	q.dropEmptyLevels()
	q.drain.recordDeparture(now)
	return chosen.item, true
}

// Expire removes every request whose deadline has passed, and returns them together
// with the evicted ones, each with its error.
func (q *Queue[T]) Expire(now time.Time) []Unserved[T] {
	var expired []*entry[T]
	for _, level := range q.levels {
		expired = append(expired, level.expired(now)...)
	}
	for _, entry := range expired {
		q.remove(entry)
		q.addEnded(entry, q.deadlinePassedError())
	}
	return q.flushEnded()
}

// Cancel removes a request whose caller disconnected; false means that it is not in the
// queue.
func (q *Queue[T]) Cancel(id port.RequestID) (Item[T], bool) {
	entry, waiting := q.byID[id]
	if !waiting {
		var none Item[T]
		return none, false
	}
	q.remove(entry)
	return entry.item, true
}

// Drain removes all requests and returns them with an error, for a graceful stop.
func (q *Queue[T]) Drain() []Unserved[T] {
	for entry := q.first(); entry != nil; entry = q.first() {
		q.remove(entry)
		q.addEnded(entry, port.NewError(port.NotRun, port.CodeDraining, "the node is stopping"))
	}
	return q.flushEnded()
}

// flushEnded returns and clears the ended requests.
func (q *Queue[T]) flushEnded() []Unserved[T] {
	ended := q.ended
	q.ended = nil
	return ended
}

// ObserveService records how long a served request took, for the check of deadlines.
func (q *Queue[T]) ObserveService(duration time.Duration) { q.drain.observeService(duration) }

// EstimatedWait returns the time until a request of the priority would be served if it
// were offered now; 0 means unknown or none.
func (q *Queue[T]) EstimatedWait(now time.Time, priority port.Priority) time.Duration {
	return q.drain.estimate(now, q.waitingAhead(priority))
}

// waitingAhead counts the waiting requests of the same or a higher priority.
func (q *Queue[T]) waitingAhead(priority port.Priority) int {
	count := 0
	for _, level := range q.levels {
		if level.priority < priority {
			break
		}
		count += level.count
	}
	return count
}

// checkDeadline refuses a request that is not expected to end before its deadline.
func (q *Queue[T]) checkDeadline(now time.Time, item Item[T]) *port.Error {
	if item.Deadline.IsZero() {
		return nil
	}
	wait := q.EstimatedWait(now, item.Priority)
	done := now.Add(wait + q.drain.service)
	if now.Before(item.Deadline) && !done.After(item.Deadline) {
		return nil
	}
	refusal := port.NewError(port.NotRun, port.CodeDeadline,
		"the deadline in %v cannot be met: %v of waiting and %v of service",
		item.Deadline.Sub(now), wait, q.drain.service)
	refusal.RetryAfter = q.drain.retryAfter(now, q.Len())
	return refusal
}

// checkTenant refuses a request of a tenant whose share of the queue is full.
func (q *Queue[T]) checkTenant(now time.Time, item Item[T]) *port.Error {
	allowed := tenantLimit(q.length, item.TenantShare)
	if q.waitingForTenant(item.Tenant) < allowed {
		return nil
	}
	refusal := q.queueFullError(now, "the tenant's share of %d waiting requests is full", allowed)
	refusal.Field = "tenant"
	refusal.Value = string(item.Tenant)
	return refusal
}

// queueFullError returns the refusal for a full queue.
func (q *Queue[T]) queueFullError(now time.Time, format string, arguments ...any) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeQueueFull, format, arguments...)
	refusal.RetryAfter = q.drain.retryAfter(now, q.Len())
	return refusal
}

// evictLowerPriority evicts a request of the lowest priority, if that is below priority.
func (q *Queue[T]) evictLowerPriority(now time.Time, priority port.Priority) bool {
	lowest := q.levels[len(q.levels)-1]
	if lowest.priority >= priority {
		return false
	}
	entry := lowest.evictionCandidate()
	q.remove(entry)
	q.addEnded(entry, q.queueFullError(now, "evicted by a request of higher priority"))
	return true
}

// addEnded stores an ended request for Expire or Drain.
func (q *Queue[T]) addEnded(entry *entry[T], err *port.Error) {
	q.ended = append(q.ended, Unserved[T]{Item: entry.item, Error: err})
}

func (q *Queue[T]) deadlinePassedError() *port.Error {
	return port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed while the request waited")
}
