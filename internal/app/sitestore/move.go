package sitestore

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

const (
	// leastStay is the least time that an item stays at a replica.
	leastStay = 500 * time.Millisecond
	// heldUp is the time between two looks after which this process was itself held
	// up: it cannot tell then who was silent.
	heldUp = 3 * runnerInterval
	// relaxedShare is what part of the longest expected length of its job an item
	// may have that is done in time at any replica: lengths are expected badly.
	relaxedShare = 0.4
	// mostMoves bounds how often an item is moved.
	mostMoves = 6
)

// moveFromSlow asks runs at slow or silent replicas to end where a faster one has
// room: their items go on there, after the last event. A job's client waits for its
// last item, and reading a prompt again takes milliseconds. Since is the time since
// the look before.
func (r *runner) moveFromSlow(view *siteview.View, now time.Time, since time.Duration) {
	runs := r.measureRuns(now)
	if since > heldUp || len(runs) == 0 {
		return
	}
	for _, move := range jobqueue.Moves(runs, r.replicas.candidates(view, r.table, now)) {
		r.move(r.works[move.Item.Key], move.Replica)
	}
}

// measureRuns notes the pace of all runs at their replicas, and gives those that
// may be moved.
func (r *runner) measureRuns(now time.Time) []jobqueue.Run {
	var runs []jobqueue.Run
	paces := map[string][]time.Duration{}
	for _, item := range r.works {
		if item.replica == "" || item.scoring {
			continue
		}
		pace, silent := item.progress.lately(now.Sub(r.base), r.replicas.pace.usual)
		if pace == 0 {
			continue
		}
		paces[item.replica] = append(paces[item.replica], pace)
		if item.next != "" || item.moves >= mostMoves || (!silent && now.Sub(item.placedAt) < leastStay) {
			continue
		}
		item.silent = silent
		_, service := r.route(item)
		waiting := r.waiting(item, service)
		waiting.Relaxed = false
		runs = append(runs, jobqueue.Run{Item: waiting, Replica: item.replica, Pace: pace, Left: r.lengths.left(item)})
	}
	for replica, measured := range paces {
		r.replicas.watched(replica, measured, now)
	}
	return runs
}

// move asks the run of an item to end, and keeps a place for it elsewhere. One that
// is silent is cut off.
func (r *runner) move(item *work, replica string) {
	item.moves++
	item.next = replica
	r.replicas.reserve(replica)
	item.move.Store(true)
	if item.silent {
		item.interrupt()
	}
}

// waiting is an item as the queue sees it.
func (r *runner) waiting(item *work, service string) jobqueue.Item {
	return jobqueue.Item{
		Key: item.key, Service: service, Model: item.model, MinVersion: item.minVersion, Only: item.only(),
		Group: item.item.Group, Rank: item.rank, Avoid: item.avoid,
		Relaxed: float64(item.item.ExpectedLength()) < relaxedShare*float64(item.longest),
	}
}
