package sitestore

import (
	"slices"
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
	// lateRatio is how much slower than usual most runs have to look for this process
	// to be what is late. A batch that is full is slower by a tenth.
	lateRatio = 1.3
	// leastForLate is how many runs there must be to tell.
	leastForLate = 8
)

// moveFromSlow asks runs at slow or silent replicas to end where a faster one has
// room: their items go on there, after the last event. A job's client waits for its
// last item, and reading a prompt again takes milliseconds. Since is the time since
// the look before.
func (r *runner) moveFromSlow(view *siteview.View, now time.Time, since time.Duration) {
	runs, slowdowns := r.measureRuns(now)
	if since > heldUp || isLate(slowdowns) || len(runs) == 0 {
		return
	}
	for _, move := range jobqueue.Moves(runs, r.replicas.candidates(view, r.table, now)) {
		r.move(r.works[move.Item.Key], move.Replica)
	}
}

// isLate reports whether this process reads events late, given how slow runs look
// against the usual pace of their replicas: replicas do not turn slow most at once, but a
// process that has too little processor sees all of them slow. Moving their items would
// be more work for it.
func isLate(slowdowns []float64) bool {
	if len(slowdowns) < leastForLate {
		return false
	}
	slices.Sort(slowdowns)
	return slowdowns[len(slowdowns)/2] > lateRatio
}

// measureRuns notes the pace of all runs at their replicas, and gives those that
// may be moved and how slow each run looks against what is usual at its replica.
func (r *runner) measureRuns(now time.Time) (runs []jobqueue.Run, slowdowns []float64) {
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
		if usual := r.replicas.entry(item.replica).pace.usual; usual > 0 {
			slowdowns = append(slowdowns, float64(pace)/float64(usual))
		}
		if item.next != "" || item.moves >= mostMoves || (!silent && now.Sub(item.placedAt) < leastStay) {
			continue
		}
		item.silent = silent
		_, service := r.route(item)
		waiting := r.waiting(item, service)
		waiting.Relaxed = false
		runs = append(runs, jobqueue.Run{Item: waiting, Replica: item.replica, Pace: pace, RemainingEvents: r.lengths.left(item)})
	}
	for replica, measured := range paces {
		r.replicas.watched(replica, measured, now)
	}
	return runs, slowdowns
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
		Homes: r.homes(item),
		Key:   item.key, Service: service, Model: item.model, MinVersion: item.minVersion, ExactVersion: item.only(),
		Group: item.item.Group, Rank: item.rank, Avoid: item.avoid,
		Relaxed: float64(item.item.ExpectedLength()) < relaxedShare*float64(item.longest),
	}
}
