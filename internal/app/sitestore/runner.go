package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	// runnerInterval is how often the runner looks without being woken.
	runnerInterval = 100 * time.Millisecond
	// keepInterval is how often text that grows is put into the log.
	keepInterval = 400 * time.Millisecond
	// resultInterval is the least time between two records with results.
	resultInterval = 25 * time.Millisecond
	eventQueue     = 1024
	// giveUpMargin is waited beyond the time that an item must be kept.
	giveUpMargin = time.Second
)

// acceptedAt is when the runner first saw a job.
type acceptedAt = time.Time

// runner runs items while its member leads. One goroutine owns it.
type runner struct {
	store   *Store
	replica *replicacall.Client
	wake    chan struct{}
	events  chan runEvent
	kept    chan error
	// base is when the runner was made; times that goroutines share count from it.
	base time.Time

	// The rest is that of one leadership.
	leads     bool
	term      uint64
	context   context.Context
	cancel    context.CancelFunc
	jobSerial uint64
	// jobs are those taken over, until they end.
	jobs     map[string]bool
	works    map[jobqueue.Key]*work
	times    map[string]*jobTimes
	queue    jobqueue.Queue
	replicas *replicaBook
	demand   *demandMeter
	lengths  lengths
	table    *routing.Table
	keeping  bool
	// keptAt is when the last record was proposed, grownAt when the last one
	// with text that grows was.
	keptAt  time.Time
	grownAt time.Time
	urgent  bool
	// lookedAt is when all open items were last looked at.
	lookedAt time.Time
}

func newRunner(store *Store, replica *replicacall.Client) *runner {
	return &runner{
		store: store, replica: replica, base: time.Now(), wake: make(chan struct{}, 1),
		events: make(chan runEvent, eventQueue), kept: make(chan error, 1),
	}
}

// wakeUp makes the runner look at once. It does not wait.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run works until the context ends.
func (r *runner) run(ctx context.Context) error {
	ticker := time.NewTicker(runnerInterval)
	defer ticker.Stop()
	defer r.stop()
	for {
		select {
		case <-ticker.C:
		case <-r.wake:
		case ended := <-r.events:
			r.take(ended)
			r.takeMore()
		case err := <-r.kept:
			r.afterKeep(err)
		case <-ctx.Done():
			return ctx.Err()
		}
		r.tend(ctx)
	}
}

// takeMore takes in the events that wait already.
func (r *runner) takeMore() {
	for {
		select {
		case ended := <-r.events:
			r.take(ended)
		default:
			return
		}
	}
}

// tend follows leadership, takes jobs over, starts items and keeps text.
func (r *runner) tend(ctx context.Context) {
	shown := r.store.member.Shown()
	if shown == nil || !shown.Settled {
		r.stop()
		return
	}
	if r.leads && r.term != shown.Status.Term {
		r.stop()
	}
	if !r.leads {
		r.start(ctx, shown.Status.Term)
	}
	view := r.store.config.Watcher.View()
	if view == nil || view.Table == nil {
		return
	}
	r.sync(ctx)
	if r.table != view.Table {
		r.table = view.Table
		r.routeAgain()
	}
	if now := time.Now(); now.Sub(r.lookedAt) >= runnerInterval {
		r.lookAtAll(view, now)
	}
	r.place(view)
	r.keep()
}

// lookAtAll does what costs a look at every open item. It is not done for each item
// that ends, of which there are hundreds a second.
func (r *runner) lookAtAll(view *siteview.View, now time.Time) {
	since := now.Sub(r.lookedAt)
	r.lookedAt = now
	r.giveUpOld(now)
	r.moveFromSlow(view, now, since)
	if r.measureDemand(now) {
		r.replicas.forget(view, now)
	}
}

// start begins a leadership.
func (r *runner) start(ctx context.Context, term uint64) {
	r.leads, r.term = true, term
	r.context, r.cancel = context.WithCancel(ctx)
	r.jobSerial = 0
	r.jobs = map[string]bool{}
	r.works = map[jobqueue.Key]*work{}
	r.times = map[string]*jobTimes{}
	r.queue = jobqueue.Queue{}
	r.replicas = newReplicaBook()
	r.demand = newDemandMeter(time.Now())
	r.lengths = lengths{}
	r.table = nil
	r.keeping, r.urgent = false, false
	r.kept = make(chan error, 1)
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.RunnerStarted).Uint64("term", term).Msg("this machine runs the items of jobs")
}

