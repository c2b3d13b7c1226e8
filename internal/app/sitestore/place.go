package sitestore

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

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
		replica, known := view.Replicas.Get(placed.Replica)
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
	item.placedAt, item.eventsBefore = now, item.length()
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
		if item.ExactVersion == 0 {
			return false
		}
		for _, replica := range candidates {
			if replica.Version(item.Model) <= item.ExactVersion {
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
