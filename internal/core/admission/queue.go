package admission

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Item is a request that waits. Value is the caller's own and not looked at.
type Item[T any] struct {
	ID       port.RequestID
	Tenant   port.TenantName
	Priority port.Priority
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	// TenantShare is the share of the queue that the tenant may fill and its
	// weight among tenants; 0 means 1.
	TenantShare float64
	Value       T
}

// Ended is a request that left the queue unserved, with its final answer.
type Ended[T any] struct {
	Item  Item[T]
	Error *port.Error
}

// Config bounds a Queue.
type Config struct {
	// Length bounds the requests that wait; less than 1 means 1.
	Length int
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue[T any] struct {
	length int
	byID   map[port.RequestID]*entry[T]
	// levels are ordered by falling priority.
	levels []*level[T]
	// ended waits for Expire.
	ended []Ended[T]
	drain drainRate
}

// NewQueue makes an empty queue.
func NewQueue[T any](config Config) *Queue[T] {
	return &Queue[T]{length: max(config.Length, 1), byID: make(map[port.RequestID]*entry[T])}
}

// SetLength changes the bound; requests over a lowered bound stay.
func (q *Queue[T]) SetLength(length int) { q.length = max(length, 1) }

// Len gives the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Offer puts a request into the queue, or refuses it with a NotRun error. When
// the queue is full, a request of higher priority takes the place of one of the
// lowest; that one's answer comes out of Expire, which the caller calls next.
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
	if len(q.byID) >= q.length && !q.displace(now, item.Priority) {
		return q.full(now, "the queue of %d is full", q.length)
	}
	if len(q.byID) == 0 {
		q.drain.restart(now)
	}
	q.add(item)
	return nil
}

// Next takes out the request to serve next; false means that none waits. It
// never gives one whose deadline has passed.
func (q *Queue[T]) Next(now time.Time) (Item[T], bool) {
	return q.NextFitting(now, 1, func(*Item[T]) bool { return true })
}

// NextFitting takes out the first request, in the order of Next, that fits. It
// looks at up to limit requests; those passed over keep their places. Fits must
// not call the queue.
func (q *Queue[T]) NextFitting(now time.Time, limit int, fits func(*Item[T]) bool) (Item[T], bool) {
	var passed []*entry[T]
	var chosen *entry[T]
	for chosen == nil && len(passed) < limit {
		first := q.first()
		if first == nil {
			break
		}
		first.unlink()
		switch {
		case first.expired(now):
			delete(q.byID, first.item.ID)
			q.end(first, q.deadlinePassed())
		case fits(&first.item):
			chosen = first
		default:
			first.passOver()
			passed = append(passed, first)
		}
	}
	for _, entry := range slices.Backward(passed) {
		entry.putBack()
	}
	if chosen == nil {
		q.dropEmptyLevels()
		return Item[T]{}, false
	}
	delete(q.byID, chosen.item.ID)
	chosen.tenant.served(chosen.weight())
	q.dropEmptyLevels()
	q.drain.departed(now)
	return chosen.item, true
}

// Expire takes out every request whose deadline has passed or that lost its
// place, each with its final answer.
func (q *Queue[T]) Expire(now time.Time) []Ended[T] {
	var expired []*entry[T]
	for _, level := range q.levels {
		expired = append(expired, level.expired(now)...)
	}
	for _, entry := range expired {
		q.remove(entry)
		q.end(entry, q.deadlinePassed())
	}
	return q.takeEnded()
}

// Cancel takes out a request whose caller has gone; false means that it does
// not wait here.
func (q *Queue[T]) Cancel(id port.RequestID) (Item[T], bool) {
	entry, waiting := q.byID[id]
	if !waiting {
		var none Item[T]
		return none, false
	}
	q.remove(entry)
	return entry.item, true
}

// Drain takes out all requests with a final answer, as at a planned stop.
func (q *Queue[T]) Drain() []Ended[T] {
	for entry := q.first(); entry != nil; entry = q.first() {
		q.remove(entry)
		q.end(entry, port.NewError(port.NotRun, port.CodeDraining, "the node is stopping"))
	}
	return q.takeEnded()
}

// takeEnded gives the final answers gathered so far.
func (q *Queue[T]) takeEnded() []Ended[T] {
	ended := q.ended
	q.ended = nil
	return ended
}

// ObserveService reports how long a served request took, for the check of
// deadlines.
func (q *Queue[T]) ObserveService(duration time.Duration) { q.drain.observeService(duration) }

// EstimatedWait gives the time until a request of the priority would be served
// if it were offered now; 0 when nothing has been observed yet.
func (q *Queue[T]) EstimatedWait(now time.Time, priority port.Priority) time.Duration {
	return q.drain.timeFor(now, q.ahead(priority))
}

// ahead counts the waiting requests of the same or a higher priority.
func (q *Queue[T]) ahead(priority port.Priority) int {
	count := 0
	for _, level := range q.levels {
		if level.priority < priority {
			break
		}
		count += level.count
	}
	return count
}

// checkDeadline refuses a request that would not be done in time.
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

// checkTenant refuses a request of a tenant that fills its share.
func (q *Queue[T]) checkTenant(now time.Time, item Item[T]) *port.Error {
	allowed := shareOf(q.length, item.TenantShare)
	if q.waitingOf(item.Tenant) < allowed {
		return nil
	}
	refusal := q.full(now, "the tenant's share of %d waiting requests is full", allowed)
	refusal.Field = "tenant"
	refusal.Value = string(item.Tenant)
	return refusal
}

// full makes the refusal of a queue without room.
func (q *Queue[T]) full(now time.Time, format string, arguments ...any) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeQueueFull, format, arguments...)
	refusal.RetryAfter = q.drain.retryAfter(now, q.Len())
	return refusal
}

// displace ends the last request of the lowest priority below the given one.
func (q *Queue[T]) displace(now time.Time, priority port.Priority) bool {
	lowest := q.levels[len(q.levels)-1]
	if lowest.priority >= priority {
		return false
	}
	entry := lowest.last()
	q.remove(entry)
	q.end(entry, q.full(now, "a request of higher priority took the place"))
	return true
}

// end keeps a final answer for Expire.
func (q *Queue[T]) end(entry *entry[T], answer *port.Error) {
	q.ended = append(q.ended, Ended[T]{Item: entry.item, Error: answer})
}

func (q *Queue[T]) deadlinePassed() *port.Error {
	return port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed while the request waited")
}
