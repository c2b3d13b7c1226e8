package balance

import (
	"math"
	"time"
)

const (
	// latencySmoothing is the weight of a new latency in the mean.
	latencySmoothing = 0.25
	// latencyHalfLife is the time in which the latency estimate of an unused replica
	// moves halfway to the mean of its service.
	latencyHalfLife = 2 * time.Second
	// minBlockTime and maxBlockTime limit the time for which a failed replica is blocked,
	// which doubles with each consecutive failure.
	minBlockTime = 300 * time.Millisecond
	maxBlockTime = 3 * time.Second
	// minLatency keeps a very fast replica from attracting all requests.
	minLatency = time.Millisecond
	// connectionIdleTime is how long after a request its connection is assumed to stay
	// open.
	connectionIdleTime = 5 * time.Second
	// newConnectionCost is the cost factor of a replica without an idle connection, for
	// the round trip and the work on both sides. It is less than 2, the factor of a second
	// request in flight, so that a sender uses no more replicas than it needs.
	newConnectionCost = 1.5
)

// Result is the outcome of a request at a replica.
type Result uint8

const (
	// ResultServed is an answer whose duration counts as latency.
	ResultServed Result = iota
	// ResultFull is a refusal by a full replica that didn't run the request.
	ResultFull
	// ResultFailed is a broken connection, or an invalid or missing answer.
	ResultFailed
	// ResultCancelled is a request that its sender cancelled; the elapsed time is a
	// lower bound of the replica's latency.
	ResultCancelled
)

// replica is the observed state of one replica.
type replica struct {
	inFlight     int
	latency      time.Duration
	measuredAt   time.Time
	failures     int
	blockedUntil time.Time
	// reportedCostFactor is the cost factor of the load reported at loadReportedAt.
	reportedCostFactor float64
	loadReportedAt     time.Time
}

// Balancer tracks replicas by id. It is not safe for concurrent use.
type Balancer struct {
	replicas map[string]*replica
	// latency is the mean latency of each service over all replicas.
	latency map[string]time.Duration
}

// New returns an empty Balancer.
func New() *Balancer {
	return &Balancer{replicas: map[string]*replica{}, latency: map[string]time.Duration{}}
}

func (b *Balancer) get(id string) *replica {
	state := b.replicas[id]
	if state == nil {
		state = &replica{}
		b.replicas[id] = state
	}
	return state
}

// Begin records that a request was sent.
func (b *Balancer) Begin(id string) { b.get(id).inFlight++ }

// End records the outcome and the duration of a request.
func (b *Balancer) End(service, id string, result Result, elapsed time.Duration, now time.Time) {
	state := b.get(id)
	state.inFlight = max(0, state.inFlight-1)
	switch result {
	case ResultServed:
		state.failures = 0
		state.blockedUntil = time.Time{}
		b.recordLatency(service, state, elapsed, now)
	case ResultCancelled:
		if elapsed > state.latency {
			b.recordLatency(service, state, elapsed, now)
		}
	case ResultFull:
		state.blockedUntil = now.Add(fullBlockTime)
	case ResultFailed:
		state.blockedUntil = now.Add(blockTime(state.failures))
		state.failures++
	}
}

// fullBlockTime is how long a replica that refused a request as full is blocked.
const fullBlockTime = 20 * time.Millisecond

func blockTime(failures int) time.Duration {
	const maxShift = 6
	return min(maxBlockTime, minBlockTime<<min(failures, maxShift))
}

func (b *Balancer) recordLatency(service string, state *replica, elapsed time.Duration, now time.Time) {
	state.latency = smoothLatency(state.latency, elapsed)
	state.measuredAt = now
	b.latency[service] = smoothLatency(b.latency[service], elapsed)
}

func smoothLatency(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(latencySmoothing*float64(sample-mean))
}

// Latency returns the mean latency of a service, 0 before the first answer.
func (b *Balancer) Latency(service string) time.Duration { return b.latency[service] }

// InFlight returns the number of requests in flight at a replica.
func (b *Balancer) InFlight(id string) int {
	if state := b.replicas[id]; state != nil {
		return state.inFlight
	}
	return 0
}

// Pick returns the index of the candidate with the shortest expected wait, or -1 if there
// is none. It returns a blocked candidate only if all are blocked. Draw, in [0, 1), breaks
// ties.
func (b *Balancer) Pick(service string, candidates []string, now time.Time, draw float64) int {
	best, bestCost := -1, math.Inf(1)
	start := int(draw * float64(len(candidates)))
	for offset := range candidates {
		i := (start + offset) % len(candidates)
		if cost := b.cost(service, candidates[i], now); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Blocked reports whether a candidate is avoided after a refusal or failure.
func (b *Balancer) Blocked(id string, now time.Time) bool {
	state := b.replicas[id]
	return state != nil && state.blocked(now)
}

func (r *replica) blocked(now time.Time) bool { return now.Before(r.blockedUntil) }

// blockedBaseCost orders blocked replicas after all others, by the end of their block.
const blockedBaseCost = 1e9

func (b *Balancer) cost(service, id string, now time.Time) float64 {
	serviceLatency := max(b.latency[service], minLatency)
	state := b.replicas[id]
	if state == nil {
		return newConnectionCost * serviceLatency.Seconds()
	}
	if state.blocked(now) {
		return blockedBaseCost + state.blockedUntil.Sub(now).Seconds()
	}
	latency := max(decayedLatency(state, serviceLatency, now), minLatency)
	cost := latency.Seconds() * float64(state.inFlight+1) * state.loadCostFactor(now)
	if !state.hasIdleConnection(now) {
		cost *= newConnectionCost
	}
	return cost
}

// hasIdleConnection reports whether a connection to the replica is likely open and idle.
func (r *replica) hasIdleConnection(now time.Time) bool {
	return r.inFlight == 0 && !r.measuredAt.IsZero() && now.Sub(r.measuredAt) < connectionIdleTime
}

// decayedLatency returns a replica's latency, which decays towards the mean of the service
// with the time since the last measurement.
func decayedLatency(state *replica, serviceLatency time.Duration, now time.Time) time.Duration {
	if state.latency == 0 {
		return serviceLatency
	}
	share := math.Exp2(-now.Sub(state.measuredAt).Seconds() / latencyHalfLife.Seconds())
	return serviceLatency + time.Duration(share*float64(state.latency-serviceLatency))
}

// Retain drops replicas that are not present and have no requests in flight.
func (b *Balancer) Retain(present func(id string) bool) {
	for id, state := range b.replicas {
		if state.inFlight == 0 && !present(id) {
			delete(b.replicas, id)
		}
	}
}
