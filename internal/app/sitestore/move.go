package sitestore

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

const (
	// minRunTime is the minimum time before an item that has not stalled is moved.
	minRunTime = 500 * time.Millisecond
	// maxScanGap is the maximum time between two scans; after a longer gap this process was
	// not scheduled and cannot detect stalled runs.
	maxScanGap = 3 * runnerInterval
	// relaxedShare is the expected length of an item, relative to the longest of its job, up
	// to which any replica is fast enough. Expected lengths are imprecise.
	relaxedShare = 0.4
	// maxMoves limits how often an item is moved.
	maxMoves = 6
	// delayedSlowdown is the median slowdown of all runs above which this process, not the
	// replicas, is considered slow.
	delayedSlowdown = 1.3
	// minDelayedRuns is the minimum number of runs for this decision.
	minDelayedRuns = 8
)

// moveFromSlow moves items from slow or stalled replicas to faster ones with free slots. An
// item resumes there after its last event. A job's client waits for its last item, while
// reading a prompt again takes milliseconds. since is the time since the last scan.
func (r *runner) moveFromSlow(view *siteview.View, now time.Time, since time.Duration) {
	runs, slowdowns := r.measureRuns(now)
	if since > maxScanGap || processDelayed(slowdowns) || len(runs) == 0 {
		return
	}
	for _, move := range jobqueue.Moves(runs, r.replicas.candidates(view, r.table, now)) {
		r.move(r.items[move.Item.Key], move.Replica)
	}
}

// processDelayed reports whether this process, not the replicas, is slow: if most runs are slow
// at the same time, it lacks processor time, and moves would add to its load.
func processDelayed(slowdowns []float64) bool {
	if len(slowdowns) < minDelayedRuns {
		return false
	}
	slices.Sort(slowdowns)
	return slowdowns[len(slowdowns)/2] > delayedSlowdown
}

// measureRuns updates the replicas' paces from all runs. It returns the runs that may be moved,
// and the slowdown of each run relative to its replica's baseline.
func (r *runner) measureRuns(now time.Time) (runs []jobqueue.Run, slowdowns []float64) {
	paces := map[string][]time.Duration{}
	for _, item := range r.items {
		if item.replica == "" || item.scoring {
			continue
		}
		pace, stalled := item.progress.currentPace(now.Sub(r.base), r.replicas.pace.baseline)
		if pace == 0 {
			continue
		}
		paces[item.replica] = append(paces[item.replica], pace)
		if baseline := r.replicas.entry(item.replica).pace.baseline; baseline > 0 {
			slowdowns = append(slowdowns, float64(pace)/float64(baseline))
		}
		if item.reserved != "" || item.moves >= maxMoves || (!stalled && now.Sub(item.placedAt) < minRunTime) {
			continue
		}
		item.stalled = stalled
		_, service := r.route(item)
		queued := r.queueItem(item, service)
		queued.Relaxed = false
		runs = append(runs, jobqueue.Run{Item: queued, Replica: item.replica, Pace: pace, RemainingEvents: r.lengths.remaining(item)})
	}
	for replica, measured := range paces {
		r.replicas.recordRunning(replica, measured, now)
	}
	return runs, slowdowns
}

// move requests the end of an item's run and reserves a slot on another replica. A stalled
// run is aborted.
func (r *runner) move(item *itemState, replica string) {
	item.moves++
	item.reserved = replica
	r.replicas.reserve(replica)
	item.move.Store(true)
	if item.stalled {
		item.interrupt()
	}
}

// queueItem returns the queue's description of an item.
func (r *runner) queueItem(item *itemState, service string) jobqueue.Item {
	rank := item.rank
	rank.Deferred = r.exceedsMemory(item, service)
	return jobqueue.Item{
		AllowedRegions: r.allowedRegions(item),
		Key:            item.key, Service: service, Model: item.model, MinVersion: item.minVersion, ExactVersion: item.exactVersion(),
		Group: item.spec.Group, Rank: rank, Avoid: item.avoid,
		Relaxed: float64(item.spec.ExpectedLength()) < relaxedShare*float64(item.longest),
	}
}
