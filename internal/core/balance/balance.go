package balance

import (
	"math"
	"time"
)

const (
	// newSampleShare is the weight of a new latency in the mean.
	newSampleShare = 0.25
	// fadeTime is how long it takes an unused replica's latency to come
	// halfway back to that of its peers.
	fadeTime = 2 * time.Second
	// firstBlock and longestBlock bound how long a failed replica is left out;
	// the time doubles with each failure in a row.
	firstBlock   = 300 * time.Millisecond
	longestBlock = 3 * time.Second
	// leastLatency keeps a very fast replica from drawing everything.
	leastLatency = time.Millisecond
	// warmFor is how long after a request a connection to its replica is taken to be
	// open still.
	warmFor = 5 * time.Second
	// coldFactor is how much more a replica without an open connection costs: a round
	// trip, and work on both sides. It is less than a second request at one that has
	// one, so that a sender uses as few replicas as its requests in flight need.
	coldFactor = 1.5
)

// Result says how a request at a replica ended.
type Result uint8

const (
	// ResultServed is an answer that counts for the replica's latency.
	ResultServed Result = iota
	// ResultFull is a refusal that was not run.
	ResultFull
	// ResultFailed is a broken connection, a spoiled or a missing answer.
	ResultFailed
	// ResultGivenUp is a request that its sender cancelled; the time that it
	// took is a lower bound of the replica's latency.
	ResultGivenUp
)

// replica is what is known of one replica.
type replica struct {
	inFlight     int
	latency      time.Duration
	measuredAt   time.Time
	failures     int
	blockedUntil time.Time
	// load is by how much more a request costs there, as it said at toldAt.
	load   float64
	toldAt time.Time
}

// Balancer holds what is known of replicas by id. It is not safe for concurrent
// use.
type Balancer struct {
	replicas map[string]*replica
	// latency is the mean over all replicas of a service.
	latency map[string]time.Duration
}

// New makes an empty Balancer.
func New() *Balancer {
	return &Balancer{replicas: map[string]*replica{}, latency: map[string]time.Duration{}}
}

func (b *Balancer) get(id string) *replica {
	known := b.replicas[id]
	if known == nil {
		known = &replica{}
		b.replicas[id] = known
	}
	return known
}

// Begin notes that a request was sent.
func (b *Balancer) Begin(id string) { b.get(id).inFlight++ }

// End notes how a request ended and how long it took.
func (b *Balancer) End(service, id string, result Result, took time.Duration, now time.Time) {
	known := b.get(id)
	known.inFlight = max(0, known.inFlight-1)
	switch result {
	case ResultServed:
		known.failures = 0
		known.blockedUntil = time.Time{}
		b.measure(service, known, took, now)
	case ResultGivenUp:
		if took > known.latency {
			b.measure(service, known, took, now)
		}
	case ResultFull:
		known.blockedUntil = now.Add(fullBlock)
	case ResultFailed:
		known.blockedUntil = now.Add(blockTime(known.failures))
		known.failures++
	}
}

// fullBlock is how long a replica that refused for want of room is left out.
const fullBlock = 20 * time.Millisecond

func blockTime(failures int) time.Duration {
	const longestShift = 6
	return min(longestBlock, firstBlock<<min(failures, longestShift))
}

func (b *Balancer) measure(service string, known *replica, took time.Duration, now time.Time) {
	known.latency = mean(known.latency, took)
	known.measuredAt = now
	b.latency[service] = mean(b.latency[service], took)
}

func mean(held, sample time.Duration) time.Duration {
	if held == 0 {
		return sample
	}
	return held + time.Duration(newSampleShare*float64(sample-held))
}

// Latency gives the mean latency of a service, 0 before any answer.
func (b *Balancer) Latency(service string) time.Duration { return b.latency[service] }

// InFlight gives the requests at a replica.
func (b *Balancer) InFlight(id string) int {
	if known := b.replicas[id]; known != nil {
		return known.inFlight
	}
	return 0
}

// Pick gives the index of the candidate with the shortest expected wait, or -1
// if there is none. Candidates that are left out after failures are taken only
// if there are no others. Draw, in [0, 1), decides among equals.
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

// blockedCost puts replicas that are left out behind all others, the one that
// returns first foremost.
const blockedCost = 1e9

func (b *Balancer) cost(service, id string, now time.Time) float64 {
	usual := max(b.latency[service], leastLatency)
	known := b.replicas[id]
	if known == nil {
		return coldFactor * usual.Seconds()
	}
	if now.Before(known.blockedUntil) {
		return blockedCost + known.blockedUntil.Sub(now).Seconds()
	}
	latency := max(faded(known, usual, now), leastLatency)
	cost := latency.Seconds() * float64(known.inFlight+1) * known.loadFactor(now)
	if !known.warm(now) {
		cost *= coldFactor
	}
	return cost
}

// warm reports whether a connection to the replica is likely to be open and unused.
func (r *replica) warm(now time.Time) bool {
	return r.inFlight == 0 && !r.measuredAt.IsZero() && now.Sub(r.measuredAt) < warmFor
}

// faded gives a replica's latency, drawn towards the usual one with the time
// since it was measured.
func faded(known *replica, usual time.Duration, now time.Time) time.Duration {
	if known.latency == 0 {
		return usual
	}
	share := math.Exp2(-now.Sub(known.measuredAt).Seconds() / fadeTime.Seconds())
	return usual + time.Duration(share*float64(known.latency-usual))
}

// Forget drops replicas that are not in the given set.
func (b *Balancer) Forget(present func(id string) bool) {
	for id, known := range b.replicas {
		if known.inFlight == 0 && !present(id) {
			delete(b.replicas, id)
		}
	}
}
