package rollout

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// expireOrder abandons an order that timed out. After an activation the replica's
// version is then unknown.
func (r *Rollout) expireOrder(member *replica) {
	order := member.order
	if order == nil {
		return
	}
	limit := r.config.StageTimeout
	if order.kind == port.OrderActivate {
		limit = r.config.ActivateTimeout
	}
	if r.now.Sub(order.firstSent) < limit {
		return
	}
	member.order = nil
	r.delay(member)
	if order.kind == port.OrderActivate {
		r.routeOut(member, fmt.Sprintf("version %d not reported within %s", order.version, limit))
	}
}

// orderAnswered handles the answer to an order.
func (r *Rollout) orderAnswered(event OrderAnswered) {
	member := r.byID[event.Replica]
	if member == nil {
		return
	}
	if event.Err == nil {
		if member.order.matches(event.Order) {
			member.order.accepted, member.order.awaitingAnswer = true, false
		}
		r.loadReported(event.Replica, event.Report)
		return
	}
	if event.Err.Code == port.CodeFenced {
		r.stopFenced(event.Replica, 0)
		return
	}
	order := member.order
	if !order.matches(event.Order) {
		return
	}
	order.awaitingAnswer = false
	if order.accepted && (event.Err.Verdict != port.NotRun || event.Err.Code == port.CodeUnavailable) {
		// The repetition failed, but the order was accepted before.
		return
	}
	member.order = nil
	r.delay(member)
	switch {
	case order.kind == port.OrderActivate && event.Err.Verdict != port.NotRun:
		r.routeOut(member, "activation failed and may have taken effect: "+event.Err.Message)
	case order.kind == port.OrderActivate && event.Err.Code != port.CodeUnavailable:
		// The engine refused: it may have lost its staged weights.
		member.staged = 0
	}
}

// loadReported applies a load report unless it is older than the last one.
func (r *Rollout) loadReported(id port.ReplicaID, report port.LoadReport) {
	member := r.byID[id]
	if member == nil {
		return
	}
	if report.Fence > r.config.Fence {
		r.stopFenced(id, report.Fence)
		return
	}
	reportedAt := r.now.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	if reportedAt.Before(member.lastReport) {
		return
	}
	member.lastReport = reportedAt
	if member.incarnation != report.Incarnation {
		member.incarnation = report.Incarnation
		member.order, member.tries, member.notBefore = nil, 0, time.Time{}
	}
	before := member.version
	member.version, member.staged = report.Versions(r.config.Adapter)
	r.updateOrder(member, before, reportedAt)
	r.checkLoading(member, report.StagingVersion(r.config.Adapter))
	r.updateRouting(member, reportedAt)
}

// updateOrder ends a pending order if the report shows its effect or its failure.
func (r *Rollout) updateOrder(member *replica, before port.WeightVersion, reportedAt time.Time) {
	order := member.order
	if order == nil {
		return
	}
	serves := member.version == order.version
	switch {
	case serves, order.kind == port.OrderStage && member.staged == order.version:
		member.order, member.tries = nil, 0
	case order.kind == port.OrderStage || reportedAt.Before(order.firstSent):
		// Still loading, or the report is older than the order.
	case member.version == 0:
		member.order = nil
		r.delay(member)
	case member.version != before:
		member.order = nil
		r.record(member.id, fmt.Sprintf("serves version %d instead of the ordered %d; ordering again", member.version, order.version))
	}
}

// checkLoading ends a stage order if the replica stopped loading without having staged,
// for example after a broken transfer. A replica that never reported the load waits for
// StageTimeout.
func (r *Rollout) checkLoading(member *replica, loads port.WeightVersion) {
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
		r.record(member.id, fmt.Sprintf("stopped loading version %d before it was complete; ordering again", order.version))
	}
}

// updateRouting removes a replica from routing if its report contains no version, and
// returns it once a later report contains one. For an adapter, a missing version has no
// effect: the adapter's requests go to replicas that have it loaded, and this replica may
// serve other adapters.
func (r *Rollout) updateRouting(member *replica, reportedAt time.Time) {
	if member.version == 0 && r.config.Adapter == "" {
		r.routeOut(member, "reports no version")
		return
	}
	if member.unknownSince.IsZero() || reportedAt.Before(member.unknownSince) {
		return
	}
	member.unknownSince = time.Time{}
	member.routedOut = false
	r.actions = append(r.actions, RouteIn{Replica: member.id, Version: member.version})
	r.record(member.id, fmt.Sprintf("back in routing, serves version %d", member.version))
}

// routeOut marks a replica's version as unknown and removes it from routing.
func (r *Rollout) routeOut(member *replica, reason string) {
	member.unknownSince = r.now
	if member.routedOut {
		return
	}
	member.routedOut = true
	r.actions = append(r.actions, RouteOut{Replica: member.id})
	r.record(member.id, "out of routing: "+reason)
}

// delay delays the next order to a replica by a backoff.
func (r *Rollout) delay(member *replica) {
	const maxDoublings = 8
	limit := min(baseBackoff<<min(member.tries, maxDoublings), maxBackoff)
	member.tries++
	r.counter++
	half := uint64(limit / 2)
	member.notBefore = r.now.Add(time.Duration(half + mix(r.config.Seed, r.counter)%half))
}

// stopFenced ends the rollout: the holder of a higher fence sends the orders.
func (r *Rollout) stopFenced(by port.ReplicaID, fence port.Epoch) {
	r.fenced = true
	r.actions = append(r.actions, FencedOff{Replica: by, Fence: fence})
	r.record(by, "engine has seen a higher fence; rollout stopped")
}

// mix hashes a seed and a counter (SplitMix64).
func mix(seed, counter uint64) uint64 {
	z := seed + (counter+1)*0x9E3779B97F4A7C15
	z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9
	z = (z ^ (z >> 27)) * 0x94D049BB133111EB
	return z ^ (z >> 31)
}
