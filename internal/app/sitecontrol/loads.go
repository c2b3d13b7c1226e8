package sitecontrol

import (
	"context"
	"net/http"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/weightplan"
	"github.com/loomgrade/loomgrade/internal/dialect"
)

const (
	orderTimeout   = time.Second
	reportInterval = 250 * time.Millisecond
	// loadTimeout is how long a load is followed before it is planned anew.
	loadTimeout = 5 * time.Second
	// lostAfter is how long a replica that loads may leave reports unanswered.
	lostAfter = time.Second
	// firstRest and longestRest bound how long a replica whose load failed is
	// left alone; the time doubles with each failure in a row.
	firstRest   = time.Second
	longestRest = 8 * time.Second
	// loadDone and loadFailed are the outcomes of loads.
	loadDone   = "done"
	loadFailed = "failed"
	// connectionsForOrders is the most to one replica.
	connectionsForOrders = 2
)

// rest is how long a replica is left alone after so many failures in a row.
type rest struct {
	failures int
	until    time.Time
}

// after gives the rest after one more failure.
func (r rest) after(now time.Time) rest {
	const longestShift = 8
	pause := min(longestRest, firstRest<<min(r.failures, longestShift))
	return rest{failures: r.failures + 1, until: now.Add(pause)}
}

// load orders one load and follows it.
func (w *weightsManager) load(ctx context.Context, target weightplan.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	began := time.Now()
	status, err := w.order(ctx, target)
	done := err == nil && taken(status) && w.follow(ctx, target)
	w.control.config.Logger.Info().Str(eventlog.Field, eventlog.WeightsLoad).Str("replica", target.Replica.ID).Str("model", target.Model).
		Uint64("version", target.Version).Uint64("before", target.Replica.VersionOf(target.Model)).Int("status", status).
		Bool("done", done).Dur("took", time.Since(began)).Err(err).Msg("a replica was ordered to load weights")
	outcome := loadDone
	if !done {
		outcome = loadFailed
	}
	w.control.config.Recorder.LoadEnded(outcome, time.Since(began))
	w.ended(target.Replica.ID, done)
}

// taken reports whether an answer to an order says that the replica serves the
// version or is loading it.
func taken(status int) bool { return status == http.StatusOK || status == http.StatusAccepted }

// ended gives a load's place free.
func (w *weightsManager) ended(id string, done bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.loading, id)
	if done {
		delete(w.resting, id)
		return
	}
	w.resting[id] = w.resting[id].after(time.Now())
}

// order sends the order under what the replica says of itself right before, so
// that an order that is carried out late, after another one, is refused. A quorum
// confirms right before that this member still leads: whoever leads after it waits
// for the replicas' lease to be over before it orders.
func (w *weightsManager) order(ctx context.Context, target weightplan.Target) (int, error) {
	attempt, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := w.replica.Report(attempt, target.Replica)
	if err != nil {
		return 0, err
	}
	if w.noteReport(target, report) {
		return http.StatusOK, nil
	}
	confirmed, err := w.control.lease.confirm(attempt)
	if err != nil {
		return 0, err
	}
	if err := confirmed.check(); err != nil {
		return 0, err
	}
	return w.replica.Order(attempt, target.Replica, dialect.Order{
		Model: target.Model, Version: target.Version, LeaseHolder: w.control.config.Machine,
		FencingToken: confirmed.term, ExpectedOrderCount: report.OrderCount,
	})
}

// noteReport keeps what a report shows, and tells whether the target is reached.
func (w *weightsManager) noteReport(target weightplan.Target, report dialect.Report) bool {
	served := sitestate.Replica{Models: report.Models}
	if served.VersionOf(target.Model) < target.Version || report.Loading {
		return false
	}
	w.mutex.Lock()
	w.reached[target.Replica.ID] = report.Models
	w.mutex.Unlock()
	return true
}

// follow asks the replica until it serves the version. One that leaves its
// questions unanswered is given up, and one whose zone is drained left alone.
func (w *weightsManager) follow(ctx context.Context, target weightplan.Target) bool {
	answered := time.Now()
	for {
		if w.control.view.Load().IsDrained(target.Replica.Zone) {
			return false
		}
		report, err := w.report(ctx, target.Replica)
		if err == nil && w.noteReport(target, report) {
			return true
		}
		if err == nil {
			answered = time.Now()
		}
		if time.Since(answered) > lostAfter {
			return false
		}
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// report asks a replica how it stands, within the time of an order.
func (w *weightsManager) report(ctx context.Context, replica sitestate.Replica) (dialect.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return w.replica.Report(ctx, replica)
}
