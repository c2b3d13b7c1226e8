package sitestore

import (
	"context"
	"maps"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// syncJobs adds new jobs and removes ended ones.
func (r *runner) syncJobs(ctx context.Context) {
	serial := r.store.jobSerial.Load()
	if serial == r.jobSerial {
		return
	}
	var added []*itemState
	open := map[string]bool{}
	now := time.Now()
	// The callback runs in the member's loop and must not access the runner.
	current, times := r.jobs, map[string]*jobTimes{}
	err := r.store.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		for _, job := range machine.(*jobstate.State).Jobs() {
			id := job.Submission.ID
			if job.Ended {
				continue
			}
			open[id] = true
			if !current[id] {
				times[id] = newJobTimes(now, job)
				added = append(added, openItems(job, now)...)
			}
		}
	})
	if err != nil {
		return
	}
	r.jobSerial = serial
	maps.Copy(r.times, times)
	for id := range r.jobs {
		if !open[id] {
			r.dropJob(id)
			r.logTimes(id, true, now)
		}
	}
	r.jobs = open
	for _, item := range added {
		r.validate(item)
		r.items[item.key] = item
		r.times[item.key.Job].add(item)
		r.enqueue(item, time.Time{})
	}
}

// openItems copies the items of a job without a result; it runs in the member's loop.
func openItems(job *jobstate.Job, now time.Time) []*itemState {
	ranks, longest := jobqueue.Ranks(job), job.LongestExpected()
	var open []*itemState
	for i := range job.Items {
		if job.Items[i].Result == jobstate.ResultNone {
			open = append(open, newItemState(job, i, longest, ranks[i], now))
		}
	}
	return open
}

// dropJob cancels and removes all items of an ended job.
func (r *runner) dropJob(id string) {
	r.queue.Drop(func(item jobqueue.Item) bool { return item.Job == id })
	for key, item := range r.items {
		if key.Job != id {
			continue
		}
		if item.cancel != nil {
			item.cancel()
		}
		r.remove(key, item)
	}
}

// route returns the route and service of an item's request.
func (r *runner) route(item *itemState) (*routing.Route, string) {
	if r.table == nil {
		return nil, ""
	}
	route := r.table.Lookup(item.host, item.spec.Path)
	if route == nil {
		return nil, ""
	}
	return route, route.ServiceFor(uint64(item.key.Item))
}

// allowedRegions returns the regions in which an item may run.
func (r *runner) allowedRegions(item *itemState) routing.AllowedRegions {
	route, _ := r.route(item)
	if route == nil {
		return routing.AllowedRegions{}
	}
	return routing.AllowedRegionsOf(route, r.table.Tenant(item.tenant))
}

// validate marks an item that cannot be sent, of a job that an earlier build has accepted.
func (r *runner) validate(item *itemState) {
	err := replicacall.ValidateItem(item.host, &item.spec)
	if item.invalid = err != nil; item.invalid {
		r.store.config.Logger.Warn().Str(eventlog.Field, eventlog.ItemNotSendable).Str("job", item.key.Job).Str("id", item.spec.ID).
			Err(err).Msg("an item cannot be sent to any replica")
	}
}

// enqueue queues an item for a replica, or starts its scoring if the text is complete. The item
// runs no earlier than notBefore and the end of its pause. An item that cannot be sent waits for its
// retention or the end of its job.
func (r *runner) enqueue(item *itemState, notBefore time.Time) {
	if item.invalid {
		return
	}
	if item.isComplete() {
		r.startScoring(item)
		return
	}
	_, service := r.route(item)
	queued := r.queueItem(item, service)
	queued.NotBefore = notBefore
	if item.pausedUntil.After(notBefore) {
		queued.NotBefore = item.pausedUntil
	}
	r.queue.Add(queued)
}

// reroute queues all waiting items again after a change of the configuration.
func (r *runner) reroute() {
	r.queue = jobqueue.Queue{}
	for _, item := range r.items {
		if item.isWaiting() {
			r.enqueue(item, time.Time{})
		}
	}
}

// mayGiveUp reports whether an item may fail by the routes of a table. An earlier configuration
// than that of the submission may lack the route. A table that is not current may have earlier
// limits of the route, and tells nothing about a job that doesn't name its configuration.
func (s *Store) mayGiveUp(item *itemState, table *routing.Table) bool {
	if !s.config.Watcher.IsCurrent(table) || table.Version() < item.configuration {
		return false
	}
	return item.configuration > 0 || s.config.Watcher.ConfirmedWithin(time.Since(item.accepted))
}

// recordResult records an item's result for its job's log line.
func (r *runner) recordResult(item *itemState, replica string) {
	if times := r.times[item.key.Job]; times != nil && !item.finished() {
		times.recordResult(item, replica, time.Now())
	}
}

// giveUpItems fails waiting items whose route was removed, and items that are older than their
// route's retention.
func (r *runner) giveUpItems(now time.Time) {
	given := map[jobqueue.Key]bool{}
	for key, item := range r.items {
		reason := r.reasonToGiveUp(item, now)
		if reason == "" || !r.store.mayGiveUp(item, r.table) {
			continue
		}
		if item.cancel != nil {
			item.cancel()
		}
		given[key] = true
		r.failItem(item, reason)
	}
	if len(given) > 0 {
		r.queue.Drop(func(queued jobqueue.Item) bool { return given[queued.Key] })
	}
}

// reasonToGiveUp returns why the runner's table rules out that an item completes, or "".
func (r *runner) reasonToGiveUp(item *itemState, now time.Time) string {
	if item.finished() {
		return ""
	}
	route, _ := r.route(item)
	switch {
	case route == nil && item.isWaiting():
		return "the route was removed"
	case route != nil && route.Keep > 0 && now.Sub(item.accepted) >= route.Keep+expiryMargin:
		return "not finished within the retention of its route"
	default:
		return ""
	}
}

func (r *runner) failItem(item *itemState, reason string) {
	r.recordResult(item, item.lastReplica)
	r.finish(item, jobstate.ResultErrored, "")
	r.store.config.Recorder.ItemEnded(outcomeErrored, time.Since(item.accepted))
	r.store.config.Logger.Warn().Str(eventlog.Field, eventlog.ItemErrored).Str("job", item.key.Job).Str("id", item.spec.ID).
		Str("reward_call", item.scorerID()).Int("failures", item.failures).Str("reason", reason).Msg("item failed")
}

// startScoring starts the reward call of a complete text.
func (r *runner) startScoring(item *itemState) {
	if item.scoring {
		return
	}
	item.scoring = true
	ctx, cancel := context.WithCancel(r.context)
	item.cancel = cancel
	go r.score(ctx, item)
}

// remove removes a finished item.
func (r *runner) remove(key jobqueue.Key, item *itemState) {
	r.releaseReserved(item)
	r.replicas.removeRun(item)
	delete(r.items, key)
}
