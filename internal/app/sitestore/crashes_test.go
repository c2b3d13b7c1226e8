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

// placeable reports whether an item that is queued now runs now on a replica with a free slot.
func placeable(r *runner, item *itemState, now time.Time) bool {
	r.queue = jobqueue.Queue{}
	r.enqueue(item, time.Time{})
	version := func(string) uint64 { return 0 }
	return len(r.queue.Place([]jobqueue.Replica{{ID: "healthy", Free: 1, Version: version}}, now)) == 1
}

// TestCrashPauses guards against a sound item that is held back for long, or for good, after a
// burst of crashes, also by a runner that has only the count of crashes from the log. Times are in
// seconds.
func TestCrashPauses(t *testing.T) {
	at := func(second float64) time.Time { return testTime.Add(time.Duration(second * float64(time.Second))) }
	type check struct {
		second float64
		runs   bool
	}
	for name, row := range map[string]struct {
		earlier   int
		crashes   []float64 // each of another replica
		responses map[string]float64
		checks    []check
	}{
		"two crashes":                           {crashes: []float64{1, 2}, checks: []check{{2, true}}},
		"three crashes":                         {crashes: []float64{1, 2, 3}, checks: []check{{3, false}, {3.24, false}, {3.25, true}, {3.3, true}}},
		"four crashes":                          {crashes: []float64{1, 2, 3, 4}, checks: []check{{4.49, false}, {4.5, true}}},
		"five crashes at once":                  {crashes: []float64{1, 1, 1, 1, 1}, checks: []check{{1.99, false}, {2, true}}},
		"ten crashes":                           {crashes: []float64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, checks: []check{{10.99, false}, {11, true}}},
		"response after a presumed crash":       {crashes: []float64{1, 2, 3}, responses: map[string]float64{"r0": 2.5}, checks: []check{{3, true}}},
		"response before the crash":             {crashes: []float64{1, 2, 3}, responses: map[string]float64{"r0": 0.5}, checks: []check{{3, false}}},
		"crashes in an earlier leadership":      {earlier: 2, crashes: []float64{1}, checks: []check{{1, false}, {1.25, true}}},
		"only crashes in an earlier leadership": {earlier: 10, checks: []check{{0, true}}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRunner()
			item := &itemState{key: jobqueue.Key{Job: "j"}, earlierCrashes: row.earlier}
			r.items[item.key] = item
			respond := func(until float64) {
				for replica, second := range row.responses {
					if second <= until {
						other := &itemState{key: jobqueue.Key{Job: "j", Item: 1}, placedAt: at(second)}
						r.recordReplica(runEvent{item: other, replica: replica, kind: runComplete, responded: true}, at(second))
					}
				}
			}
			for i, second := range row.crashes {
				respond(second)
				crashReplica(r, item, fmt.Sprint("r", i), at(second))
			}
			for _, step := range row.checks {
				if got := placeable(r, item, at(step.second)); got != step.runs {
					t.Errorf("second %v: runs %v after %d crashes", step.second, got, r.crashCount(item))
				}
			}
		})
	}
}

// TestItemRunsAgainAfterAnyNumberOfCrashes guards against an item that is given up after a number
// of crashes while there is a replica for it, and against one that takes a replica down with each
// of many runs a second. A rejected run counts as no crash.
func TestItemRunsAgainAfterAnyNumberOfCrashes(t *testing.T) {
	const step, steps = 50 * time.Millisecond, 2400 // two minutes
	for name, earlier := range map[string]int{"first leader": 0, "after another leader": 5} {
		t.Run(name, func(t *testing.T) {
			r := newTestRunner()
			item := &itemState{key: jobqueue.Key{Job: "j"}, earlierCrashes: earlier}
			r.items[item.key] = item
			runs, lastRun := 0, testTime
			for i := range steps {
				now := testTime.Add(time.Duration(i) * step)
				if !placeable(r, item, now) {
					if waited := now.Sub(lastRun); waited > maxCrashPause {
						t.Fatalf("waits for %v after %d runs", waited, runs)
					}
					continue
				}
				runs++
				lastRun = now
				if runs == 1 {
					item.placedAt = now
					r.recordReplica(runEvent{item: item, replica: "full", kind: runRejected, responded: true}, now)
					continue
				}
				crashReplica(r, item, fmt.Sprint("r", runs), now)
			}
			const atLeast, atMost = 120, 126
			if runs < atLeast || runs > atMost || r.crashCount(item) != runs-1+earlier {
				t.Errorf("%d runs, %d crashes", runs, r.crashCount(item))
			}
			if record, dirty := item.takeRecord(); !dirty || record.Crashes != runs-1 {
				t.Errorf("%d crashes recorded", record.Crashes)
			}
		})
	}
}

// TestCrashesOfOneReplicaNamePauseTheItem guards against an item that crashes a replica again and
// again that restarts under its name.
func TestCrashesOfOneReplicaNamePauseTheItem(t *testing.T) {
	r := newTestRunner()
	item := &itemState{key: jobqueue.Key{Job: "j"}, earlierCrashes: 2}
	for second := range 10 {
		now := testTime.Add(time.Duration(second) * time.Second)
		crashReplica(r, item, "r", now)
		if placeable(r, item, now) || !placeable(r, item, now.Add(minCrashPause)) {
			t.Fatalf("crash %d: paused until %v", second, item.pausedUntil.Sub(now))
		}
	}
}
