package jobqueue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// moveCost is about what an item loses when it goes on elsewhere: its prompt
	// and its text are read again, behind what waits there.
	moveCost = 100 * time.Millisecond
	// leastGain is what a move has to bring beyond its cost, as a pace is only
	// expected.
	leastGain = 150 * time.Millisecond
	// leastRatio is by how much slower a run has to be than where it would go on.
	leastRatio = 1.15
)

// Run is an item that runs at a replica.
type Run struct {
	Item    Item
	Replica string
	// Pace is the time between its events of late.
	Pace time.Duration
	// Left is how many events are expected to follow.
	Left float64
}

// Moves picks the runs that are to go on at a faster replica that has room, those
// that gain most first. It counts what it places against the replicas given.
func Moves(runs []Run, replicas []Replica) []Placement {
	fastest := fastestWithRoom(replicas)
	worthIt := slices.DeleteFunc(slices.Clone(runs), func(run Run) bool { return !gains(run, fastest) })
	slices.SortStableFunc(worthIt, func(a, b Run) int { return -cmp.Compare(gain(a, fastest), gain(b, fastest)) })
	var moves []Placement
	for _, run := range worthIt {
		chosen := choose(replicas, run.Item)
		if chosen < 0 || replicas[chosen].ID == run.Replica || !gains(run, replicas[chosen].Pace) {
			continue
		}
		replicas[chosen].Free--
		replicas[chosen].Running++
		moves = append(moves, Placement{Item: run.Item, Replica: replicas[chosen].ID})
	}
	return moves
}

// fastestWithRoom gives the least pace of the replicas with room, or the longest
// time if there are none.
func fastestWithRoom(replicas []Replica) time.Duration {
	fastest := time.Duration(1<<63 - 1)
	for i := range replicas {
		if replicas[i].Free > 0 {
			fastest = min(fastest, replicas[i].Pace)
		}
	}
	return fastest
}

// gain gives the time that a run saves by going on at another pace.
func gain(run Run, pace time.Duration) time.Duration {
	return time.Duration(run.Left*float64(run.Pace-pace)) - moveCost
}

func gains(run Run, pace time.Duration) bool {
	return float64(run.Pace) >= leastRatio*float64(pace) && gain(run, pace) >= leastGain
}
