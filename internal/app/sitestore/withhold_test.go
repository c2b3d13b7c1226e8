package sitestore

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

func newTestRunner() *runner {
	logger := &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
	r := &runner{store: &Store{config: Config{Logger: logger, Recorder: noRecorder{}}}}
	r.leadership = newLeadership(context.Background(), 1, 1)
	return r
}

// crashReplica ends a run of the item with a crash of its replica.
func crashReplica(r *runner, item *itemState, replica string, now time.Time) {
	item.placedAt = now
	r.recordReplica(runEvent{item: item, replica: replica, kind: runBroken, crashed: true}, now)
}

// TestWithheldItems simulates crashes of replicas during one item, with times in seconds.
func TestWithheldItems(t *testing.T) {
	at := func(second float64) time.Time { return testTime.Add(time.Duration(second * float64(time.Second))) }
	type check struct {
		second   float64
		withheld bool
	}
	for name, row := range map[string]struct {
		earlier   int
		crashes   []float64 // each of another replica
		responses map[string]float64
		checks    []check
	}{
		"two crashes":                           {crashes: []float64{1, 2}, checks: []check{{3, false}}},
		"three crashes, then a trial":           {crashes: []float64{1, 2, 3}, checks: []check{{3, true}, {5.9, true}, {6.1, false}, {6.2, false}}},
		"response after a presumed crash":       {crashes: []float64{1, 2, 3}, responses: map[string]float64{"r1": 4}, checks: []check{{3, true}, {4.1, false}}},
		"response before the crash":             {crashes: []float64{1, 2, 3}, responses: map[string]float64{"r1": 1.5}, checks: []check{{4, true}}},
		"crashes in an earlier leadership":      {earlier: 2, crashes: []float64{1}, checks: []check{{1, true}}},
		"only crashes in an earlier leadership": {earlier: 3, checks: []check{{0, true}, {3.1, false}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRunner()
			item := &itemState{key: jobqueue.Key{Job: "j"}, earlierCrashes: row.earlier}
			r.items[item.key] = item
			for i, second := range row.crashes {
				crashReplica(r, item, fmt.Sprint("r", i), at(second))
			}
			for _, step := range row.checks {
				for replica, second := range row.responses {
					if step.second > second && second > 3 || second < 3 {
						other := &itemState{key: jobqueue.Key{Job: "j", Item: 1}, placedAt: at(second)}
						r.recordReplica(runEvent{item: other, replica: replica, kind: runComplete, responded: true}, at(second))
					}
				}
				if got := r.withhold(item, at(step.second)); got != step.withheld {
					t.Errorf("second %v: withheld %v, %d crashes", step.second, got, r.crashCount(item))
				}
			}
		})
	}
}

// After each trial that crashes a replica the wait is longer; after the last there is none. A
// rejected trial does not count.
func TestItemTrials(t *testing.T) {
	r := newTestRunner()
	item := &itemState{key: jobqueue.Key{Job: "j"}, earlierCrashes: 3}
	r.items[item.key] = item
	runs := 0
	for step := range 1200 { // two minutes
		now := testTime.Add(time.Duration(step) * 100 * time.Millisecond)
		if r.withhold(item, now) {
			continue
		}
		if runs++; runs == 1 {
			item.placedAt = now
			r.recordReplica(runEvent{item: item, replica: "full", kind: runRejected, responded: true}, now)
			continue
		}
		crashReplica(r, item, fmt.Sprint("r", runs), now)
	}
	if runs != 3 || r.crashCount(item) != 5 {
		t.Errorf("%d runs, %d crashes", runs, r.crashCount(item))
	}
	if record, dirty := item.takeRecord(); !dirty || record.Crashes != 2 {
		t.Errorf("%d crashes recorded", record.Crashes)
	}
}
