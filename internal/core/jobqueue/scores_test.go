package jobqueue_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

// scoreLoad is the load of a service that lost most of its replicas: the reward calls of three
// trainers and the requests of callers.
var scoreLoad = struct {
	slots                     int
	batch                     int           // reward calls of a step's items
	every                     time.Duration // between two steps of all trainers
	spread                    time.Duration // in which the texts of a step are completed
	call, caller              time.Duration // duration of a reward call and of a caller's request
	callers                   time.Duration // between two caller requests
	target, maxWait, duration time.Duration
}{
	slots: 6, batch: 71, every: 4 * time.Second / 3, spread: 3 * time.Second, call: 80 * time.Millisecond, caller: 25 * time.Millisecond,
	callers: 165 * time.Millisecond, target: 150 * time.Millisecond, maxWait: 2 * time.Second, duration: 60 * time.Second,
}

// arrival is a reward call or a caller's request.
type arrival struct {
	at     time.Duration
	caller bool
}

// drawArrivals draws the load.
func drawArrivals(random *rand.Rand) (arrivals []arrival) {
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

// simulateRewardCalls simulates the load on a service that processes requests in order of
// arrival, with a limit on concurrent reward calls. It returns the longest wait of a reward call
// for the limit and the longest response time of a caller's request.
func simulateRewardCalls(limit int, arrivals []arrival) (queued, callers time.Duration) {
	var delayed, queue []arrival
	var busy []activeRequest
	for now := time.Duration(0); len(arrivals) > 0 || len(delayed) > 0 || len(queue) > 0 || len(busy) > 0; now += time.Millisecond {
		busy = slices.DeleteFunc(busy, func(running activeRequest) bool { return running.ends <= now })
		for len(arrivals) > 0 && arrivals[0].at <= now {
			if arrivals[0].caller {
				queue = append(queue, arrivals[0])
			} else {
				delayed = append(delayed, arrivals[0])
			}
			arrivals = arrivals[1:]
		}
		for len(delayed) > 0 && countRewardCalls(queue, busy) < limit {
			queued = max(queued, now-delayed[0].at)
			queue, delayed = append(queue, delayed[0]), delayed[1:]
		}
		for len(queue) > 0 && len(busy) < scoreLoad.slots {
			running := activeRequest{ends: now + scoreLoad.call, caller: queue[0].caller}
			if running.caller {
				running.ends = now + scoreLoad.caller
				callers = max(callers, running.ends-queue[0].at)
			}
			busy, queue = append(busy, running), queue[1:]
		}
	}
	return queued, callers
}

// activeRequest occupies one slot of the service.
type activeRequest struct {
	ends   time.Duration
	caller bool
}

// countRewardCalls counts the reward calls queued or running at the service.
func countRewardCalls(queue []arrival, busy []activeRequest) (count int) {
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

// TestRewardCallLimitOfDegradedService checks that at 70% utilization neither reward calls nor
// callers queue up. With three quarters of the slots the reward calls wait for seconds; with all
// slots the callers wait.
func TestRewardCallLimitOfDegradedService(t *testing.T) {
	for seed := range uint64(8) {
		arrivals := drawArrivals(rand.New(rand.NewPCG(seed, 33)))
		queued, callers := simulateRewardCalls(jobqueue.MaxRewardCalls(scoreLoad.slots, 1), arrivals)
		if queued > scoreLoad.maxWait || callers > scoreLoad.caller {
			t.Errorf("seed %d: reward calls wait for up to %v, callers for %v", seed, queued, callers)
		}
		if before, _ := simulateRewardCalls(scoreLoad.slots*3/4, arrivals); before < scoreLoad.maxWait {
			t.Errorf("seed %d: with three quarters of the slots reward calls wait for only %v: the load is too low", seed, before)
		}
		if _, crowded := simulateRewardCalls(scoreLoad.slots, arrivals); crowded <= scoreLoad.caller || crowded > scoreLoad.target {
			t.Errorf("seed %d: with all slots callers wait for up to %v", seed, crowded)
		}
	}
}

func TestMaxRewardCalls(t *testing.T) {
	for _, row := range []struct{ slots, shards, want int }{{0, 1, 2}, {1, 1, 2}, {6, 1, 5}, {18, 0, 17}, {19, 3, 6}, {4, 4, 2}} {
		if got := jobqueue.MaxRewardCalls(row.slots, row.shards); got != row.want {
			t.Errorf("%+v: %d", row, got)
		}
	}
}
