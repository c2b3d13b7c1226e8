package gate

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Grant is a place on a replica. Release must be called once the request has
// ended; later calls have no effect.
type Grant struct {
	Replica port.ReplicaID
	// Result tells of the choice.
	Result scheduling.Result
	// Waited is the time in the queue.
	Waited time.Duration

	gate    *Gate
	slot    *slot
	tokens  int
	started time.Time
	once    sync.Once
}

// Outcome tells how a request ended.
type Outcome struct {
	// Abandoned means that the caller gave up or the request never started; it
	// says nothing about the replica.
	Abandoned bool
	// Overloaded means a failure that speaks of overload.
	Overloaded bool
	// Latency is comparable between requests: the time per output token, or of
	// the whole call. 0 means not known.
	Latency time.Duration
	// Service is the time of the whole request for the check of deadlines; 0
	// means not to be counted.
	Service time.Duration
}

// Release gives the place back and serves the next request.
func (r *Grant) Release(outcome Outcome) {
	r.once.Do(func() { r.release(time.Now(), outcome) })
}

func (r *Grant) release(now time.Time, outcome Outcome) {
	g := r.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !outcome.Abandoned && (outcome.Latency > 0 || outcome.Overloaded) {
		r.slot.limiter.Observe(now, outcome.Latency, outcome.Overloaded, r.slot.inflight)
	}
	if outcome.Service > 0 {
		g.queue.ObserveService(outcome.Service)
	}
	r.slot.inflight--
	r.slot.finished++
	r.slot.tokens -= r.tokens
	g.dispatch(now)
}
