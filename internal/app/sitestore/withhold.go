package sitestore

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/quarantine"
)

// trialDelays are the waits of a withheld item before each trial. They let crashed replicas
// restart, which takes about 2 s, and limit the delay of an item that only ran alongside the
// cause: it should not exceed by much the 5 s for which a job's clients let an item rest.
var trialDelays = [quarantine.MaxTrials]time.Duration{3 * time.Second, 4 * time.Second}

// replicaCrash is a replica that closed the connection while it ran an item.
type replicaCrash struct {
	replica string
	at      time.Time
}

// recordCrash records that a replica crashed during a run of an item.
func (r *runner) recordCrash(item *itemState, replica string, now time.Time) {
	if slices.ContainsFunc(item.crashes, func(crash replicaCrash) bool { return crash.replica == replica }) {
		return
	}
	item.crashes = append(item.crashes, replicaCrash{replica: replica, at: now})
	item.onTrial = false
	item.addCrash()
}

// crashCount returns the number of replicas that crashed during the item's runs. A replica that
// responded to a later run did not crash.
func (r *runner) crashCount(item *itemState) int {
	count := item.earlierCrashes
	for _, crash := range item.crashes {
		if entry := r.replicas.replicas[crash.replica]; entry == nil || !entry.respondedAt.After(crash.at) {
			count++
		}
	}
	return count
}

// withhold reports whether an item must not run because it crashed too many replicas. The item
// waits for a trial; after its last trial it expires like other items.
func (r *runner) withhold(item *itemState, now time.Time) bool {
	crashes := r.crashCount(item)
	if crashes < quarantine.CrashesUntilWithheld || item.onTrial || r.trialDue(item, now) {
		delete(r.withheld, item.key)
		return false
	}
	if r.withheld[item.key] == nil {
		r.withheld[item.key] = item
		item.withheldAt = now
		r.store.config.Logger.Warn().Str(eventlog.Field, eventlog.ItemWithheld).Str("job", item.key.Job).Str("id", item.spec.ID).
			Int("ends", crashes).Int("trials", item.trials).Msg("item withheld: replicas crashed during its runs")
	}
	return true
}

// trialDue starts an item's next trial if it has waited long enough.
func (r *runner) trialDue(item *itemState, now time.Time) bool {
	isWithheld := r.withheld[item.key] != nil
	if !isWithheld || item.trials >= quarantine.MaxTrials || now.Sub(item.withheldAt) < trialDelays[item.trials] {
		return false
	}
	item.trials++
	item.onTrial = true
	return true
}

// retryWithheld queues withheld items whose trial is due, or whose replicas responded after all.
func (r *runner) retryWithheld(now time.Time) {
	for key, item := range r.withheld {
		if r.items[key] != item || item.finished() {
			delete(r.withheld, key)
			continue
		}
		if !r.withhold(item, now) {
			r.enqueue(item, time.Time{})
		}
	}
}