// stop ends a leadership: every run is cancelled.
func (r *runner) stop() {
	if !r.leads {
		return
	}
	r.leads = false
	r.cancel()
	for job := range r.times {
		r.logTimes(job, false, time.Now())
	}
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.RunnerStopped).Uint64("term", r.term).Int("items", len(r.works)).Msg("this machine runs no items any more")
}

// sync takes over jobs that came and drops those that ended.
func (r *runner) sync(ctx context.Context) {
	serial := r.store.jobSerial.Load()
	if serial == r.jobSerial {
		return
	}
	var added []*work
	open := map[string]bool{}
	now := time.Now()
	err := r.store.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		for _, job := range machine.(*jobstate.State).Jobs() {
			id := job.Submission.ID
			if job.Ended {
				continue
			}
			open[id] = true
			if !r.jobs[id] {
				r.times[id] = newJobTimes(now, job.Submission.Step)
				added = append(added, openItems(job, now)...)
			}
		}
	})
	if err != nil {
		return
	}
	r.jobSerial = serial
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
	ranks, longest := jobqueue.Ranks(job), job.Longest()
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
	return route, route.Choose(uint64(item.key.Item))
}

// enqueue lets an item wait for a replica, or goes on with its score if its
// text is whole.
func (r *runner) enqueue(item *work, notBefore time.Time) {
	if item.isWhole() {
		r.startScoring(item)
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

// place starts as many items as find a place.
func (r *runner) place(view *siteview.View) {
	if r.queue.Len() == 0 {
		return
	}
	now := time.Now()
	candidates := r.replicas.candidates(view, r.table, now)
	r.freeStranded(candidates)
	for _, placed := range r.queue.Place(candidates, now) {
		item := r.works[placed.Item.Key]
		replica, known := view.Replicas[placed.Replica]
		if item == nil || !known {
			continue
		}
		r.startRun(item, replica, view.Position)
	}
}

// startRun sends an item to a replica. Position is that of the view it was chosen by.
func (r *runner) startRun(item *work, replica sitestate.Replica, position uint64) {
	now := time.Now()
	r.replicas.enter(item, replica.ID, now)
	item.placedAt = now
	if times := r.times[item.key.Job]; times != nil {
		times.placed(item, now)
	}
	item.progress.show(0, now.Sub(r.base))
	item.move.Store(false)
	ctx, cancel := context.WithCancel(r.context)
	item.cancel = cancel
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.ItemPlaced).Str("job", item.key.Job).Str("id", item.item.ID).
		Str("replica", replica.ID).Uint64("version", replica.VersionOf(item.model)).Uint64("min_version", item.minVersion).
		Int("expected", item.rank.Expected).Str("after_event", item.begin()).Uint64("view", position).Msg("an item was sent to a replica")
	go r.generate(ctx, item, replica)
}

// freeStranded starts texts over that only one version may go on with, if no
// replica serves that version any more.
func (r *runner) freeStranded(candidates []jobqueue.Replica) {
	var stranded []jobqueue.Key
	r.queue.Drop(func(item jobqueue.Item) bool {
		if item.Only == 0 {
			return false
		}
		for _, replica := range candidates {
			if replica.Version(item.Model) <= item.Only {
				return false
			}
		}
		stranded = append(stranded, item.Key)
		return true
	})
	for _, key := range stranded {
		if item := r.works[key]; item != nil {
			item.startOver()
			r.enqueue(item, time.Time{})
		}
	}
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

// measureDemand publishes the work that jobs bring, and reports whether it was
// due.
func (r *runner) measureDemand(now time.Time) bool {
	r.store.open.Store(int64(len(r.works)))
	waiting := map[string]int{}
	for _, item := range r.works {
		if !item.scoring && !item.finished() {
			waiting[item.model]++
		}
	}
	r.demand.notePeak(waiting, now)
	rates, due := r.demand.rates(waiting, now)
	if due {
		r.store.demand.Store(&demand{rates: rates, open: r.demand.peaks()})
	}
	return due
}
