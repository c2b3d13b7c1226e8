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
	// loadTimeout limits a load; a load that exceeds it is planned again.
	loadTimeout = 5 * time.Second
	// unresponsiveAfter is how long a loading replica may leave requests unanswered.
	unresponsiveAfter = time.Second
	// minBackoff and maxBackoff limit the backoff of a replica after failed loads; it
	// doubles with each consecutive failure.
	minBackoff = time.Second
	maxBackoff = 8 * time.Second
	// loadDone and loadFailed are the outcomes of loads.
	loadDone   = "done"
	loadFailed = "failed"
	// maxOrderConnections limits the connections to one replica.
	maxOrderConnections = 2
)

// backoff is the backoff of a replica after failed loads.
type backoff struct {
	failures int
	until    time.Time
}

// after returns the backoff after one more failure.
func (r backoff) after(now time.Time) backoff {
	const maxShift = 8
	pause := min(maxBackoff, minBackoff<<min(r.failures, maxShift))
	return backoff{failures: r.failures + 1, until: now.Add(pause)}
}

// load orders a load and waits for its end.
func (w *weightsManager) load(ctx context.Context, target weightplan.Target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	started := time.Now()
	status, err := w.order(ctx, target)
	done := err == nil && orderAccepted(status) && w.awaitVersion(ctx, target)
	w.control.config.Logger.Info().Str(eventlog.Field, eventlog.WeightsLoad).Str("replica", target.Replica.ID).Str("model", target.Model).
		Uint64("version", target.Version).Uint64("before", target.Replica.VersionOf(target.Model)).Int("status", status).
		Bool("done", done).Dur("took", time.Since(started)).Err(err).Msg("load of weights ended")
	outcome := loadDone
	if !done {
		outcome = loadFailed
	}
	w.control.config.Recorder.LoadEnded(outcome, time.Since(started))
	w.finishLoad(target.Replica.ID, done)
}

// orderAccepted reports whether the status of an order means that the replica serves the
// version or is loading it.
func orderAccepted(status int) bool { return status == http.StatusOK || status == http.StatusAccepted }

// finishLoad removes a pending load and updates the replica's backoff.
func (w *weightsManager) finishLoad(id string, done bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.loading, id)
	if done {
		delete(w.backoffs, id)
		return
	}
	w.backoffs[id] = w.backoffs[id].after(time.Now())
}

// order sends an order conditional on the replica's current order count, so that the replica
// rejects it once it has accepted another. A quorum confirms the lease right before: a new
// leader waits for its expiry before it sends orders.
func (w *weightsManager) order(ctx context.Context, target weightplan.Target) (int, error) {
	attempt, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := w.replica.Report(attempt, target.Replica)
	if err != nil {
		return 0, err
	}
	if w.recordReport(target, report) {
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

// recordReport records the versions of a report that reaches the target, and reports whether
// it does.
func (w *weightsManager) recordReport(target weightplan.Target, report dialect.Report) bool {
	served := sitestate.Replica{Models: report.Models}
	if served.VersionOf(target.Model) < target.Version || report.Loading {
		return false
	}
	w.mutex.Lock()
	w.reached[target.Replica.ID] = report.Models
	w.mutex.Unlock()
	return true
}

// awaitVersion polls the replica until it serves the version. It gives up on an unresponsive
// replica and on one whose zone is drained.
func (w *weightsManager) awaitVersion(ctx context.Context, target weightplan.Target) bool {
	respondedAt := time.Now()
	for {
		if w.control.view.Load().IsDrained(target.Replica.Zone) {
			return false
		}
		report, err := w.report(ctx, target.Replica)
		if err == nil && w.recordReport(target, report) {
			return true
		}
		if err == nil {
			respondedAt = time.Now()
		}
		if time.Since(respondedAt) > unresponsiveAfter {
			return false
		}
		select {
		case <-time.After(reportInterval):
		case <-ctx.Done():
			return false
		}
	}
}

// report requests a replica's status within orderTimeout.
func (w *weightsManager) report(ctx context.Context, replica sitestate.Replica) (dialect.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return w.replica.Report(ctx, replica)
}
