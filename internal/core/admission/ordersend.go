package admission

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// leastUsed returns the next request by priority, then by the usage of its tenant, then by
// deadline, or nil if none waits. A SendLimiter's queue is often empty, so that virtual times,
// which end with a backlog, would not divide its rate fairly.
func (q *Queue[T]) leastUsed(usage map[port.TenantName]float64) *entry[T] {
	if len(q.levels) == 0 {
		return nil
	}
	var chosen *entry[T]
	lowest := 0.0
	for _, tenant := range q.levels[0].tenants {
		if len(tenant.entries) == 0 {
			continue
		}
		first := tenant.entries[0]
		used := usage[tenant.name] / first.weight()
		if chosen == nil || used < lowest || used == lowest && compareEntries(first, chosen) < 0 {
			chosen, lowest = first, used
		}
	}
	return chosen
}

// earliest returns the request with the earliest deadline, or nil if none waits.
func (q *Queue[T]) earliest() *entry[T] {
	var earliest *entry[T]
	for _, level := range q.levels {
		for _, tenant := range level.tenants {
			if len(tenant.entries) == 0 {
				continue
			}
			if first := tenant.entries[0]; earliest == nil || compareEntries(first, earliest) < 0 {
				earliest = first
			}
		}
	}
	return earliest
}

// lowestLevel returns the level of the lowest priority, or nil if none waits.
func (q *Queue[T]) lowestLevel() *level[T] {
	if len(q.levels) == 0 {
		return nil
	}
	return q.levels[len(q.levels)-1]
}

// latest returns the tenant's request with the latest deadline.
func (t *tenantQueue[T]) latest() *entry[T] {
	return slices.MaxFunc(t.entries, compareEntries)
}
