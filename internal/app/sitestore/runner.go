package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
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
	scores  *scoreGate
	// base is when the runner was made; times that goroutines share count from it.
	base time.Time

	// The rest is that of one leadership.
	leads     bool
	shard     sitestate.ShardNumber
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
		events: make(chan runEvent, eventQueue), kept: make(chan error, 1), scores: newScoreGate(),
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
	shard := sitestate.ShardNumber(shown.Shard)
	if r.leads && (r.shard != shard || r.term != shown.Status.Term) {
		r.stop()
	}
	if !r.leads {
		r.start(ctx, shard, shown.Status.Term)
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
func (r *runner) start(ctx context.Context, shard sitestate.ShardNumber, term uint64) {
	r.leads, r.shard, r.term = true, shard, term
	r.context, r.cancel = context.WithCancel(ctx)
	r.jobSerial = 0
	r.jobs = map[string]bool{}
	r.works = map[jobqueue.Key]*work{}
	r.times = map[string]*jobTimes{}
	r.queue = jobqueue.Queue{}
	r.replicas = newReplicaBook(shard)
	r.demand = newDemandMeter(time.Now())
	r.lengths = lengths{}
	r.table = nil
	r.keeping, r.urgent = false, false
	r.kept = make(chan error, 1)
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.RunnerStarted).Uint32("shard", uint32(shard)).Uint64("term", term).Msg("this machine runs the items of jobs")
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
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.RunnerStopped).Uint32("shard", uint32(r.shard)).Uint64("term", r.term).Int("items", len(r.works)).Msg("this machine runs no items any more")
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
