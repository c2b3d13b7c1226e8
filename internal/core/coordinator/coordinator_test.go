package coordinator_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

func TestConsecutiveBatches(t *testing.T) {
	w := newHarness(t, smallSampling(), "")
	for range 20 {
		w.train()
		w.publish()
	}
	if status := w.current.Status(); status.Committed != 20 {
		t.Fatalf("committed %d", status.Committed)
	}
}

// TestSamplesWaitForRequiredWeights publishes faster than the replicas load
// weights. A sample must not start before a replica serves its minimum version, since
// a refusal would delay it by a backoff.
func TestSamplesWaitForRequiredWeights(t *testing.T) {
	cases := []struct {
		name    string
		serving func(w *harness)
		starts  bool
	}{
		{"replicas serve the oldest allowed version", func(w *harness) { w.serving = w.published - 1 }, true},
		{"replicas serve an older version", func(w *harness) { w.serving = w.published - 2 }, false},
		{"replicas serve no known version", func(w *harness) { w.serving = 0 }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := newHarness(t, smallSampling(), "")
			w.published = 5
			w.rolloutStopped = true
			test.serving(w)
			w.replaceCoordinator()
			w.answerFetch(false)
			w.tick(time.Second)
			if starts := len(w.attempts) > 0; starts != test.starts {
				t.Fatalf("%d attempts started", len(w.attempts))
			}
			w.rolloutStopped = false
			w.tick(time.Millisecond)
			if len(w.attempts) == 0 || w.current.Status().Counters.Retried != 0 {
				t.Fatalf("%d attempts, counters %+v", len(w.attempts), w.current.Status().Counters)
			}
		})
	}
}

// TestReplacementStartsImmediately checks that the replacements of stale samples start in
// the same step, not at the next tick.
func TestReplacementStartsImmediately(t *testing.T) {
	w := newHarness(t, smallSampling(), "")
	w.answerFetch(false)
	w.tick(time.Second)
	run := w.attempts[0]
	w.progress(run, 1)
	w.published += 3
	w.serving = w.published
	w.step(w.current, coordinator.CapacityChanged{Replicas: []policy.Replica{
		{ID: "replica-1", Zone: "zone-a", Version: w.published, Limit: 64},
	}})
	before := w.current.Status().Counters
	w.step(w.current, coordinator.WeightsPublished{Weights: port.PublishedWeights{Pool: poolName, Version: w.published}})
	after := w.current.Status().Counters
	if after.DroppedStale == before.DroppedStale || after.Started == before.Started {
		t.Fatalf("before %+v, after %+v", before, after)
	}
}

// TestBatchRequestRunsPolicyBetweenTicks checks that a batch request runs the policy
// program before the next tick.
func TestBatchRequestRunsPolicyBetweenTicks(t *testing.T) {
	source := "def plan(pool):\n  return struct(target_in_flight = 7 if pool.trainer_waiting else 3)"
	w := newHarness(t, smallSampling(), source)
	w.tick(time.Second)
	if target := w.current.Status().Plan.TargetInFlight; target != 3 {
		t.Fatalf("target %d before the trainer request", target)
	}
	w.now = w.now.Add(time.Second / 10)
	w.requestBatch(1, w.trainer, time.Hour)
	if target := w.current.Status().Plan.TargetInFlight; target != 7 {
		t.Fatalf("target %d while the trainer waits", target)
	}
}

// TestStaleReplacementWaitsForNewWeights checks that a replacement waits for
// the new weights although the plan allows the old ones that replicas still serve.
func TestStaleReplacementWaitsForNewWeights(t *testing.T) {
	source := "def plan(pool):\n  return struct(target_in_flight = 16)"
	w := newHarness(t, smallSampling(), source)
	w.answerFetch(false)
	w.tick(time.Second)
	run := w.attempts[0]
	w.progress(run, 1)
	w.published += 3
	w.serving = w.published - 1
	serve := func() {
		w.step(w.current, coordinator.CapacityChanged{Replicas: []policy.Replica{
			{ID: "replica-1", Zone: "zone-a", Version: w.serving, Limit: 64},
		}})
	}
	serve()
	w.step(w.current, coordinator.WeightsPublished{Weights: port.PublishedWeights{Pool: poolName, Version: w.published}})
	before := w.current.Status().Counters
	if before.DroppedStale == 0 {
		t.Fatalf("no sample was dropped: %+v", before)
	}
	started := len(w.attempts)
	w.serving = w.published
	serve()
	w.tick(time.Second)
	newest := 0
	for _, attempt := range w.attempts[started:] {
		if attempt.start.MinVersion == w.published {
			newest++
		}
	}
	if newest == 0 {
		t.Errorf("no replacement waited for version %d: %d attempts before it was served, %d after", w.published, started, len(w.attempts)-started)
	}
}
