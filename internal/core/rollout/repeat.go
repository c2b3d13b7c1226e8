package rollout

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Limits of the repetition of accepted orders.
const (
	// minRepeatInterval and maxRepeatInterval limit the time between two repetitions of
	// an accepted order. The interval grows with the order's age beyond recentOrderAge,
	// divided by repeatIntervalDivisor, since each repetition may restart a failing load.
	minRepeatInterval     = 100 * time.Millisecond
	maxRepeatInterval     = 5 * time.Second
	recentOrderAge        = 3 * time.Second
	repeatIntervalDivisor = 4
	// maxOutstandingRepeats limits the unanswered repetitions, so that a switch of
	// thousands of replicas does not flood their home nodes.
	maxOutstandingRepeats = 32
)

// matches reports whether o has the order's kind and version; o may be nil.
func (o *pendingOrder) matches(order port.Order) bool {
	return o != nil && o.kind == order.Kind && o.version == order.Version
}

// repeatOrders repeats accepted orders whose effect has not been reported yet. A repeated
// order has no further effect, and its answer contains the replica's current state;
// polled load reports would arrive too late for a fast switch.
func (r *Rollout) repeatOrders() {
	remaining := maxOutstandingRepeats - r.countOutstandingRepeats()
	for range r.replicas {
		if remaining == 0 {
			return
		}
		member := r.replicas[r.nextRepeat%len(r.replicas)]
		r.nextRepeat++
		if r.canRepeat(member) {
			remaining--
			r.repeat(member)
		}
	}
}

func (r *Rollout) canRepeat(member *replica) bool {
	order := member.order
	if order == nil || !member.reachable || !order.accepted || order.awaitingAnswer {
		return false
	}
	return r.now.Sub(order.lastSent) >= repeatInterval(r.now.Sub(order.firstSent))
}

// repeatInterval returns the time between two repetitions of an order of the given age.
func repeatInterval(age time.Duration) time.Duration {
	return min(max((age-recentOrderAge)/repeatIntervalDivisor, minRepeatInterval), maxRepeatInterval)
}

func (r *Rollout) repeat(member *replica) {
	order := member.order
	order.lastSent, order.awaitingAnswer = r.now, true
	r.actions = append(r.actions, SendOrder{
		Replica: member.id, Order: r.config.order(order.kind, order.version), Repeat: true,
	})
}

func (r *Rollout) countOutstandingRepeats() int {
	count := 0
	for _, member := range r.replicas {
		if order := member.order; order != nil && order.accepted && order.awaitingAnswer {
			count++
		}
	}
	return count
}
