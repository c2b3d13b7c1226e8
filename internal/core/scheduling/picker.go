package scheduling

import (
	"math/rand/v2"
	"sync/atomic"
)

// Scored is a replica that passed the filters, with its weighted score.
type Scored struct {
	// Index is the index in the candidates.
	Index int
	Score float64
}

// Picker chooses among the scored replicas.
type Picker interface {
	// Pick returns an index into scored, which is not empty.
	Pick(candidates []Candidate, scored []Scored, random *rand.Rand) int
}

// scoreTie is the difference up to which two scores are equal.
const scoreTie = 1e-9

// HighestScore picks the highest score, at random among equals.
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

// TwoChoices draws two replicas and picks the one with the lower load relative to its
// limit; ties are broken by score. Unlike picking the minimum, it does not send every
// node's requests to the same replica while the reported counts lag.
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

// LowerLatencyOfTwo draws two replicas and picks the one with the lower expected
// latency: this node's mean latency times its own requests in flight plus one, as the
// peak EWMA balancer of Finagle does. While either latency is unknown, it compares the
// requests in flight. Ties are broken by score.
//
// It ignores the load reported by others, since the age of a report exceeds the duration
// of a short request.
type LowerLatencyOfTwo struct{}

// Pick implements Picker.
func (LowerLatencyOfTwo) Pick(candidates []Candidate, scored []Scored, random *rand.Rand) int {
	first, second := drawTwo(len(scored), random)
	left, right := &candidates[scored[first].Index], &candidates[scored[second].Index]
	firstCost, secondCost := float64(left.Inflight+1), float64(right.Inflight+1)
	if left.Latency > 0 && right.Latency > 0 {
		firstCost *= float64(left.Latency)
		secondCost *= float64(right.Latency)
	}
	if secondCost < firstCost {
		return second
	}
	if secondCost == firstCost && scored[second].Score > scored[first].Score+scoreTie {
		return second
	}
	return first
}

// HigherScoreOfTwo draws two replicas and picks the one with the higher score.
type HigherScoreOfTwo struct{}

// Pick implements Picker.
func (HigherScoreOfTwo) Pick(_ []Candidate, scored []Scored, random *rand.Rand) int {
	first, second := drawTwo(len(scored), random)
	if scored[second].Score > scored[first].Score {
		return second
	}
	return first
}

// LeastInflight picks the lowest load of all, at random among equals.
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

// Random picks any replica with equal probability.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(_ []Candidate, scored []Scored, random *rand.Rand) int {
	return random.IntN(len(scored))
}

// RoundRobin picks the replicas in turn. It is the only picker with state.
type RoundRobin struct{ next atomic.Uint64 }

// Pick implements Picker.
func (r *RoundRobin) Pick(_ []Candidate, scored []Scored, _ *rand.Rand) int {
	turn := r.next.Add(1) - 1
	return int(turn % uint64(len(scored)))
}

// drawTwo returns two random indexes below count, different if count is above 1.
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

// relativeLoad returns the load divided by the limit, or the load if there is no limit.
func relativeLoad(candidate *Candidate) float64 {
	return float64(candidate.Load()) / float64(max(candidate.Limit, 1))
}
