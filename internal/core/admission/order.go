package admission

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// entry is a waiting request with its place.
type entry[T any] struct {
	item   Item[T]
	level  *level[T]
	tenant *tenantLine[T]
	// order breaks ties among equal deadlines: first come, first served.
	order uint64
	// position is the index in the tenant's heap.
	position int
	// passedAt is the tenant's virtual time when the request was passed over.
	passedAt float64
}

// expired says whether the request's deadline has passed.
func (e *entry[T]) expired(now time.Time) bool {
	return !e.item.Deadline.IsZero() && !now.Before(e.item.Deadline)
}

// weight is the tenant's weight among tenants.
func (e *entry[T]) weight() float64 { return shareOrOne(e.item.TenantShare) }

// level holds the waiting requests of one priority.
type level[T any] struct {
	priority port.Priority
	count    int
	arrivals uint64
	// virtual is the virtual start time of the request served last; a tenant
	// that comes back starts from it and not from an old credit.
	virtual float64
	tenants map[port.TenantName]*tenantLine[T]
}

// tenantLine holds the waiting requests of one tenant, by deadline.
type tenantLine[T any] struct {
	name    port.TenantName
	level   *level[T]
	virtual float64
	entries entryHeap[T]
}

// served moves the tenant back in the fair order by one request.
func (t *tenantLine[T]) served(weight float64) {
	t.level.virtual = max(t.level.virtual, t.virtual)
	t.virtual += 1 / weight
}

// next gives the request to serve next: of the tenant that had the least, the
// one with the earliest deadline. The level is never empty.
func (l *level[T]) next() *entry[T] {
	var chosen *tenantLine[T]
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

// before orders tenants by virtual time and then by name, so that the order
// does not hang on the map.
func (t *tenantLine[T]) before(other *tenantLine[T]) bool {
	if t.virtual != other.virtual {
		return t.virtual < other.virtual
	}
	return t.name < other.name
}

// last gives the request that would be served last by deadline, of the tenant
// with most requests waiting.
func (l *level[T]) last() *entry[T] {
	var longest *tenantLine[T]
	for _, tenant := range l.tenants {
		if longest == nil || len(tenant.entries) > len(longest.entries) ||
			len(tenant.entries) == len(longest.entries) && tenant.name < longest.name {
			longest = tenant
		}
	}
	return slices.MaxFunc(longest.entries, compareEntries)
}

// expired lists the requests whose deadline has passed, in order of arrival.
func (l *level[T]) expired(now time.Time) []*entry[T] {
	var found []*entry[T]
	for _, tenant := range l.tenants {
		for _, entry := range tenant.entries {
			if entry.expired(now) {
				found = append(found, entry)
			}
		}
	}
	slices.SortFunc(found, func(a, b *entry[T]) int { return cmp.Compare(a.order, b.order) })
	return found
}

// add puts a request into its level and its tenant's line.
func (q *Queue[T]) add(item Item[T]) {
	level := q.levelOf(item.Priority)
	tenant := level.tenants[item.Tenant]
	if tenant == nil {
		tenant = &tenantLine[T]{name: item.Tenant, level: level}
		level.tenants[item.Tenant] = tenant
	}
	if len(tenant.entries) == 0 {
		tenant.virtual = max(tenant.virtual, level.virtual)
	}
	level.arrivals++
	level.count++
	added := &entry[T]{item: item, level: level, tenant: tenant, order: level.arrivals}
	heap.Push(&tenant.entries, added)
	q.byID[item.ID] = added
}

// first gives the request that is first in order, nil if none waits.
func (q *Queue[T]) first() *entry[T] {
	for _, level := range q.levels {
		if level.count > 0 {
			return level.next()
		}
	}
	return nil
}

// remove takes a request out for good.
func (q *Queue[T]) remove(removed *entry[T]) {
	removed.unlink()
	delete(q.byID, removed.item.ID)
	q.dropEmptyLevels()
}

// dropEmptyLevels bounds what a queue remembers of past tenants: a level lives
// only as long as it holds requests.
func (q *Queue[T]) dropEmptyLevels() {
	q.levels = slices.DeleteFunc(q.levels, func(l *level[T]) bool { return l.count == 0 })
}

// unlink takes a request out of its tenant's line.
func (e *entry[T]) unlink() {
	heap.Remove(&e.tenant.entries, e.position)
	e.level.count--
}

// passOver lets the other tenants' requests be looked at before the next one of
// this tenant.
func (e *entry[T]) passOver() {
	e.passedAt = e.tenant.virtual
	e.tenant.virtual += 1 / e.weight()
}

// putBack undoes unlink and passOver; the request passed over last goes first.
func (e *entry[T]) putBack() {
	e.tenant.virtual = e.passedAt
	heap.Push(&e.tenant.entries, e)
	e.level.count++
}

// levelOf gives the level of a priority, made if need be.
func (q *Queue[T]) levelOf(priority port.Priority) *level[T] {
	position, found := slices.BinarySearchFunc(q.levels, priority,
		func(l *level[T], wanted port.Priority) int { return cmp.Compare(wanted, l.priority) })
	if found {
		return q.levels[position]
	}
	added := &level[T]{priority: priority, tenants: make(map[port.TenantName]*tenantLine[T])}
	q.levels = slices.Insert(q.levels, position, added)
	return added
}

// waitingOf counts a tenant's waiting requests over all priorities.
func (q *Queue[T]) waitingOf(tenant port.TenantName) int {
	count := 0
	for _, level := range q.levels {
		if line := level.tenants[tenant]; line != nil {
			count += len(line.entries)
		}
	}
	return count
}

// shareOf gives the number of places of a share, at least one.
func shareOf(length int, share float64) int {
	return max(int(math.Ceil(float64(length)*shareOrOne(share))), 1)
}

// shareOrOne reads a share that was not set as the whole.
func shareOrOne(share float64) float64 {
	if share <= 0 || share > 1 {
		return 1
	}
	return share
}

// compareEntries orders by deadline, none last, and then by arrival.
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
	return cmp.Compare(a.order, b.order)
}

// entryHeap implements heap.Interface by compareEntries.
type entryHeap[T any] []*entry[T]

func (h entryHeap[T]) Len() int           { return len(h) }
func (h entryHeap[T]) Less(i, j int) bool { return compareEntries(h[i], h[j]) < 0 }
func (h entryHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push implements heap.Interface.
func (h *entryHeap[T]) Push(value any) {
	added := value.(*entry[T])
	added.position = len(*h)
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
