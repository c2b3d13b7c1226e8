package gate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
)

const (
	// affinityScanLimit is the number of queued requests that are scanned for one
	// whose preferred replica has capacity.
	affinityScanLimit = 64
	// maxSkips is how often the first request in order may be skipped for such a
	// request.
	maxSkips = 64
)

// next removes the request to serve next from the queue. The preferred replica of a
// request is the one that has its prompt cached, as far as the requesting node
// knows. Among the first requests of the highest priority, one whose preferred
// replica has capacity goes first; otherwise a saturated gate would assign each
// request to whichever replica becomes free, regardless of its cache.
func (g *Gate) next(now time.Time) (admission.Item[*Ticket], bool) {
	var head *Ticket
	item, found := g.queue.NextFitting(now, affinityScanLimit, func(item *admission.Item[*Ticket]) bool {
		if head == nil {
			head = item.Value
			if head.skips >= maxSkips || head.Request.Preferred == "" {
				return true
			}
		}
		return item.Priority == head.Request.Scheduling.Priority && g.preferredHasCapacity(item.Value)
	})
	if !found {
		return g.queue.Next(now)
	}
	if item.Value != head {
		head.skips++
	}
	return item, true
}

// preferredHasCapacity reports whether a request's preferred replica has capacity.
func (g *Gate) preferredHasCapacity(ticket *Ticket) bool {
	state := g.byID[ticket.Request.Preferred]
	return state != nil && state.routable() && state.inflight < state.limiter.Limit()
}
