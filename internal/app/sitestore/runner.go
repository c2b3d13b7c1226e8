package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
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

// runner runs items while its member leads. One goroutine owns it.
type runner struct {
	store   *Store
	replica *replicacall.Client
	wake    chan struct{}
	events  chan runEvent
	scores  *scoreGate
	// base is when the runner was made; times that goroutines share count from it.
	base time.Time

	// leadership is nil while the member does not lead.
	*leadership
}

func newRunner(store *Store, replica *replicacall.Client) *runner {
	return &runner{
		store: store, replica: replica, base: time.Now(), wake: make(chan struct{}, 1),
		events: make(chan runEvent, eventQueue), scores: newScoreGate(),
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
		case err := <-r.recorded():
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
	shown := r.store.member.PublishedState()
	switch dutyOf(shown, r.leadership, time.Now(), r.store.member.ElectionTimeout()) {
	case dutyNone:
		r.stop()
		return
	case dutyHold:
		return
	case dutyBegin:
		r.stop()
		r.start(ctx, sitestate.ShardNumber(shown.Shard), shown.Status.Term)
	case dutyGoOn:
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
	r.lookAtWithheld(now)
	r.moveFromSlow(view, now, since)
	if r.measureDemand(now) {
		r.replicas.forget(view, now)
	}
}

// start begins a leadership.
func (r *runner) start(ctx context.Context, shard sitestate.ShardNumber, term uint64) {
	r.leadership = newLeadership(ctx, shard, term)
	r.replicas.cold = r.store.config.Cold
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.RunnerStarted).Uint32("shard", uint32(shard)).Uint64("term", term).Msg("this machine runs the items of jobs")
}

// stop ends a leadership: every run is cancelled.
func (r *runner) stop() {
	if r.leadership == nil {
		return
	}
	r.cancel()
	for job := range r.times {
		r.logTimes(job, false, time.Now())
	}
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.RunnerStopped).Uint32("shard", uint32(r.shard)).Uint64("term", r.term).Int("items", len(r.works)).Msg("this machine runs no items any more")
	r.leadership = nil
}

// recorded gives the outcomes of records; nil while the member does not lead.
func (r *runner) recorded() <-chan error {
	if r.leadership == nil {
		return nil
	}
	return r.kept
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
