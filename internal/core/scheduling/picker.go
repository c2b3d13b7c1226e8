package scheduling

import (
	"math/rand/v2"
	"sync/atomic"
)

// Scored is a replica that passed the filters, with its weighted score.
type Scored struct {
	// Index is the position among the candidates.
	Index int
	Score float64
}

// Picker chooses among the scored replicas.
type Picker interface {
	// Pick gives a position in scored, which is never empty.
	Pick(candidates []Candidate, scored []Scored, random *rand.Rand) int
}

// scoreTie is the difference up to which two scores count as equal.
const scoreTie = 1e-9

// HighestScore picks the highest score, and one at random among equals.
type HighestScore struct{}

// Pick implements Picker.
func (HighestScore) Pick(_ []Candidate, scored []Scored, random *rand.Rand) int {
	best, equals := 0, 1
	for position := 1; position < len(scored); position++ {
		difference := scored[position].Score - scored[best].Score
		switch {
		case difference > scoreTie:
			best, equals = position, 1
		case difference >= -scoreTie:
			equals++
			if random.IntN(equals) == 0 {
				best = position
			}
		}
	}
	return best
}

// TwoChoices draws two replicas and picks the less loaded one, as a share of
// its limit; equal loads are decided by score. It avoids the herd that
// forms when many nodes follow the same lagging counts.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(candidates []Candidate, scored []Scored, random *rand.Rand) int {
	first, second := drawTwo(len(scored), random)
	firstLoad := relativeLoad(&candidates[scored[first].Index])
	secondLoad := relativeLoad(&candidates[scored[second].Index])
	if secondLoad < firstLoad {
		return second
	}
	if secondLoad == firstLoad && scored[second].Score > scored[first].Score+scoreTie {
		return second
	}
	return first
}

// ShortestOfTwo draws two replicas and picks the one with the shorter expected
// time: the mean latency that this node saw, times its own requests in flight
// and the new one (as the peak EWMA balancer of Finagle). While the latency of
// either is not known, the fewer in flight decide. Equals are decided by score.
//
// It leaves out the load that others report: a report that is older than the
// requests are long tells of requests that have ended.
type ShortestOfTwo struct{}

// Pick implements Picker.
func (ShortestOfTwo) Pick(candidates []Candidate, scored []Scored, random *rand.Rand) int {
	first, second := drawTwo(len(scored), random)
	one, other := &candidates[scored[first].Index], &candidates[scored[second].Index]
	firstCost, secondCost := float64(one.Inflight+1), float64(other.Inflight+1)
	if one.Latency > 0 && other.Latency > 0 {
		firstCost *= float64(one.Latency)
		secondCost *= float64(other.Latency)
	}
	if secondCost < firstCost {
		return second
	}
	if secondCost == firstCost && scored[second].Score > scored[first].Score+scoreTie {
		return second
	}
	return first
}

// BetterOfTwo draws two replicas and picks the one with the higher score.
type BetterOfTwo struct{}

// Pick implements Picker.
func (BetterOfTwo) Pick(_ []Candidate, scored []Scored, random *rand.Rand) int {
	first, second := drawTwo(len(scored), random)
	if scored[second].Score > scored[first].Score {
		return second
	}
	return first
}

// LeastInflight picks the lowest load of all, and one at random among equals.
type LeastInflight struct{}

// Pick implements Picker.
func (LeastInflight) Pick(candidates []Candidate, scored []Scored, random *rand.Rand) int {
	best, equals := 0, 1
	bestLoad := candidates[scored[0].Index].Load()
	for position := 1; position < len(scored); position++ {
		load := candidates[scored[position].Index].Load()
		switch {
		case load < bestLoad:
			best, bestLoad, equals = position, load, 1
		case load == bestLoad:
			equals++
			if random.IntN(equals) == 0 {
				best = position
			}
		}
	}
	return best
}

// Random picks any replica with equal chance.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(_ []Candidate, scored []Scored, random *rand.Rand) int {
	return random.IntN(len(scored))
}

// RoundRobin picks the replicas in turn. It alone keeps state: a counter.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (r *RoundRobin) Pick(_ []Candidate, scored []Scored, _ *rand.Rand) int {
	turn := r.next.Add(1) - 1
	return int(turn % uint64(len(scored)))
}

// drawTwo gives two positions below count, different ones where it can.
func drawTwo(count int, random *rand.Rand) (first, second int) {
	if count == 1 {
		return 0, 0
	}
	first = random.IntN(count)
	second = random.IntN(count - 1)
	if second >= first {
		second++
	}
	return first, second
}

// relativeLoad is the load as a share of the limit, or the load without one.
func relativeLoad(candidate *Candidate) float64 {
	return float64(candidate.Load()) / float64(max(candidate.Limit, 1))
}
