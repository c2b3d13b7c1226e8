package poolworker

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// leaseMarginDivisor divides the lease duration; the quotient is the margin for
	// clock drift.
	leaseMarginDivisor = 10
	// renewalsPerLease is the number of renewals sent within one lease.
	renewalsPerLease = 3
	// renewalRetryDelay is the wait before a failed renewal is retried.
	renewalRetryDelay = 100 * time.Millisecond
)

// acquire requests the pool's lease. The lease duration counts from the time at which the
// request was sent, so that it expires at this node before it expires in the log.
func (w *Worker) acquire(sent time.Time) {
	request := port.AcquireLease{
		Name: port.CoordinatorLease(w.config.Pool), Holder: w.config.Node, TTL: w.config.Lease,
	}
	w.propose(port.Command{AcquireLease: &request}, w.config.CallTimeout, func(now time.Time, result port.Result, failure *port.Error) {
		if w.phase != phaseAcquiring {
			return
		}
		if failure != nil || result.Error != nil || result.Lease == nil {
			w.end(now, nil)
			return
		}
		w.epoch = result.Lease.Epoch
		w.extendLease(sent)
		w.readState()
	})
}

// readState reads the delivery state under the new lease and starts the coordinator.
func (w *Worker) readState() {
	w.phase = phaseReading
	w.readLedger(func(now time.Time, state *port.LedgerState, failure *port.Error) {
		switch {
		case w.phase != phaseReading:
		case failure != nil || !now.Before(w.leaseUntil):
			w.end(now, nil)
		default:
			w.start(now, state)
		}
	})
}

// readLedger reads the pool's delivery state through the log. It commits an empty batch:
// the log rejects it, and the result of any commit contains the delivery state.
func (w *Worker) readLedger(done func(time.Time, *port.LedgerState, *port.Error)) {
	empty := port.CommitBatch{Pool: w.config.Pool, CoordinatorEpoch: w.epoch}
	w.propose(port.Command{CommitBatch: &empty}, w.config.CallTimeout, func(now time.Time, result port.Result, failure *port.Error) {
		if failure == nil && result.Ledger == nil {
			failure = port.NewError(port.NotRun, port.CodeUnavailable, "the commit's result contains no delivery state")
		}
		done(now, result.Ledger, failure)
	})
}

// extendLease sets the lease's end and the next renewal from the time at which the
// granted request was sent.
func (w *Worker) extendLease(sent time.Time) {
	length := w.config.Lease
	w.leaseUntil = sent.Add(length - length/leaseMarginDivisor)
	w.nextRenewal = sent.Add(length / renewalsPerLease)
}

// renew sends a renewal when one is due, and ends the worker when the lease has expired
// by the local clock.
func (w *Worker) renew(now time.Time) {
	if !now.Before(w.leaseUntil) {
		w.end(now, nil)
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

// renewed handles the result of a renewal.
func (w *Worker) renewed(now, sent time.Time, result port.Result, failure *port.Error) {
	w.renewing = false
	switch {
	case w.phase != phaseRunning:
	case failure != nil:
		// Tick retries until the lease expires.
		w.nextRenewal = now.Add(renewalRetryDelay)
	case result.Error != nil:
		w.end(now, nil)
	default:
		w.extendLease(sent)
		w.step(now, coordinator.LeaseRenewed{Until: w.leaseUntil})
	}
}

// release ends the worker and releases the lease.
func (w *Worker) release(now time.Time) {
	if w.phase == phaseEnded {
		return
	}
	w.end(now, nil)
	if w.epoch == 0 {
		return
	}
	request := port.ReleaseLease{Name: port.CoordinatorLease(w.config.Pool), Holder: w.config.Node, Epoch: w.epoch}
	w.propose(port.Command{ReleaseLease: &request}, w.config.CallTimeout, nil)
}

// end ends the worker immediately, without releasing the lease.
func (w *Worker) end(now time.Time, cause error) {
	if w.phase == phaseEnded {
		return
	}
	w.phase = phaseEnded
	w.step(now, coordinator.LeaseLost{})
	w.emit(Ended{Cause: cause})
}
