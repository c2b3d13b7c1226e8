package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/balance"
)

const service = "s"

var start = time.Unix(1000, 0)

func served(b *balance.Balancer, id string, elapsed time.Duration) {
	b.Begin(id)
	b.End(service, id, balance.ResultServed, elapsed, start)
}

func TestPickReturnsLeastLoaded(t *testing.T) {
	b := balance.New()
	b.Begin("a")
	b.Begin("a")
	b.Begin("b")
	if got := b.Pick(service, []string{"a", "b", "c"}, start, 0); got != 2 {
		t.Errorf("picked %d", got)
	}
	if got := b.Pick(service, []string{"a", "b"}, start, 0); got != 1 {
		t.Errorf("picked %d", got)
	}
	if got := b.Pick(service, nil, start, 0.5); got != -1 {
		t.Errorf("picked %d of none", got)
	}
}

func TestSlowReplicaIsAvoidedThenRetried(t *testing.T) {
	b := balance.New()
	for range 8 {
		served(b, "slow", 100*time.Millisecond)
		served(b, "fast", 25*time.Millisecond)
	}
	candidates := []string{"slow", "fast"}
	if got := b.Pick(service, candidates, start, 0); got != 1 {
		t.Errorf("picked %d immediately", got)
	}
	b.Begin("fast")
	if got := b.Pick(service, candidates, start.Add(20*time.Second), 0); got != 0 {
		t.Errorf("picked %d after the latency decayed", got)
	}
}

func TestFailedReplicaIsBlockedLonger(t *testing.T) {
	b := balance.New()
	candidates := []string{"bad", "good"}
	b.Begin("good")
	for failures, wait := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond} {
		b.Begin("bad")
		b.End(service, "bad", balance.ResultFailed, 0, start)
		if got := b.Pick(service, candidates, start.Add(wait-time.Millisecond), 0); got != 1 {
			t.Errorf("%d failures: picked too early", failures+1)
		}
		if got := b.Pick(service, candidates, start.Add(wait), 0); got != 0 {
			t.Errorf("%d failures: not picked again", failures+1)
		}
	}
	if got := b.Pick(service, candidates[:1], start, 0); got != 0 {
		t.Errorf("the only replica was not picked")
	}
}

func TestRetainKeepsReplicasInUse(t *testing.T) {
	b := balance.New()
	b.Begin("busy")
	served(b, "idle", time.Millisecond)
	b.Retain(func(string) bool { return false })
	if b.InFlight("busy") != 1 {
		t.Error("a replica with a request in flight was dropped")
	}
}

// A sender prefers replicas with a recent connection unless they are busy or slow.
func TestPickPrefersReplicasWithConnections(t *testing.T) {
	b := balance.New()
	served(b, "warm", 30*time.Millisecond)
	candidates := []string{"cold", "warm", "colder"}
	for _, draw := range []float64{0, 0.4, 0.9} {
		if got := b.Pick(service, candidates, start.Add(time.Second), draw); got != 1 {
			t.Errorf("draw %v: picked %d", draw, got)
		}
	}
	if got := b.Pick(service, candidates, start.Add(time.Minute), 0); got != 0 {
		t.Errorf("picked %d after a minute", got)
	}
	b.Begin("warm")
	if got := b.Pick(service, candidates, start.Add(time.Second), 0); got == 1 {
		t.Error("a busy replica was picked")
	}
	slow := balance.New()
	for range 4 {
		served(slow, "normal", 30*time.Millisecond)
	}
	served(slow, "slow", 300*time.Millisecond)
	if got := slow.Pick(service, []string{"slow", "cold"}, start.Add(100*time.Millisecond), 0); got != 1 {
		t.Error("a slow replica was picked because a connection to it is open")
	}
}

// With many senders of few requests, each sender uses few replicas, and the replicas get
// similar numbers of requests.
func TestManySendersBalanceReplicas(t *testing.T) {
	const senders, replicas, requests = 240, 15, 40
	random := rand.New(rand.NewPCG(1, 2))
	candidates := make([]string, replicas)
	for i := range candidates {
		candidates[i] = fmt.Sprint("i-", i)
	}
	loads, pairs := make([]int, replicas), 0
	for range senders {
		b, used, now := balance.New(), map[int]bool{}, start
		for range requests {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(1500*time.Millisecond)))
			chosen := b.Pick(service, candidates, now, random.Float64())
			b.Begin(candidates[chosen])
			b.End(service, candidates[chosen], balance.ResultServed, time.Duration((0.8+0.4*random.Float64())*float64(30*time.Millisecond)), now)
			used[chosen] = true
			loads[chosen]++
		}
		pairs += len(used)
	}
	if maxPairs := 4 * senders; pairs > maxPairs {
		t.Errorf("%d pairs of sender and replica, want at most %d of %d", pairs, maxPairs, senders*replicas)
	}
	mean := senders * requests / replicas
	if highest, lowest := slices.Max(loads), slices.Min(loads); highest > 2*mean || lowest < mean/2 {
		t.Errorf("%d to %d requests per replica, %d on average", lowest, highest, mean)
	}
}
