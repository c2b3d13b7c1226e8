package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// place starts the queued items for which there is a replica.
func (r *runner) place(view *siteview.View) {
	if r.queue.Len() == 0 {
		return
	}
	now := time.Now()
	candidates := r.replicas.candidates(view, r.table, now)
	r.restartStranded()
	for _, placed := range r.queue.Place(candidates, now) {
		item := r.items[placed.Item.Key]
		replica, registered := view.Replicas.Get(placed.Replica)
		if item == nil || !registered {
			continue
		}
		r.startRun(item, replica, view.Position)
	}
}

// startRun sends an item to a replica, chosen from the view at the given position.
func (r *runner) startRun(item *itemState, replica sitestate.Replica, position uint64) {
	now := time.Now()
	r.replicas.addRun(item, replica.ID, now)
	item.placedAt, item.eventsBefore = now, item.length()
	if times := r.times[item.key.Job]; times != nil {
		times.recordRun(item, now)
	}
	item.progress.set(0, now.Sub(r.base))
	item.move.Store(false)
	ctx, cancel := context.WithCancel(r.context)
	item.cancel = cancel
	r.store.config.Logger.Info().Str(eventlog.Field, eventlog.ItemPlaced).Str("job", item.key.Job).Str("id", item.spec.ID).
		Str("replica", replica.ID).Uint64("version", replica.VersionOf(item.model)).Uint64("min_version", item.minVersion).
		Int("expected", item.rank.Expected).Str("after_event", item.lastEventID()).Uint64("view", position).Msg("an item was sent to a replica")
	go r.generate(ctx, item, replica)
}

// restartStranded restarts texts that only one version may continue, once all replicas that may
// run them serve later versions.
func (r *runner) restartStranded() {
	var stranded []jobqueue.Key
	r.queue.Drop(func(item jobqueue.Item) bool {
		if item.ExactVersion == 0 || !r.replicas.strands(&item) {
			return false
		}
		stranded = append(stranded, item.Key)
		return true
	})
	for _, key := range stranded {
		if item := r.items[key]; item != nil {
			item.startOver()
			r.enqueue(item, time.Time{})
		}
	}
}
