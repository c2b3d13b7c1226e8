package rollout

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// expire gives up an order that took too long; after an activation it is then
// unknown what the replica serves.
func (r *Rollout) expire(member *replica) {
	order := member.order
	if order == nil {
		return
	}
	limit := r.config.StageTimeout
	if order.kind == port.OrderActivate {
		limit = r.config.ActivateTimeout
	}
	if r.now.Sub(order.sent) < limit {
		return
	}
	member.order = nil
	r.delay(member)
	if order.kind == port.OrderActivate {
		r.doubt(member, fmt.Sprintf("no report of version %d within %s", order.version, limit))
	}
}

// orderAnswered handles the answer to an order.
func (r *Rollout) orderAnswered(event OrderAnswered) {
	member := r.byID[event.Replica]
	if member == nil {
		return
	}
	if event.Err == nil {
		if member.order.is(event.Order) {
			member.order.accepted, member.order.asking = true, false
		}
		r.loadReported(event.Replica, event.Report)
		return
	}
	if event.Err.Code == port.CodeFenced {
		r.fence(event.Replica, 0)
		return
	}
	order := member.order
	if !order.is(event.Order) {
		return
	}
	order.asking = false
	if order.accepted && (event.Err.Verdict != port.NotRun || event.Err.Code == port.CodeUnavailable) {
		// Asking again came to nothing; the order was accepted before and stands.
		return
	}
	member.order = nil
	r.delay(member)
	switch {
	case order.kind == port.OrderActivate && event.Err.Verdict != port.NotRun:
		r.doubt(member, "activation failed and may have taken effect: "+event.Err.Message)
	case order.kind == port.OrderActivate && event.Err.Code != port.CodeUnavailable:
		// The engine refused: it may have lost what it had staged.
		member.staged = 0
	}
}

// loadReported takes a report over. A report made before the last one is old
// news, and one made before an activation or a doubt says nothing about them.
func (r *Rollout) loadReported(id port.ReplicaID, report port.LoadReport) {
	member := r.byID[id]
	if member == nil {
		return
	}
	if report.Fence > r.config.Fence {
		r.fence(id, report.Fence)
		return
	}
	made := r.now.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	if made.Before(member.reported) {
		return
	}
	member.reported = made
	if member.incarnation != report.Incarnation {
		member.incarnation = report.Incarnation
		member.order, member.tries, member.after = nil, 0, time.Time{}
	}
	before := member.version
	member.version, member.staged = report.Serves(r.config.Adapter)
	r.settleOrder(member, before, made)
	r.settleLoading(member, report.Loads(r.config.Adapter))
	r.settleRouting(member, made)
}

// settleOrder ends an order whose effect the report shows.
func (r *Rollout) settleOrder(member *replica, before port.WeightVersion, made time.Time) {
	order := member.order
	if order == nil {
		return
	}
	serves := member.version == order.version
	switch {
	case serves, order.kind == port.OrderStage && member.staged == order.version:
		member.order, member.tries = nil, 0
	case order.kind == port.OrderStage || made.Before(order.sent):
		// Still loading, or too early to tell.
	case member.version == 0:
		member.order = nil
		r.delay(member)
	case member.version != before:
		member.order = nil
		r.note(member.id, fmt.Sprintf("serves version %d instead of the ordered %d; ordering again", member.version, order.version))
	}
}

// settleLoading ends an order to stage when the replica stopped loading without
// having staged, as after a broken transfer, so that it need not wait for
// StageTimeout. A replica that never says what it loads is not judged.
func (r *Rollout) settleLoading(member *replica, loads port.WeightVersion) {
	order := member.order
	if order == nil || order.kind != port.OrderStage {
		return
	}
	if loads == order.version {
		order.loading = true
		return
	}
	if order.loading {
		member.order = nil
		r.delay(member)
		r.note(member.id, fmt.Sprintf("stopped loading version %d before it was whole; ordering again", order.version))
	}
}

// settleRouting takes a replica out whose report names no version, and puts it
// back once a report made after the doubt names one. A report that names none of
// an adapter is no doubt: requests for the adapter go to replicas that have it
// loaded, and those for other adapters may go on here.
func (r *Rollout) settleRouting(member *replica, made time.Time) {
	if member.version == 0 && r.config.Adapter == "" {
		r.doubt(member, "reports no known version")
		return
	}
	if member.doubt.IsZero() || made.Before(member.doubt) {
		return
	}
	member.doubt = time.Time{}
	member.routedOut = false
	r.actions = append(r.actions, RouteIn{Replica: member.id, Version: member.version})
	r.note(member.id, fmt.Sprintf("back in routing, serves version %d", member.version))
}

// doubt takes a replica out of routing.
func (r *Rollout) doubt(member *replica, reason string) {
	member.doubt = r.now
	if member.routedOut {
		return
	}
	member.routedOut = true
	r.actions = append(r.actions, RouteOut{Replica: member.id})
	r.note(member.id, "out of routing: "+reason)
}

// delay waits before the next order to a replica, longer after each failure.
func (r *Rollout) delay(member *replica) {
	const maxDoublings = 8
	limit := min(baseBackoff<<min(member.tries, maxDoublings), maxBackoff)
	member.tries++
	r.counter++
	half := uint64(limit / 2)
	member.after = r.now.Add(time.Duration(half + mix(r.config.Seed, r.counter)%half))
}

// fence ends the rollout: someone with a higher fence gives the orders.
func (r *Rollout) fence(by port.ReplicaID, fence port.Epoch) {
	r.fenced = true
	r.actions = append(r.actions, FencedOff{Replica: by, Fence: fence})
	r.note(by, "a higher fence was seen; this rollout stops")
}

// mix gives a well-spread number for a seed and a counter (SplitMix64).
func mix(seed, counter uint64) uint64 {
	z := seed + (counter+1)*0x9E3779B97F4A7C15
	z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9
	z = (z ^ (z >> 27)) * 0x94D049BB133111EB
	return z ^ (z >> 31)
}
