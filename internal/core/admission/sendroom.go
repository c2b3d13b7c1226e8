package admission

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// sendBy returns when a request must have been sent to be answered within its aim, and before
// its deadline; the zero time means that it may wait for any time. A request whose aim has
// passed may wait for the duration of one aim.
func (s *SendLimiter[T]) sendBy(now, deadline time.Time, aim time.Duration) time.Time {
	signals := &s.rate.signals
	expected := time.Duration((signals.latency + signals.deviation) * float64(time.Second))
	var latest time.Time
	if !deadline.IsZero() {
		latest = deadline.Add(-expected)
	}
	if aim != 0 {
		wait := aim - expected
		if aim < 0 {
			wait = time.Duration(signals.aim * float64(time.Second))
		}
		if byAim := now.Add(wait); latest.IsZero() || byAim.Before(latest) {
			latest = byAim
		}
	}
	if earliest := now.Add(minSendWait); !latest.IsZero() && latest.Before(earliest) {
		return earliest
	}
	return latest
}

// reserve returns the number of permits that a request leaves to requests of light tenants that
// can be on time.
func (s *SendLimiter[T]) reserve(now time.Time, tenant port.TenantName, late bool) float64 {
	if late {
		return lateReserve
	}
	if s.usage.heavy(now, tenant) {
		return heavyReserve
	}
	return 0
}

// makeRoom refuses a request that cannot be sent in time, or evicts a waiting request of a
// lower priority or of a tenant with a higher usage for it.
func (s *SendLimiter[T]) makeRoom(now time.Time, offered *Item[waitingSend[T]]) *port.Error {
	if offered.Deadline.IsZero() {
		return nil
	}
	sendable := s.rate.sendable(offered.Deadline.Sub(now)) - offered.Value.reserve
	if sendable < 1 {
		return s.refuse(now, offered, ReasonDeadline)
	}
	s.endExpired(now)
	if float64(s.queue.Len()+1) <= sendable {
		return nil
	}
	victim, reason := s.victim(now, offered)
	if victim == nil {
		return s.refuse(now, offered, reason)
	}
	s.queue.remove(victim)
	s.queue.addEnded(victim, s.refuse(now, &victim.item, reason))
	return nil
}

// victim returns the waiting request to evict for an offered one, or nil if the offered one is
// to be refused, and the reason.
func (s *SendLimiter[T]) victim(now time.Time, offered *Item[waitingSend[T]]) (*entry[waitingSend[T]], Reason) {
	lowest := s.queue.lowestLevel()
	if lowest == nil || lowest.priority > offered.Priority {
		return nil, ReasonQueue
	}
	heaviest, several := s.heaviestTenant(now, lowest, offered)
	if lowest.priority < offered.Priority {
		return heaviest.latest(), ReasonQueue
	}
	reason := ReasonQueue
	if several {
		reason = ReasonTenant
	}
	if heaviest == nil {
		return nil, reason
	}
	latest := heaviest.latest()
	if heaviest.name == offered.Tenant && !latest.item.Deadline.After(offered.Deadline) {
		return nil, reason
	}
	return latest, reason
}

// heaviestTenant returns the tenant of a level with the highest usage, counting the requests
// that wait, or nil if that is the offered request's tenant and none of its requests waits. It
// also reports whether there are several tenants.
func (s *SendLimiter[T]) heaviestTenant(now time.Time, lowest *level[waitingSend[T]], offered *Item[waitingSend[T]]) (*tenantQueue[waitingSend[T]], bool) {
	weight := s.usage.weight(now)
	var heaviest *tenantQueue[waitingSend[T]]
	highest := -1.0
	several := false
	same := lowest.priority == offered.Priority
	if same {
		own := lowest.tenants[offered.Tenant]
		waiting := 1
		if own != nil {
			waiting += len(own.entries)
		}
		if own != nil && len(own.entries) > 0 {
			heaviest = own
		}
		highest = (s.usage.counts[offered.Tenant]/weight + float64(waiting)) / normalizeShare(offered.TenantShare)
	}
	for _, tenant := range lowest.tenants {
		if len(tenant.entries) == 0 || same && tenant.name == offered.Tenant {
			continue
		}
		several = true
		usage := (s.usage.counts[tenant.name]/weight + float64(len(tenant.entries))) / tenant.entries[0].weight()
		if usage > highest || usage == highest && heaviest != nil && heaviest.name != offered.Tenant && tenant.name < heaviest.name {
			heaviest, highest = tenant, usage
		}
	}
	return heaviest, several
}

// endExpired ends the waiting requests that can no longer be answered in time.
func (s *SendLimiter[T]) endExpired(now time.Time) {
	for earliest := s.queue.earliest(); earliest != nil && s.expired(now, earliest); earliest = s.queue.earliest() {
		s.queue.remove(earliest)
		s.queue.addEnded(earliest, s.refuse(now, &earliest.item, ReasonDeadline))
	}
}

// expired reports whether a waiting request must not be sent any more. Without a limit, only
// the caller's deadline counts, as the wait is the driver's own.
func (s *SendLimiter[T]) expired(now time.Time, waiting *entry[waitingSend[T]]) bool {
	if s.rate.limited {
		return waiting.expired(now)
	}
	deadline := waiting.item.Value.deadline
	return !deadline.IsZero() && !now.Before(deadline)
}
