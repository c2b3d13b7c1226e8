package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// acquire asks for the pool's lease. Its time counts from before the request was
// sent, so that this node gives up before the log does.
func (w *poolWorker) acquire() bool {
	intervals := w.node.config.Intervals
	ctx, cancel := context.WithTimeout(w.ctx, intervals.CallTimeout)
	defer cancel()
	sent := time.Now()
	result, err := w.node.config.Control.Propose(ctx, port.Command{AcquireLease: &port.AcquireLease{
		Name: port.CoordinatorLease(w.pool), Holder: w.node.config.ID, TTL: intervals.CoordinatorLease,
	}})
	if err != nil || result.Error != nil || result.Lease == nil {
		return false
	}
	w.epoch = result.Lease.Epoch
	w.held(sent)
	return true
}

// held notes that the lease was granted or renewed by a request sent then.
func (w *poolWorker) held(sent time.Time) {
	length := w.node.config.Intervals.CoordinatorLease
	w.leaseUntil = sent.Add(length - length/leaseMargin)
	w.nextRenewal = sent.Add(length / renewals)
}

// renew sends a renewal when it is time, and stops the worker when the lease has
// run out by the local clock.
func (w *poolWorker) renew(now time.Time) {
	if !now.Before(w.leaseUntil) {
		w.lose(now)
		return
	}
	if w.renewing || now.Before(w.nextRenewal) {
		return
	}
	w.renewing = true
	request := port.AcquireLease{
		Name: port.CoordinatorLease(w.pool), Holder: w.node.config.ID,
		TTL: w.node.config.Intervals.CoordinatorLease, Epoch: w.epoch,
	}
	until := w.leaseUntil
	w.tasks.Go(func() {
		ctx, cancel := context.WithDeadline(w.ctx, until)
		defer cancel()
		sent := time.Now()
		result, err := w.node.config.Control.Propose(ctx, port.Command{AcquireLease: &request})
		w.post(renewed{sent: sent, result: result, err: err})
	})
}

// renewed is the outcome of a renewal.
type renewed struct {
	sent   time.Time
	result port.Result
	err    error
}

func (e renewed) apply(w *poolWorker, now time.Time) {
	w.renewing = false
	switch {
	case e.err != nil:
		// The next tick asks again while the lease lasts.
		w.nextRenewal = now.Add(workerTick)
	case e.result.Error != nil:
		w.lose(now)
	default:
		w.held(e.sent)
		w.step(now, coordinator.LeaseRenewed{Until: w.leaseUntil})
	}
}

// releaseLease gives the lease back and ends the worker.
func (w *poolWorker) releaseLease(now time.Time) {
	if w.done {
		return
	}
	w.lose(now)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(w.ctx), w.node.config.Intervals.CallTimeout)
	defer cancel()
	_, _ = w.node.config.Control.Propose(ctx, port.Command{ReleaseLease: &port.ReleaseLease{
		Name: port.CoordinatorLease(w.pool), Holder: w.node.config.ID, Epoch: w.epoch,
	}})
}

// readLedger reads the pool's delivery state at a position of the log: the log
// answers any commit with it, also one that it refuses.
func (w *poolWorker) readLedger(ctx context.Context) (port.LedgerState, *port.Error) {
	ctx, cancel := context.WithTimeout(ctx, w.node.config.Intervals.CallTimeout)
	defer cancel()
	result, err := w.node.config.Control.Propose(ctx, port.Command{CommitBatch: &port.CommitBatch{
		Pool: w.pool, CoordinatorEpoch: w.epoch,
	}})
	if err != nil {
		return port.LedgerState{}, port.AsError(err)
	}
	if result.Ledger == nil {
		return port.LedgerState{}, port.NewError(port.NotRun, port.CodeUnavailable, "no delivery state in the answer")
	}
	return *result.Ledger, nil
}
