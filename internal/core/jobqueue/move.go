package jobqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveCost is the expected time lost by a move: the new replica processes the prompt and
	// the text again, after the requests queued there.
	moveCost = 100 * time.Millisecond
	// minSaving is the time that a move has to save in addition to its cost, because paces are
	// estimates.
	minSaving = 150 * time.Millisecond
	// minSlowdown is the ratio of the current pace to the target's above which a run may move.
	minSlowdown = 1.15
)

// Run is an item running on a replica.
type Run struct {
	Item    Item
	Replica string
	// Pace is the recent time between its events.
	Pace time.Duration
	// RemainingEvents is the expected number of remaining events.
	RemainingEvents float64
}

// Moves selects the runs to move to a faster replica with a free slot, largest saving first. It
// updates Free and Running of the given replicas.
func Moves(runs []Run, replicas []Replica) []Placement {
	fastest := fastestFree(replicas)
	candidates := slices.DeleteFunc(slices.Clone(runs), func(run Run) bool { return !worthMoving(run, fastest) })
	slices.SortStableFunc(candidates, func(a, b Run) int { return -cmp.Compare(saving(a, fastest), saving(b, fastest)) })
	var moves []Placement
	for _, run := range candidates {
		chosen := choose(replicas, run.Item)
		if chosen < 0 || replicas[chosen].ID == run.Replica || !worthMoving(run, replicas[chosen].Pace) {
			continue
		}
		replicas[chosen].Free--
		replicas[chosen].Running++
		moves = append(moves, Placement{Item: run.Item, Replica: replicas[chosen].ID})
	}
	return moves
}

// fastestFree returns the lowest pace of the replicas with a free slot, or the maximum duration
// if there are none.
func fastestFree(replicas []Replica) time.Duration {
	fastest := time.Duration(1<<63 - 1)
	for i := range replicas {
		if replicas[i].Free > 0 {
			fastest = min(fastest, replicas[i].Pace)
		}
	}
	return fastest
}

// saving returns the time saved by moving a run to a replica with the given pace.
func saving(run Run, pace time.Duration) time.Duration {
	return time.Duration(run.RemainingEvents*float64(run.Pace-pace)) - moveCost
}

func worthMoving(run Run, pace time.Duration) bool {
	return float64(run.Pace) >= minSlowdown*float64(pace) && saving(run, pace) >= minSaving
}
