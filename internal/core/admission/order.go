package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// entry is a waiting request and its position in the queue.
type entry[T any] struct {
	item   Item[T]
	level  *level[T]
	tenant *tenantQueue[T]
	// arrival breaks ties among equal deadlines: first come, first served.
	arrival uint64
	// heapIndex is the index in the tenant's heap.
	heapIndex int
	// virtualBeforeSkip is the tenant's virtual time before the request was skipped.
	virtualBeforeSkip float64
}

// expired reports whether the request's deadline has passed.
func (e *entry[T]) expired(now time.Time) bool {
	return !e.item.Deadline.IsZero() && !now.Before(e.item.Deadline)
}

// weight returns the tenant's weight in the fair order.
func (e *entry[T]) weight() float64 { return normalizeShare(e.item.TenantShare) }

// level holds the waiting requests of one priority.
type level[T any] struct {
	priority port.Priority
	count    int
	arrivals uint64
	// virtualTime is the virtual start time of the last request served. A tenant
	// that was idle resumes from it, so that idle time earns no credit.
	virtualTime float64
	tenants     map[port.TenantName]*tenantQueue[T]
}

// tenantQueue holds the waiting requests of one tenant, by deadline.
type tenantQueue[T any] struct {
	name        port.TenantName
	level       *level[T]
	virtualTime float64
	entries     entryHeap[T]
}

// advance moves the tenant back in the fair order by one request.
func (t *tenantQueue[T]) advance(weight float64) {
	t.level.virtualTime = max(t.level.virtualTime, t.virtualTime)
	t.virtualTime += 1 / weight
}

// next returns the request to serve next: the earliest deadline of the tenant with
// the lowest virtual time. The level must not be empty.
func (l *level[T]) next() *entry[T] {
	var chosen *tenantQueue[T]
	for _, tenant := range l.tenants {
		if len(tenant.entries) == 0 {
			continue
		}
		if chosen == nil || tenant.before(chosen) {
			chosen = tenant
		}
	}
	return chosen.entries[0]
}

// before orders tenants by virtual time and then by name, independently of the map's
// order.
func (t *tenantQueue[T]) before(other *tenantQueue[T]) bool {
	if t.virtualTime != other.virtualTime {
		return t.virtualTime < other.virtualTime
	}
	return t.name < other.name
}

// evictionCandidate returns the request with the latest deadline of the tenant with
// the most waiting requests.
func (l *level[T]) evictionCandidate() *entry[T] {
	var longest *tenantQueue[T]
	for _, tenant := range l.tenants {
		if longest == nil || len(tenant.entries) > len(longest.entries) ||
			len(tenant.entries) == len(longest.entries) && tenant.name < longest.name {
			longest = tenant
		}
	}
	return slices.MaxFunc(longest.entries, compareEntries)
}

// expired returns the requests whose deadline has passed, in order of arrival.
func (l *level[T]) expired(now time.Time) []*entry[T] {
	var found []*entry[T]
	for _, tenant := range l.tenants {
		for _, entry := range tenant.entries {
			if entry.expired(now) {
				found = append(found, entry)
			}
		}
	}
	slices.SortFunc(found, func(a, b *entry[T]) int { return cmp.Compare(a.arrival, b.arrival) })
	return found
}

// add inserts a request into the queue of its level and tenant.
func (q *Queue[T]) add(item Item[T]) {
	level := q.levelOf(item.Priority)
	tenant := level.tenants[item.Tenant]
	if tenant == nil {
		tenant = &tenantQueue[T]{name: item.Tenant, level: level}
		level.tenants[item.Tenant] = tenant
	}
	if len(tenant.entries) == 0 {
		tenant.virtualTime = max(tenant.virtualTime, level.virtualTime)
	}
	level.arrivals++
	level.count++
	added := &entry[T]{item: item, level: level, tenant: tenant, arrival: level.arrivals}
	heap.Push(&tenant.entries, added)
	q.byID[item.ID] = added
}

// first returns the first request in order, or nil if none waits.
func (q *Queue[T]) first() *entry[T] {
	for _, level := range q.levels {
		if level.count > 0 {
			return level.next()
		}
	}
	return nil
}

// remove removes a request from the queue.
func (q *Queue[T]) remove(removed *entry[T]) {
	removed.unlink()
	delete(q.byID, removed.item.ID)
	q.dropEmptyLevels()
}

// dropEmptyLevels removes levels without requests, so that the state of inactive
// tenants doesn't accumulate.
func (q *Queue[T]) dropEmptyLevels() {
	q.levels = slices.DeleteFunc(q.levels, func(l *level[T]) bool { return l.count == 0 })
}

// unlink removes a request from its tenant's queue.
func (e *entry[T]) unlink() {
	heap.Remove(&e.tenant.entries, e.heapIndex)
	e.level.count--
}

// skip advances the tenant so that requests of other tenants are considered before
// its next one.
func (e *entry[T]) skip() {
	e.virtualBeforeSkip = e.tenant.virtualTime
	e.tenant.virtualTime += 1 / e.weight()
}

// restore undoes unlink and skip. Skipped requests must be restored in reverse order.
func (e *entry[T]) restore() {
	e.tenant.virtualTime = e.virtualBeforeSkip
	heap.Push(&e.tenant.entries, e)
	e.level.count++
}

// levelOf returns the level of a priority, creating it if necessary.
func (q *Queue[T]) levelOf(priority port.Priority) *level[T] {
	position, found := slices.BinarySearchFunc(q.levels, priority,
		func(l *level[T], target port.Priority) int { return cmp.Compare(target, l.priority) })
	if found {
		return q.levels[position]
	}
	added := &level[T]{priority: priority, tenants: make(map[port.TenantName]*tenantQueue[T])}
	q.levels = slices.Insert(q.levels, position, added)
	return added
}

// waitingForTenant counts a tenant's waiting requests over all priorities.
func (q *Queue[T]) waitingForTenant(tenant port.TenantName) int {
	count := 0
	for _, level := range q.levels {
		if queued := level.tenants[tenant]; queued != nil {
			count += len(queued.entries)
		}
	}
	return count
}

// tenantLimit returns the number of queue slots of a share, at least one.
func tenantLimit(length int, share float64) int {
	return max(int(math.Ceil(float64(length)*normalizeShare(share))), 1)
}

// normalizeShare maps an unset or invalid share to 1.
func normalizeShare(share float64) float64 {
	if share <= 0 || share > 1 {
		return 1
	}
	return share
}

// compareEntries orders by deadline, requests without one last, and then by arrival.
func compareEntries[T any](a, b *entry[T]) int {
	aNone, bNone := a.item.Deadline.IsZero(), b.item.Deadline.IsZero()
	if aNone != bNone {
		if aNone {
			return 1
		}
		return -1
	}
	if order := a.item.Deadline.Compare(b.item.Deadline); order != 0 {
		return order
	}
	return cmp.Compare(a.arrival, b.arrival)
}

// entryHeap implements heap.Interface, ordered by compareEntries.
type entryHeap[T any] []*entry[T]

func (h entryHeap[T]) Len() int           { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool { return compareEntries(h[i], h[j]) < 0 }
func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *entryHeap[T]) Push(value any) {
	added := value.(*entry[T])
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *entryHeap[T]) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return popped
}
