package gate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
)

const (
	// affinityLook is the number of waiting requests that are looked through for
	// one whose preferred replica has room.
	affinityLook = 64
	// maxPassedOver is how often the first request in order may be passed over for
	// such a one.
	maxPassedOver = 64
)

// next takes out the request to serve next. The preferred replica of a request is
// the one that has its prompt cached, as far as the choosing node knows. When all replicas are full, the one
// that a request gets is the one that becomes free, whatever it has cached; so
// among the first few requests of the highest priority one goes first whose
// preferred replica has room, before those that would go elsewhere.
func (g *Gate) next(now time.Time) (admission.Item[*Ticket], bool) {
	var head *Ticket
	item, found := g.queue.NextFitting(now, affinityLook, func(item *admission.Item[*Ticket]) bool {
		if head == nil {
			head = item.Value
			if head.passedOver >= maxPassedOver || head.Request.Preferred == "" {
				return true
			}
		}
		return item.Priority == head.Request.Pick.Priority && g.preferredWithRoom(item.Value)
	})
	if !found {
		return g.queue.Next(now)
	}
	if item.Value != head {
		head.passedOver++
	}
	return item, true
}

// preferredWithRoom says whether a request's preferred replica has room.
func (g *Gate) preferredWithRoom(ticket *Ticket) bool {
	held := g.byID[ticket.Request.Preferred]
	return held != nil && held.routable() && held.inflight < held.limiter.Limit()
}
