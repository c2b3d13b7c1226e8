package sitestore

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

// jobTimes records the progress of a job since this runner started it.
type jobTimes struct {
	startedAt time.Time
	step      uint64
	model     string
	// open counts the items without a result by group; complete has the completion times
	// of the complete groups.
	open     map[string]int
	complete []time.Duration
	items    int
	// unplaced counts items that never ran; firstPlaced and lastPlaced are the times of the
	// earliest and the latest first run of an item.
	unplaced                int
	firstPlaced, lastPlaced time.Duration
	runs                    int
	rejected, cutOff        int
	last                    lastItem
	// needed are the groups that the client waits for. deciding is the item that completed
	// the last of them, after neededComplete.
	needed         jobstate.NeededGroups
	deciding       lastItem
	neededComplete time.Duration
}

// lastItem is the item with the latest result.
type lastItem struct {
	id      string
	replica string
	events  int
	moves   int
	phases  phases
}

func newJobTimes(startedAt time.Time, job *jobstate.Job) *jobTimes {
	return &jobTimes{
		startedAt: startedAt, step: job.Submission.Step, model: job.Submission.Model, open: map[string]int{},
		needed: job.NeededGroups(),
	}
}

// add counts an open item.
func (t *jobTimes) add(item *itemState) {
	t.open[item.spec.Group]++
	t.items++
	t.unplaced++
}

// recordRun records the start of a run of an item.
func (t *jobTimes) recordRun(item *itemState, now time.Time) {
	t.runs++
	item.phases.recordWait(now.Sub(item.idleSince), !item.ran)
	if item.ran {
		return
	}
	item.ran = true
	t.unplaced--
	t.lastPlaced = now.Sub(t.startedAt)
	if t.runs == 1 {
		t.firstPlaced = t.lastPlaced
	}
}

// recordResult records an item's result.
func (t *jobTimes) recordResult(item *itemState, replica string, now time.Time) {
	group := item.spec.Group
	t.open[group]--
	t.rejected += item.phases.rejected
	t.cutOff += item.phases.cutOff
	t.last = lastItem{id: item.spec.ID, replica: replica, events: item.length(), moves: item.moves, phases: item.phases}
	if t.open[group] > 0 {
		return
	}
	t.complete = append(t.complete, now.Sub(t.startedAt))
	if t.needed.Complete(group) {
		t.deciding, t.neededComplete = t.last, now.Sub(t.startedAt)
	}
}

// groupCount returns the number of groups that make up a share.
func (t *jobTimes) groupCount(share float64) int { return max(1, int(share*float64(len(t.open))+0.5)) }

// groupsComplete returns the time at which a share of the groups was complete, or 0.
func (t *jobTimes) groupsComplete(share float64) time.Duration {
	count := t.groupCount(share)
	if count > len(t.complete) {
		return 0
	}
	return t.complete[count-1]
}

// logTimes logs and drops the times of a job that this runner no longer runs.
func (r *runner) logTimes(job string, ended bool, now time.Time) {
	times := r.times[job]
	if times == nil {
		return
	}
	delete(r.times, job)
	// This line is exempt from log sampling under load.
	eventlog.Important(r.store.config.Logger).Info().Str(eventlog.Field, eventlog.JobDone).Str("id", job).Str("model", times.model).Uint64("step", times.step).Bool("ended", ended).
		Int("items", times.items).Int("unplaced", times.unplaced).Int("runs", times.runs).Int("groups", len(times.open)).Int("whole", len(times.complete)).
		Dur("first_placed_ms", times.firstPlaced).Dur("last_placed_ms", times.lastPlaced).
		Dur("whole_50_ms", times.groupsComplete(0.5)).Dur("whole_90_ms", times.groupsComplete(0.9)).Dur("whole_100_ms", times.groupsComplete(1)).
		Dur("whole_desired_ms", times.neededComplete).
		Dur("took_ms", now.Sub(times.startedAt)).Str("last_item", times.last.id).Str("last_replica", times.last.replica).
		Int("last_events", times.last.events).Int("last_moves", times.last.moves).Dur("last_waited_ms", times.last.phases.waited()).
		Int("refused", times.rejected).Int("cut", times.cutOff).
		Str("deciding_item", times.deciding.id).Dur("deciding_first_wait_ms", times.deciding.phases.firstWait).
		Dur("deciding_later_waits_ms", times.deciding.phases.laterWaits).Dur("deciding_ran_ms", times.deciding.phases.ran).
		Dur("deciding_unused_ms", times.deciding.phases.unused).Dur("deciding_scored_ms", times.deciding.phases.scored).
		Msg("the runner is done with a job")
}
