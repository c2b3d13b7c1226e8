package balance

import (
	"math"
	"time"
)

const (
	// loadHalfLife is the time in which the weight of a load report halves. It is short
	// because replicas share machines whose load changes many times per second.
	loadHalfLife = 100 * time.Millisecond
	// minCostFactor and maxCostFactor limit the effect of a load report, so that a wrong
	// one can't attract or deter all requests.
	minCostFactor = 0.5
	maxCostFactor = 4
)

// Load is the load that a replica reports with an answer.
type Load struct {
	// Running and Waiting count requests of all senders; Slots is the replica's concurrency.
	Running, Waiting, Slots float64
	// Slowness is the current processing time relative to the normal one.
	Slowness float64
}

// costFactor returns the expected duration of another request relative to an unloaded
// replica.
func (l Load) costFactor() float64 {
	queue := 0.0
	if l.Slots > 0 {
		queue = max(0, l.Running+l.Waiting-l.Slots+1) / l.Slots
	}
	return min(maxCostFactor, max(minCostFactor, l.Slowness*(1+queue)))
}

// RecordLoad records the load reported by a replica.
func (b *Balancer) RecordLoad(id string, load Load, now time.Time) {
	state := b.get(id)
	state.reportedCostFactor, state.loadReportedAt = load.costFactor(), now
}

// loadCostFactor returns the reported cost factor, which decays towards 1.
func (r *replica) loadCostFactor(now time.Time) float64 {
	if r.loadReportedAt.IsZero() {
		return 1
	}
	share := math.Exp2(-now.Sub(r.loadReportedAt).Seconds() / loadHalfLife.Seconds())
	return 1 + share*(r.reportedCostFactor-1)
}
