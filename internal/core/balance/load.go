package balance

import (
	"math"
	"time"
)

const (
	// loadFadeTime is how long it takes what a replica said of its load to count half:
	// replicas share their machines, whose load changes many times a second.
	loadFadeTime = 100 * time.Millisecond
	// leastLoadFactor and mostLoadFactor bound what a replica's own word does to its cost:
	// one that says anything must neither draw everything nor be left out by it alone.
	leastLoadFactor = 0.5
	mostLoadFactor  = 4
)

// Load is what a replica says of itself with an answer.
type Load struct {
	// Running and Waiting are requests, of all senders; Slots is how many it works on at once.
	Running, Waiting, Slots float64
	// Slowness is how long work takes there now, 1 being as usual.
	Slowness float64
}

// factor is by how much longer a further request takes there than its own work.
func (l Load) factor() float64 {
	queue := 0.0
	if l.Slots > 0 {
		queue = max(0, l.Running+l.Waiting-l.Slots+1) / l.Slots
	}
	return min(mostLoadFactor, max(leastLoadFactor, l.Slowness*(1+queue)))
}

// Told notes what a replica said of its load.
func (b *Balancer) Told(id string, load Load, now time.Time) {
	known := b.get(id)
	known.load, known.toldAt = load.factor(), now
}

// loadFactor fades what the replica said towards 1.
func (r *replica) loadFactor(now time.Time) float64 {
	if r.toldAt.IsZero() {
		return 1
	}
	share := math.Exp2(-now.Sub(r.toldAt).Seconds() / loadFadeTime.Seconds())
	return 1 + share*(r.load-1)
}
