package rollout

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Pacing of asking again.
const (
	// askInterval is the time after which an accepted order is repeated.
	askInterval = 100 * time.Millisecond
	// maxAsking bounds the repeated orders whose answers are out, so that a switch
	// of thousands of replicas does not flood their homes.
	maxAsking = 32
)

// is says whether an outstanding order is the given one; there may be none.
func (o *outstanding) is(order port.Order) bool {
	return o != nil && o.kind == order.Kind && o.version == order.Version
}

// askAgain repeats accepted orders whose effect has not been seen. Orders have
// no further effect when repeated, and their answer says what the replica serves
// and has staged at that moment, while load reports lag and are polled: waiting
// for those would take longer than the switch itself.
func (r *Rollout) askAgain() {
	room := maxAsking - r.countAsking()
	for range r.replicas {
		if room == 0 {
			return
		}
		member := r.replicas[r.nextAsk%len(r.replicas)]
		r.nextAsk++
		if r.mayAsk(member) {
			room--
			r.ask(member)
		}
	}
}

func (r *Rollout) mayAsk(member *replica) bool {
	order := member.order
	if order == nil || !member.reachable || !order.accepted || order.asking {
		return false
	}
	return r.now.Sub(order.asked) >= askInterval
}

func (r *Rollout) ask(member *replica) {
	order := member.order
	order.asked, order.asking = r.now, true
	r.actions = append(r.actions, SendOrder{
		Replica: member.id, Order: r.config.order(order.kind, order.version), Again: true,
	})
}

func (r *Rollout) countAsking() int {
	count := 0
	for _, member := range r.replicas {
		if order := member.order; order != nil && order.accepted && order.asking {
			count++
		}
	}
	return count
}
