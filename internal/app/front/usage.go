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
	// usageTimeout bounds one report to the control group, and usageRetry is the pause
	// after one that was not kept.
	usageTimeout = 1500 * time.Millisecond
	usageRetry   = 150 * time.Millisecond
)

// UsageReporter hands the counts of tenants' requests on to the control group: the first
// ones at once, so that little is lost with the process, and those that come meanwhile
// together. It is safe for concurrent use; Run has to run.
type UsageReporter struct {
	// send hands a report on. It gives the pause until the next one once the report is
	// kept.
	send   func(ctx context.Context, report usage.Report) (pause time.Duration, err error)
	clock  boottime.Clock
	logger *log.Logger
	wake   chan struct{}

	mutex  sync.Mutex
	outbox *usage.Outbox
}

// NewUsageReporter makes a UsageReporter; reporter names this start of the process. The clock
// is that of the process's Proxy.
func NewUsageReporter(reporter string, send func(context.Context, usage.Report) (time.Duration, error), clock boottime.Clock, logger *log.Logger) *UsageReporter {
	return &UsageReporter{send: send, clock: clock.OrSystem(), logger: logger, wake: make(chan struct{}, 1), outbox: usage.NewOutbox(reporter)}
}

// Note counts a request that began to run. It does not wait. A nil UsageReporter counts
// nothing.
func (u *UsageReporter) Note(tenant string, at time.Duration) {
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

// Run hands on what is counted until the context ends.
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

// flush hands on all that is counted.
func (u *UsageReporter) flush(ctx context.Context) error {
	for {
		u.mutex.Lock()
		report, any := u.outbox.Next(u.clock())
		u.mutex.Unlock()
		if !any {
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

// sendOnce hands a report on and gives the pause until the next try.
func (u *UsageReporter) sendOnce(ctx context.Context, report usage.Report) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	pause, err := u.send(ctx, report)
	if err != nil {
		u.logger.Warn().Str(eventlog.Field, eventlog.UsageNotKept).Uint64("sequence", report.Sequence).Int("requests", len(report.Requests)).
			Err(err).Msg("counts of tenants' requests are not kept yet")
		return usageRetry
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.outbox.Acknowledge()
	return pause
}

// Drain waits until all that is counted is kept, or the end of ctx: a process that stops
// takes what it holds with it.
func (u *UsageReporter) Drain(ctx context.Context) {
	if u == nil {
		return
	}
	ticker := time.NewTicker(usageRetry / 2)
	defer ticker.Stop()
	for u.holds() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (u *UsageReporter) holds() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return !u.outbox.Empty()
}
