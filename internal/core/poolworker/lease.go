package poolworker

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// leaseMargin is the share of the lease's length that is given up as a margin
	// for the drift of clocks.
	leaseMargin = 10
	// renewals is the number of renewals sent within the lease's length.
	renewals = 3
	// renewalPause is the wait before a renewal that failed is sent again.
	renewalPause = 100 * time.Millisecond
)

// acquire asks for the pool's lease. Its time counts from before the request was
// sent, so that this node gives up before the log does.
func (w *Worker) acquire(sent time.Time) {
	request := port.AcquireLease{
		Name: port.CoordinatorLease(w.config.Pool), Holder: w.config.Node, TTL: w.config.Lease,
	}
	w.propose(port.Command{AcquireLease: &request}, w.config.CallTimeout, func(now time.Time, result port.Result, failure *port.Error) {
		if w.phase != phaseAcquiring {
			return
		}
		if failure != nil || result.Error != nil || result.Lease == nil {
			w.lose(now, nil)
			return
		}
		w.epoch = result.Lease.Epoch
		w.held(sent)
		w.readState()
	})
}

// readState reads the delivery state under the new lease, if the pool feeds a
// trainer, and begins.
func (w *Worker) readState() {
	w.phase = phaseReading
	w.readLedger(func(now time.Time, state *port.LedgerState, failure *port.Error) {
		switch {
		case w.phase != phaseReading:
		case failure != nil || !now.Before(w.leaseUntil):
			w.lose(now, nil)
		default:
			w.begin(now, state)
		}
	})
}

// readLedger reads the pool's delivery state at a position of the log: the log
// answers any commit with it, also one that it refuses.
func (w *Worker) readLedger(take func(time.Time, *port.LedgerState, *port.Error)) {
	empty := port.CommitBatch{Pool: w.config.Pool, CoordinatorEpoch: w.epoch}
	w.propose(port.Command{CommitBatch: &empty}, w.config.CallTimeout, func(now time.Time, result port.Result, failure *port.Error) {
		if failure == nil && result.Ledger == nil {
			failure = port.NewError(port.NotRun, port.CodeUnavailable, "no delivery state in the answer")
		}
		take(now, result.Ledger, failure)
	})
}

// held notes that the lease was granted or renewed by a request sent then.
func (w *Worker) held(sent time.Time) {
	length := w.config.Lease
	w.leaseUntil = sent.Add(length - length/leaseMargin)
	w.nextRenewal = sent.Add(length / renewals)
}

// renew sends a renewal when it is time, and stops the worker when the lease has
// run out by the local clock.
func (w *Worker) renew(now time.Time) {
	if !now.Before(w.leaseUntil) {
		w.lose(now, nil)
		return
	}
	if w.renewing || now.Before(w.nextRenewal) {
		return
	}
	w.renewing = true
	request := port.AcquireLease{
		Name: port.CoordinatorLease(w.config.Pool), Holder: w.config.Node, TTL: w.config.Lease, Epoch: w.epoch,
	}
	w.propose(port.Command{AcquireLease: &request}, w.leaseUntil.Sub(now), func(answered time.Time, result port.Result, failure *port.Error) {
		w.renewed(answered, now, result, failure)
	})
}

// renewed takes the outcome of a renewal that was sent at a time.
func (w *Worker) renewed(now, sent time.Time, result port.Result, failure *port.Error) {
	w.renewing = false
	switch {
	case w.phase != phaseRunning:
	case failure != nil:
		// The next tick asks again while the lease lasts.
		w.nextRenewal = now.Add(renewalPause)
	case result.Error != nil:
		w.lose(now, nil)
	default:
		w.held(sent)
		w.step(now, coordinator.LeaseRenewed{Until: w.leaseUntil})
	}
}

// release gives the lease back and ends the worker.
func (w *Worker) release(now time.Time) {
	if w.phase == phaseEnded {
		return
	}
	w.lose(now, nil)
	if w.epoch == 0 {
		return
	}
	given := port.ReleaseLease{Name: port.CoordinatorLease(w.config.Pool), Holder: w.config.Node, Epoch: w.epoch}
	w.propose(port.Command{ReleaseLease: &given}, w.config.CallTimeout, nil)
}

// lose stops at once: the lease ran out or belongs to someone else.
func (w *Worker) lose(now time.Time, cause error) {
	if w.phase == phaseEnded {
		return
	}
	w.phase = phaseEnded
	w.step(now, coordinator.LeaseLost{})
	w.emit(Ended{Cause: cause})
}
