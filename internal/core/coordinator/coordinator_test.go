package coordinator_test

import (
	"testing"
	"time"
)

func TestBatchesFollowEachOther(t *testing.T) {
	w := newWorld(t, smallSampling(), "")
	for range 20 {
		w.train()
		w.publish()
	}
	if status := w.current.Status(); status.Committed != 20 {
		t.Fatalf("committed %d", status.Committed)
	}
}

// TestSamplesWaitForTheWeightsThatTheyNeed publishes faster than the rollout
// brings the weights onto the replicas. A sample that no replica may serve is not
// started: its refusal would make it wait for a backoff. Once the weights are
// there all start at once.
func TestSamplesWaitForTheWeightsThatTheyNeed(t *testing.T) {
	cases := []struct {
		name    string
		serving func(w *world)
		starts  bool
	}{
		{"replicas serve the oldest allowed version", func(w *world) { w.serving = w.published - 1 }, true},
		{"replicas serve an older version", func(w *world) { w.serving = w.published - 2 }, false},
		{"replicas serve no known version", func(w *world) { w.serving = 0 }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, smallSampling(), "")
			w.published = 5
			w.rolloutStopped = true
			test.serving(w)
			w.takeOver()
			w.answerFetch(false)
			w.tick(time.Second)
			if starts := len(w.attempts) > 0; starts != test.starts {
				t.Fatalf("%d attempts", len(w.attempts))
			}
			w.rolloutStopped = false
			w.tick(time.Millisecond)
			if len(w.attempts) == 0 || w.current.Status().Counters.Retried != 0 {
				t.Fatalf("%d attempts, counters %+v", len(w.attempts), w.current.Status().Counters)
			}
		})
	}
}
