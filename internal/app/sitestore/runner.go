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
	// runnerInterval is the maximum time between two ticks of the runner.
	runnerInterval = 100 * time.Millisecond
	// textInterval is the minimum time between two records with unfinished text.
	textInterval = 400 * time.Millisecond
	// resultInterval is the minimum time between two records.
	resultInterval     = 25 * time.Millisecond
	eventQueueCapacity = 1024
	// minScanIntervals limits the share of its time that the runner spends on scans of all open items, up
	// to maxScanInterval: a scan may also take long because the process is not scheduled.
	minScanIntervals = 10
	maxScanInterval  = time.Second
	// expiryMargin is added to an item's retention before the item fails.
	expiryMargin = time.Second
)

// runner runs items while its member leads. One goroutine owns it.
type runner struct {
	store   *Store
	replica *replicacall.Client
	wake    chan struct{}
	events  chan runEvent
	scores  *scoreLimiter
	// base is the creation time of the runner; times shared between goroutines count from it.
	base time.Time

	// leadership is nil while the member does not lead.
	*leadership
}

func newRunner(store *Store, replica *replicacall.Client) *runner {
	return &runner{
		store: store, replica: replica, base: time.Now(), wake: make(chan struct{}, 1),
		events: make(chan runEvent, eventQueueCapacity), scores: newScoreLimiter(),
	}
}

// wakeUp triggers a tick; it does not block.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run runs the runner until ctx ends.
func (r *runner) run(ctx context.Context) error {
	ticker := time.NewTicker(runnerInterval)
	defer ticker.Stop()
	defer r.stop()
	for {
		select {
		case <-ticker.C:
		case <-r.wake:
		case event := <-r.events:
			r.handle(event)
			r.handleQueued()
		case err := <-r.commitResults():
			r.handleCommit(err)
		case <-ctx.Done():
			return ctx.Err()
		}
		r.tick(ctx)
	}
}

// handleQueued handles the events that are already queued.
func (r *runner) handleQueued() {
	for {
		select {
		case event := <-r.events:
			r.handle(event)
		default:
			return
		}
	}
}

// tick updates the leadership, syncs jobs, starts items and commits text.
func (r *runner) tick(ctx context.Context) {
	published := r.store.member.PublishedState()
	switch dutyOf(published, r.leadership, time.Now(), r.store.member.ElectionTimeout()) {
	case dutyNone:
		r.stop()
		return
	case dutyHold:
		return
	case dutyStart:
		r.stop()
		r.start(ctx, sitestate.ShardNumber(published.Shard), published.Status.Term)
	case dutyContinue:
	}
	view := r.store.config.Watcher.View()
	if view == nil || view.Table == nil {
		return
	}
	r.syncJobs(ctx)
	if r.table != view.Table {
		r.table = view.Table
		r.reroute()
	}
	if now := time.Now(); now.Sub(r.scannedAt) >= r.scanInterval {
		r.scanItems(view, now)
		r.scanInterval = scanIntervalAfter(time.Since(now))
	}
	r.place(view)
	r.commit()
}

// scanItems does the periodic work that iterates over all open items, which is too expensive
// for each event.
func (r *runner) scanItems(view *siteview.View, now time.Time) {
	since := now.Sub(r.scannedAt)
	r.scannedAt = now
	r.giveUpItems(now)
	r.moveFromSlow(view, now, since)
	if r.measureDemand(now) {
		r.replicas.expire(view, now)
	}
}

// scanIntervalAfter returns the time from the start of a scan to that of the next one.
func scanIntervalAfter(took time.Duration) time.Duration {
	return min(max(runnerInterval, took*minScanIntervals), maxScanInterval)
}

// start starts a leadership.
func (r *runner) start(ctx context.Context, shard sitestate.ShardNumber, term uint64) {
	r.leadership = newLeadership(ctx, shard, term)
	r.replicas.cold = r.store.config.Cold
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.RunnerStarted).Uint32("shard", uint32(shard)).Uint64("term", term).Msg("runner started")
}

// stop ends a leadership and cancels its runs.
func (r *runner) stop() {
	if r.leadership == nil {
		return
	}
	r.cancel()
	for job := range r.times {
		r.logTimes(job, false, time.Now())
	}
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.RunnerStopped).Uint32("shard", uint32(r.shard)).Uint64("term", r.term).Int("items", len(r.items)).Msg("runner stopped")
	r.leadership = nil
}

// commitResults returns the channel of record outcomes; nil while the member does not lead.
func (r *runner) commitResults() <-chan error {
	if r.leadership == nil {
		return nil
	}
	return r.committed
}

// measureDemand publishes the demand of jobs if an update is due, and reports whether it was.
func (r *runner) measureDemand(now time.Time) bool {
	r.store.open.Store(int64(len(r.items)))
	open := map[string]int{}
	for _, item := range r.items {
		if !item.scoring && !item.finished() {
			open[item.model]++
		}
	}
	r.demand.recordPeak(open, now)
	rates, due := r.demand.rates(open, now)
	if due {
		r.store.demand.Store(&demand{rates: rates, open: r.demand.peaks()})
	}
	return due
}
