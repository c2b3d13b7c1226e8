package sitestore

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
)

// jobTimes notes when what of a job was done, from the moment at which this runner
// took it over.
type jobTimes struct {
	taken time.Time
	step  uint64
	// open counts the items without a result by group, whole when groups had all.
	open  map[string]int
	whole []time.Duration
	items int
	// unplaced counts items that never ran; firstPlaced and lastPlaced are when the
	// first and the last one did.
	unplaced                int
	firstPlaced, lastPlaced time.Duration
	runs                    int
	refused, cut            int
	last                    lastItem
	// deciding is the item that made mostGroups whole: the client waited for it.
	deciding lastItem
}

// mostGroups is the share of the groups of a job after which its client likely waits for no
// more.
const mostGroups = 0.9

// lastItem is the item that had its result last.
type lastItem struct {
	id      string
	replica string
	events  int
	moves   int
	phases  phases
}

func newJobTimes(taken time.Time, step uint64) *jobTimes {
	return &jobTimes{taken: taken, step: step, open: map[string]int{}}
}

// add counts an item that is to be done.
func (t *jobTimes) add(item *work) {
	t.open[item.item.Group]++
	t.items++
	t.unplaced++
}

// placed notes a run of an item.
func (t *jobTimes) placed(item *work, now time.Time) {
	t.runs++
	item.phases.placed(now.Sub(item.idleSince), !item.ran)
	if item.ran {
		return
	}
	item.ran = true
	t.unplaced--
	t.lastPlaced = now.Sub(t.taken)
	if t.runs == 1 {
		t.firstPlaced = t.lastPlaced
	}
}

// done notes an item's result.
func (t *jobTimes) done(item *work, replica string, now time.Time) {
	group := item.item.Group
	t.open[group]--
	t.refused += item.phases.refused
	t.cut += item.phases.cut
	t.last = lastItem{id: item.item.ID, replica: replica, events: item.length(), moves: item.moves, phases: item.phases}
	if t.open[group] > 0 {
		return
	}
	t.whole = append(t.whole, now.Sub(t.taken))
	if len(t.whole) == t.groupCount(mostGroups) {
		t.deciding = t.last
	}
}

// groupCount is a share of the groups.
func (t *jobTimes) groupCount(share float64) int { return max(1, int(share*float64(len(t.open))+0.5)) }

// groupsWhole gives when a share of the groups was whole, 0 if it was not.
func (t *jobTimes) groupsWhole(share float64) time.Duration {
	count := t.groupCount(share)
	if count > len(t.whole) {
		return 0
	}
	return t.whole[count-1]
}

// logTimes writes the line of a job that this runner has done with.
func (r *runner) logTimes(job string, ended bool, now time.Time) {
	times := r.times[job]
	if times == nil {
		return
	}
	delete(r.times, job)
	// The line of a job is not among those left out under load.
	eventlog.Important(r.store.config.Logger).Info().Str(eventlog.Field, eventlog.JobDone).Str("id", job).Uint64("step", times.step).Bool("ended", ended).
		Int("items", times.items).Int("unplaced", times.unplaced).Int("runs", times.runs).Int("groups", len(times.open)).Int("whole", len(times.whole)).
		Dur("first_placed_ms", times.firstPlaced).Dur("last_placed_ms", times.lastPlaced).
		Dur("whole_50_ms", times.groupsWhole(0.5)).Dur("whole_90_ms", times.groupsWhole(mostGroups)).Dur("whole_100_ms", times.groupsWhole(1)).
		Dur("took_ms", now.Sub(times.taken)).Str("last_item", times.last.id).Str("last_replica", times.last.replica).
		Int("last_events", times.last.events).Int("last_moves", times.last.moves).Dur("last_waited_ms", times.last.phases.waited()).
		Int("refused", times.refused).Int("cut", times.cut).
		Str("deciding_item", times.deciding.id).Dur("deciding_first_wait_ms", times.deciding.phases.first).
		Dur("deciding_later_waits_ms", times.deciding.phases.again).Dur("deciding_ran_ms", times.deciding.phases.ran).
		Dur("deciding_unused_ms", times.deciding.phases.unused).Dur("deciding_scored_ms", times.deciding.phases.scored).
		Msg("the runner has done with a job")
}
