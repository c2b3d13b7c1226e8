package front

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/usage"
)

const (
	// usageTimeout limits one report to the control group; usageRetry is the pause after a
	// report that failed.
	usageTimeout = 1500 * time.Millisecond
	usageRetry   = 150 * time.Millisecond
)

// UsageReporter reports the request counts of tenants to the control group. It reports the
// first requests immediately, so that a crash loses few of them, and later ones in batches.
// It is safe for concurrent use and reports only while Run runs.
type UsageReporter struct {
	// send reports to the control group. It returns the pause before the next report once
	// the report is stored.
	send   func(ctx context.Context, report usage.Report) (pause time.Duration, err error)
	clock  boottime.Clock
	logger *log.Logger
	wake   chan struct{}

	mutex  sync.Mutex
	outbox *usage.Outbox
}

// NewUsageReporter returns a UsageReporter. The name reporter identifies this start of the
// process. The clock must be that of the process's Proxy.
func NewUsageReporter(reporter string, send func(context.Context, usage.Report) (time.Duration, error), clock boottime.Clock, logger *log.Logger) *UsageReporter {
	return &UsageReporter{send: send, clock: clock.OrSystem(), logger: logger, wake: make(chan struct{}, 1), outbox: usage.NewOutbox(reporter)}
}

// Add counts a started request without blocking. A nil UsageReporter counts nothing.
func (u *UsageReporter) Add(tenant string, at time.Duration) {
	if u == nil || tenant == "" {
		return
	}
	u.mutex.Lock()
	u.outbox.Add(tenant, at)
	u.mutex.Unlock()
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// Run reports counted requests until ctx ends.
func (u *UsageReporter) Run(ctx context.Context) error {
	for {
		select {
		case <-u.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := u.flush(ctx); err != nil {
			return err
		}
	}
}

// flush reports until no counted requests are pending.
func (u *UsageReporter) flush(ctx context.Context) error {
	for {
		u.mutex.Lock()
		report, found := u.outbox.Next(u.clock())
		u.mutex.Unlock()
		if !found {
			return nil
		}
		pause := u.sendOnce(ctx, report)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendOnce sends a report and returns the pause before the next one.
func (u *UsageReporter) sendOnce(ctx context.Context, report usage.Report) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	pause, err := u.send(ctx, report)
	if err != nil {
		u.logger.Warn().Str(eventlog.Field, eventlog.UsageNotStored).Uint64("sequence", report.Sequence).Int("requests", len(report.Requests)).
			Err(err).Msg("usage report not stored; retrying")
		return usageRetry
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.outbox.Acknowledge()
	return pause
}

// Drain blocks until every counted request is reported, or until ctx ends. Counts that are
// still pending when the process exits are lost.
func (u *UsageReporter) Drain(ctx context.Context) {
	if u == nil {
		return
	}
	ticker := time.NewTicker(usageRetry / 2)
	defer ticker.Stop()
	for u.pending() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (u *UsageReporter) pending() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return !u.outbox.Empty()
}
