package sitestore

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
)

// trialAfter is how long an item that is withheld waits before each trial. An item that
// only ran beside the cause must not be late by much more than the 5 s for which a job's
// clients let an item rest; a replica that ended is back after about 2 s.
var trialAfter = [quarantine.MaxTrials]time.Duration{3 * time.Second, 4 * time.Second}

// replicaEnd is a replica that closed the connection while it ran an item.
type replicaEnd struct {
	replica string
	at      time.Time
}

// blame notes that a replica ended under an item.
func (r *runner) blame(item *work, replica string, now time.Time) {
	if slices.ContainsFunc(item.ended, func(end replicaEnd) bool { return end.replica == replica }) {
		return
	}
	item.ended = append(item.ended, replicaEnd{replica: replica, at: now})
	item.onTrial = false
	item.addEnd()
}

// ends counts the replicas that ended under an item. One that answered a run which began
// later had not.
func (r *runner) ends(item *work) int {
	count := item.earlierEnds
	for _, end := range item.ended {
		if known := r.replicas.replicas[end.replica]; known == nil || !known.answered.After(end.at) {
			count++
		}
	}
	return count
}

// withhold keeps an item from running that ended too many replicas: it would take one after
// the other, and what runs beside it. It reports whether the item waits, for a trial or for
// good; it is given up with the others that are not done in their time.
func (r *runner) withhold(item *work, now time.Time) bool {
	ends := r.ends(item)
	if ends < quarantine.CrashesUntilWithheld || item.onTrial || r.trialDue(item, now) {
		delete(r.withheld, item.key)
		return false
	}
	if r.withheld[item.key] == nil {
		r.withheld[item.key] = item
		item.withheldAt = now
		r.store.config.Logger.Warn().Str(eventlog.Field, eventlog.ItemWithheld).Str("job", item.key.Job).Str("id", item.item.ID).
			Int("ends", ends).Int("trials", item.trials).Msg("an item is withheld: replicas have ended under it")
	}
	return true
}

// trialDue gives an item its next trial if it has waited long enough.
func (r *runner) trialDue(item *work, now time.Time) bool {
	waits := r.withheld[item.key] != nil
	if !waits || item.trials >= quarantine.MaxTrials || now.Sub(item.withheldAt) < trialAfter[item.trials] {
		return false
	}
	item.trials++
	item.onTrial = true
	return true
}

// lookAtWithheld lets those run again whose trial is due, or whose replicas had not ended.
func (r *runner) lookAtWithheld(now time.Time) {
	for key, item := range r.withheld {
		if r.works[key] != item || item.finished() {
			delete(r.withheld, key)
			continue
		}
		if !r.withhold(item, now) {
			r.enqueue(item, time.Time{})
		}
	}
}
