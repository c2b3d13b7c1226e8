package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
)

// sync takes over jobs that came and drops those that ended.
func (r *runner) sync(ctx context.Context) {
	serial := r.store.jobSerial.Load()
	if serial == r.jobSerial {
		return
	}
	var added []*work
	open := map[string]bool{}
	now := time.Now()
	// The function may still run in the member's loop when this call was given up and the
	// leadership has ended: it touches nothing of the runner.
	known, steps := r.jobs, map[string]uint64{}
	err := r.store.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		for _, job := range machine.(*jobstate.State).Jobs() {
			id := job.Submission.ID
			if job.Ended {
				continue
			}
			open[id] = true
			if !known[id] {
				steps[id] = job.Submission.Step
				added = append(added, openItems(job, now)...)
			}
		}
	})
	if err != nil {
		return
	}
	r.jobSerial = serial
	for id, step := range steps {
		r.times[id] = newJobTimes(now, step)
	}
	for id := range r.jobs {
		if !open[id] {
			r.dropJob(id)
			r.logTimes(id, true, now)
		}
	}
	r.jobs = open
	for _, item := range added {
		r.works[item.key] = item
		r.times[item.key.Job].add(item)
		r.enqueue(item, time.Time{})
	}
}

// openItems copies the items of a job that have no result, in the loop's
// goroutine.
func openItems(job *jobstate.Job, now time.Time) []*work {
	ranks, longest := jobqueue.Ranks(job), job.LongestExpected()
	var open []*work
	for i := range job.Items {
		if job.Items[i].Result == jobstate.ResultNone {
			open = append(open, newWork(job, i, longest, ranks[i], now))
		}
	}
	return open
}

// dropJob cancels everything of a job that ended.
func (r *runner) dropJob(id string) {
	r.queue.Drop(func(item jobqueue.Item) bool { return item.Job == id })
	for key, item := range r.works {
		if key.Job != id {
			continue
		}
		if item.cancel != nil {
			item.cancel()
		}
		r.drop(key, item)
	}
}

// route finds the route and service of an item's request.
func (r *runner) route(item *work) (*routing.Route, string) {
	if r.table == nil {
		return nil, ""
	}
	route := r.table.Lookup(item.host, item.item.Path)
	if route == nil {
		return nil, ""
	}
	return route, route.ServiceFor(uint64(item.key.Item))
}

// homes gives the regions in which an item may run.
func (r *runner) homes(item *work) routing.AllowedRegions {
	route, _ := r.route(item)
	if route == nil {
		return routing.AllowedRegions{}
	}
	return routing.AllowedRegionsOf(route, r.table.Tenant(item.tenant))
}

// enqueue lets an item wait for a replica, or goes on with its score if its
// text is whole. One that is withheld does not wait for any.
func (r *runner) enqueue(item *work, notBefore time.Time) {
	if item.isWhole() {
		r.startScoring(item)
		return
	}
	if r.withhold(item, time.Now()) {
		return
	}
	_, service := r.route(item)
	waiting := r.waiting(item, service)
	waiting.NotBefore = notBefore
	r.queue.Add(waiting)
}

// routeAgain looks routes up anew after a change of the configuration. An item
// whose route is gone is given up.
func (r *runner) routeAgain() {
	r.queue = jobqueue.Queue{}
	for _, item := range r.works {
		if item.replica != "" || item.scoring || item.finished() {
			continue
		}
		if route, _ := r.route(item); route == nil {
			r.giveUp(item, "its route is gone")
			continue
		}
		r.enqueue(item, time.Time{})
	}
}

// noteDone notes an item's result for the line of its job.
func (r *runner) noteDone(item *work, replica string) {
	if times := r.times[item.key.Job]; times != nil && !item.finished() {
		times.done(item, replica, time.Now())
	}
}

// giveUpOld gives up items that need not be kept any longer.
func (r *runner) giveUpOld(now time.Time) {
	for _, item := range r.works {
		route, _ := r.route(item)
		if route == nil || route.Keep <= 0 || item.finished() || now.Sub(item.accepted) < route.Keep+giveUpMargin {
			continue
		}
		if item.cancel != nil {
			item.cancel()
		}
		key := item.key
		r.queue.Drop(func(waiting jobqueue.Item) bool { return waiting.Key == key })
		r.giveUp(item, "it was not done in the time that it had")
	}
}

func (r *runner) giveUp(item *work, reason string) {
	r.noteDone(item, item.lastReplica)
	item.finish(jobstate.ResultErrored, "")
	r.store.config.Recorder.ItemEnded(outcomeErrored, time.Since(item.accepted))
	r.urgent = true
	r.store.config.Logger.Warn().Str(eventlog.Field, eventlog.ItemErrored).Str("job", item.key.Job).Str("id", item.item.ID).
		Str("reward_call", item.scorerID()).Int("failures", item.failures).Str("reason", reason).Msg("an item is given up")
}

// startScoring sends the reward call of a whole text.
func (r *runner) startScoring(item *work) {
	if item.scoring {
		return
	}
	item.scoring = true
	ctx, cancel := context.WithCancel(r.context)
	item.cancel = cancel
	go r.score(ctx, item)
}

// drop forgets an item that is done.
func (r *runner) drop(key jobqueue.Key, item *work) {
	r.releaseNext(item)
	r.replicas.leave(item)
	delete(r.works, key)
}
