package admission

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// minSendWait is the minimum time for which a request may wait in a limited sender.
const minSendWait = 5 * time.Millisecond

// sendBy returns when a request must have been sent to be answered within its aim, and before
// its deadline; the zero time means that it may wait for any time. A request whose aim has
// passed may wait for the duration of one aim.
func (s *SendLimiter[T]) sendBy(now, deadline time.Time, aim time.Duration) time.Time {
	signals := &s.rate.signals
	expected := seconds(signals.latency + signals.deviation)
	var latest time.Time
	if !deadline.IsZero() {
		latest = deadline.Add(-expected)
	}
	if aim != 0 {
		wait := aim - expected
		if aim < 0 {
			wait = seconds(signals.aim)
		}
		latest = earlier(latest, now.Add(wait))
	}
	if minimum := now.Add(minSendWait); !latest.IsZero() && latest.Before(minimum) {
		return earlier(deadline, minimum)
	}
	return latest
}

// earlier returns the earlier of two times, of which the zero time is the latest.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }

// reserve returns the share of the bucket that a request leaves to requests of light tenants
// that can be on time.
func (s *SendLimiter[T]) reserve(now time.Time, offered *Item[waitingSend[T]]) float64 {
	if offered.Value.late {
		return lateReserve
	}
	if s.usage.heavy(now, offered.Tenant, offered.TenantShare) {
		return heavyReserve
	}
	return 0
}

// makeRoom refuses a request that cannot be sent in time, or that is late while there are recent
// signs of overload, or evicts a waiting request of a lower priority or of a tenant with a higher
// usage.
func (s *SendLimiter[T]) makeRoom(now time.Time, offered *Item[waitingSend[T]]) *port.Error {
	if offered.Deadline.IsZero() {
		return nil
	}
	if offered.Value.late && s.rate.signals.recent(now) && s.rate.rule.overloaded(&s.rate.signals) {
		// A late answer would make an answer late that could be on time. Older signs do not
		// count: a sender with late requests only would never measure again.
		return s.refuse(now, offered, ReasonQueue)
	}
	sendable := s.rate.sendable(offered.Deadline.Sub(now), offered.Value.reserve)
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
	weight := s.usage.weight(now)
	heaviest, usage := s.heaviest(lowest, weight)
	if lowest.priority < offered.Priority {
		return heaviest.latest(), ReasonQueue
	}
	waiting := 1
	own := lowest.tenants[offered.Tenant]
	if own != nil {
		waiting += len(own.entries)
	}
	if heaviest != own && usage > s.usageOf(offered.Tenant, waiting, offered.TenantShare, weight) {
		return heaviest.latest(), ReasonTenant
	}
	reason := ReasonTenant
	if waiting > lowest.count {
		reason = ReasonQueue // no other tenant waits
	}
	if own == nil || len(own.entries) == 0 {
		return nil, reason
	}
	latest := own.latest()
	if !latest.item.Deadline.After(offered.Deadline) {
		return nil, reason
	}
	return latest, reason
}

// heaviest returns the tenant of a level with the highest usage, counting waiting requests, and
// its usage.
func (s *SendLimiter[T]) heaviest(lowest *level[waitingSend[T]], weight float64) (*tenantQueue[waitingSend[T]], float64) {
	var heaviest *tenantQueue[waitingSend[T]]
	highest := 0.0
	for _, tenant := range lowest.tenants {
		if len(tenant.entries) == 0 {
			continue
		}
		usage := s.usageOf(tenant.name, len(tenant.entries), tenant.entries[0].item.TenantShare, weight)
		if heaviest == nil || usage > highest || usage == highest && tenant.name < heaviest.name {
			heaviest, highest = tenant, usage
		}
	}
	return heaviest, highest
}

// usageOf returns a tenant's recent and waiting requests relative to its share.
func (s *SendLimiter[T]) usageOf(tenant port.TenantName, waiting int, share, weight float64) float64 {
	return (s.usage.counts[tenant]/weight + float64(waiting)) / normalizeShare(share)
}

// endExpired ends the waiting requests that can no longer be answered in time.
func (s *SendLimiter[T]) endExpired(now time.Time) {
	for earliest := s.queue.earliest(); earliest != nil && s.expired(now, earliest); earliest = s.queue.earliest() {
		s.queue.remove(earliest)
		s.queue.addEnded(earliest, s.refuse(now, &earliest.item, ReasonDeadline))
	}
}

// expired reports whether a waiting request must not be sent any more. Without a limit, only
// the caller's deadline counts, as the caller of Next causes the wait.
func (s *SendLimiter[T]) expired(now time.Time, waiting *entry[waitingSend[T]]) bool {
	if s.rate.limited {
		return waiting.expired(now)
	}
	deadline := waiting.item.Value.deadline
	return !deadline.IsZero() && !now.Before(deadline)
}
