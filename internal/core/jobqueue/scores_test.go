package jobqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

// scoreLoad is what remained of a service after a release and planned removals: one replica of
// six places, the reward calls of three trainers, and callers beside them.
var scoreLoad = struct {
	places                  int
	batch                   int           // reward calls of a step's items
	every                   time.Duration // between two steps, of all trainers together
	spread                  time.Duration // in which a step's texts come to be whole
	call, caller            time.Duration // work of a reward call and of a caller's request
	callers                 time.Duration // between two requests of callers
	aim, mostWait, duration time.Duration
}{
	places: 6, batch: 71, every: 4 * time.Second / 3, spread: 3 * time.Second, call: 80 * time.Millisecond, caller: 25 * time.Millisecond,
	callers: 165 * time.Millisecond, aim: 150 * time.Millisecond, mostWait: 2 * time.Second, duration: 60 * time.Second,
}

// arrival is a reward call or a caller's request that comes to the gate.
type arrival struct {
	at     time.Duration
	caller bool
}

// scoreArrivals draws the load.
func scoreArrivals(random *rand.Rand) (arrivals []arrival) {
	for step := time.Duration(0); step < scoreLoad.duration; step += scoreLoad.every {
		for range scoreLoad.batch {
			arrivals = append(arrivals, arrival{at: step + time.Duration(random.Float64()*float64(scoreLoad.spread))})
		}
	}
	for at := time.Duration(0); at < scoreLoad.duration; at += scoreLoad.callers {
		arrivals = append(arrivals, arrival{at: at, caller: true})
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return arrivals
}

// playScores sends the load through a gate of so many calls at once to a service that takes in
// what comes in order, by the millisecond. It gives the longest wait of a reward call at the
// gate, and of a caller's request until its answer.
func playScores(atOnce int, arrivals []arrival) (atGate, callers time.Duration) {
	var gate, queue []arrival
	var busy []work
	for now := time.Duration(0); len(arrivals) > 0 || len(gate) > 0 || len(queue) > 0 || len(busy) > 0; now += time.Millisecond {
		busy = slices.DeleteFunc(busy, func(running work) bool { return running.ends <= now })
		for len(arrivals) > 0 && arrivals[0].at <= now {
			if arrivals[0].caller {
				queue = append(queue, arrivals[0])
			} else {
				gate = append(gate, arrivals[0])
			}
			arrivals = arrivals[1:]
		}
		for len(gate) > 0 && scores(queue, busy) < atOnce {
			atGate = max(atGate, now-gate[0].at)
			queue, gate = append(queue, gate[0]), gate[1:]
		}
		for len(queue) > 0 && len(busy) < scoreLoad.places {
			running := work{ends: now + scoreLoad.call, caller: queue[0].caller}
			if running.caller {
				running.ends = now + scoreLoad.caller
				callers = max(callers, running.ends-queue[0].at)
			}
			busy, queue = append(busy, running), queue[1:]
		}
	}
	return atGate, callers
}

// work takes one place of the service.
type work struct {
	ends   time.Duration
	caller bool
}

// scores counts the reward calls at the service.
func scores(queue []arrival, busy []work) (count int) {
	for _, waiting := range queue {
		if !waiting.caller {
			count++
		}
	}
	for _, running := range busy {
		if !running.caller {
			count++
		}
	}
	return count
}

// TestRewardCallsOfAServiceThatShrank: the service is busy for seven tenths of its time, so that
// neither reward calls pile up at the gate nor callers wait. With three quarters of the places the
// calls of the last step wait for seconds; with all of them callers do wait.
func TestRewardCallsOfAServiceThatShrank(t *testing.T) {
	for seed := range uint64(8) {
		arrivals := scoreArrivals(rand.New(rand.NewPCG(seed, 33)))
		atGate, callers := playScores(jobqueue.ScoresAtOnce(scoreLoad.places, 1), arrivals)
		if atGate > scoreLoad.mostWait || callers > scoreLoad.caller {
			t.Errorf("seed %d: reward calls wait for up to %v, callers for %v", seed, atGate, callers)
		}
		if before, _ := playScores(scoreLoad.places*3/4, arrivals); before < scoreLoad.mostWait {
			t.Errorf("seed %d: with three quarters of the places calls wait for %v only: the load shows nothing", seed, before)
		}
		if _, crowded := playScores(scoreLoad.places, arrivals); crowded <= scoreLoad.caller || crowded > scoreLoad.aim {
			t.Errorf("seed %d: with all places callers wait for up to %v", seed, crowded)
		}
	}
}

func TestScoresAreSharedByShards(t *testing.T) {
	for _, row := range []struct{ places, shards, want int }{{0, 1, 2}, {1, 1, 2}, {6, 1, 5}, {18, 0, 17}, {19, 3, 6}, {4, 4, 2}} {
		if got := jobqueue.ScoresAtOnce(row.places, row.shards); got != row.want {
			t.Errorf("%+v: %d", row, got)
		}
	}
}
