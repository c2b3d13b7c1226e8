package balance_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/balance"
)

const service = "s"

var start = time.Unix(1000, 0)

func served(b *balance.Balancer, id string, took time.Duration) {
	b.Begin(id)
	b.End(service, id, balance.ResultServed, took, start)
}

func TestPickTakesTheLeastLoaded(t *testing.T) {
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

func TestSlowReplicaIsLeftOutAndTriedAgain(t *testing.T) {
	b := balance.New()
	for range 8 {
		served(b, "slow", 100*time.Millisecond)
		served(b, "fast", 25*time.Millisecond)
	}
	candidates := []string{"slow", "fast"}
	if got := b.Pick(service, candidates, start, 0); got != 1 {
		t.Errorf("picked %d at once", got)
	}
	b.Begin("fast")
	if got := b.Pick(service, candidates, start.Add(20*time.Second), 0); got != 0 {
		t.Errorf("picked %d after the latency faded", got)
	}
}

func TestFailedReplicaIsLeftOutForLonger(t *testing.T) {
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

func TestForgetKeepsReplicasInUse(t *testing.T) {
	b := balance.New()
	b.Begin("busy")
	served(b, "idle", time.Millisecond)
	b.Forget(func(string) bool { return false })
	if b.InFlight("busy") != 1 {
		t.Error("a request in flight was forgotten")
	}
}
