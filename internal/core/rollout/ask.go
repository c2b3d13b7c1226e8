package rollout

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Pacing of asking again.
const (
	// minAskInterval and maxAskInterval bound the time between two repetitions of
	// an accepted order. It is the shortest while the order is younger than
	// promptAge, and then grows with it, by one part in askShare: a load that breaks
	// off each time, as with the weight store down, is begun again seldom, and of
	// one that takes long the load reports tell soon enough.
	minAskInterval = 100 * time.Millisecond
	maxAskInterval = 5 * time.Second
	promptAge      = 3 * time.Second
	askShare       = 4
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
	return r.now.Sub(order.asked) >= askInterval(r.now.Sub(order.sent))
}

// askInterval gives the time between two repetitions of an order of some age.
func askInterval(age time.Duration) time.Duration {
	return min(max((age-promptAge)/askShare, minAskInterval), maxAskInterval)
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
