package sitecontrol

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// closeShare is the fraction of UsageDue after which a window is closed. Delayed
	// reports of fronts arrive before; the rest covers a change of holder and retries.
	closeShare = 0.4
	// maxReportDelay is the longest time that a front takes to repeat a report once a leader
	// accepts it: its pending attempt times out, then it pauses.
	maxReportDelay = 2 * time.Second
	// usageCheckInterval is the period of the leader's checks for windows to close and report.
	usageCheckInterval = 300 * time.Millisecond
	// usageTimeout limits one call to the provider; minUsageBackoff and maxUsageBackoff
	// limit the backoff after failures, which doubles.
	usageTimeout    = 2 * time.Second
	minUsageBackoff = 200 * time.Millisecond
	maxUsageBackoff = 2 * time.Second
	// reportersPerSecond is the target rate of reports from all fronts: each of 56 fronts may
	// report every 0.28 s, each of 660 every 3.3 s.
	reportersPerSecond = 200
	// maxUsageBatch limits the reports of one log entry.
	maxUsageBatch = 256
)

// Provider is the service that receives reports of usage.
type Provider interface {
	// ReportUsage reports a window and returns the HTTP status. Reports may be repeated.
	ReportUsage(ctx context.Context, by Authority, total usage.Total) (status int, err error)
}

// Authority identifies the caller of the provider.
type Authority struct {
	// Machine holds the lease; Fence is its term, which increases with each change of
	// the holder.
	Machine string
	Fence   uint64
}

// pendingUsage is a report of a front that waits for its commit.
type pendingUsage struct {
	report  usage.Report
	arrived time.Duration
	done    chan error
}

// usageManager commits the counts of fronts and reports them to the provider by window. The
// counts of a window are committed first, so that every holder reports the same ones.
type usageManager struct {
	control *Control
	clock   *siteClock
	reports chan pendingUsage
	// closes receives the last window to close. The goroutine of run proposes reports and
	// closes, so that no window is closed between the choice of a report's windows and its
	// proposal.
	closes chan usage.Window
	// proposedClose is the last window that this process proposed to close, which may still be
	// committed; the goroutine of run owns it.
	proposedClose usage.Window

	// checkedAt is when the leader last checked, and acceptsSince when it began to accept
	// reports, 0 while it does not; the goroutine of Control.lead owns them.
	checkedAt, acceptsSince time.Duration
	// sending is set while a call to the provider is in flight. retryAt is the earliest time
	// of the next call, a time.Duration of the clock; backoff is the last backoff, 0 after
	// a success.
	sending atomic.Bool
	retryAt atomic.Int64
	backoff atomic.Int64
	// fronts counts the fronts that reported recently.
	fronts reporterCount
}

func newUsageManager(control *Control) *usageManager {
	return &usageManager{control: control, clock: newSiteClock(control), reports: make(chan pendingUsage, maxUsageBatch), closes: make(chan usage.Window, 1)}
}

// enabled reports whether usage reporting is configured.
func (u *usageManager) enabled() bool {
	return u.control.config.Provider != nil && u.control.config.UsageWindow > 0
}

// accept commits a report, as the leader.
func (u *usageManager) accept(ctx context.Context, report usage.Report) (Answer, error) {
	if !u.enabled() {
		return Answer{}, nil
	}
	waiting := pendingUsage{report: report, arrived: u.clock.now(), done: make(chan error, 1)}
	select {
	case u.reports <- waiting:
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
	select {
	case err := <-waiting.done:
		return Answer{Pause: u.fronts.pause(report.Reporter, time.Now())}, err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// run commits reports and closes windows; all reports that are queued share one log entry.
func (u *usageManager) run(ctx context.Context) error {
	for {
		var batch []pendingUsage
		select {
		case first := <-u.reports:
			batch = append(batch, first)
		case last := <-u.closes:
			u.close(ctx, last)
			continue
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(batch) < maxUsageBatch && len(u.reports) > 0 {
			batch = append(batch, <-u.reports)
		}
		err := u.commit(ctx, batch)
		for _, waiting := range batch {
			waiting.done <- err
		}
	}
}

func (u *usageManager) commit(ctx context.Context, batch []pendingUsage) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	open, err := u.oldestOpen(ctx)
	if err != nil {
		return err
	}
	windowed := make([]usage.WindowedReport, 0, len(batch))
	moved := uint64(0)
	for _, waiting := range batch {
		at, ok := u.clock.timeOf(waiting.arrived)
		if !ok {
			return port.NewError(port.NotRun, port.CodeUnavailable, "the time of the site is not known yet")
		}
		report, movedOfReport := waiting.report.AssignWindows(at, u.control.config.UsageWindow).Carry(open)
		windowed = append(windowed, report)
		moved += movedOfReport
	}
	outcome, err := u.control.propose(ctx, sitestate.Command{Usage: &sitestate.Usage{Reports: windowed}})
	if err == nil && (moved > 0 || outcome == sitestate.OutcomeIgnored) {
		u.control.config.Logger.Warn().Str(eventlog.Field, eventlog.UsageLate).Int("reports", len(batch)).
			Uint64("counted_later", moved).Bool("all_counted", outcome != sitestate.OutcomeIgnored).
			Msg("usage was reported after its window was closed")
	}
	return err
}

// oldestOpen returns the oldest window that is not closed and that no pending proposal closes.
func (u *usageManager) oldestOpen(ctx context.Context) (usage.Window, error) {
	published := u.control.member.PublishedState()
	if published == nil || !published.LeaderReady {
		return 0, port.NewError(port.NotRun, port.CodeUnavailable, "this member does not lead")
	}
	var open usage.Window
	err := u.control.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		if oldest, started := machine.(*sitestate.State).OldestOpenUsage(); started {
			open = oldest
		}
	})
	if err != nil {
		return 0, err // the inspection may still be running
	}
	return max(open, u.proposedClose+1), nil
}

// close closes all windows up to last.
func (u *usageManager) close(ctx context.Context, last usage.Window) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	u.proposedClose = max(u.proposedClose, last)
	// The next check of a leader proposes it again if it fails.
	_, _ = u.control.propose(ctx, sitestate.Command{Usage: &sitestate.Usage{CloseUpTo: &last}})
}

// mayClose reports whether the fronts have had the time to report since this leader accepts
// reports. Before, the counts of finished windows may still be pending at fronts.
func (u *usageManager) mayClose(now time.Duration) bool {
	return now-u.acceptsSince >= min(maxReportDelay, u.reportTime())
}

// reportTime is how long after its end a window is open for the reports of fronts.
func (u *usageManager) reportTime() time.Duration {
	return time.Duration(closeShare * float64(u.control.config.UsageDue))
}

// tick closes finished windows and reports them, as the leader.
func (u *usageManager) tick(ctx context.Context, leads bool) {
	if !u.enabled() {
		return
	}
	now := u.clock.now()
	u.clock.tick(ctx, leads, now)
	if !leads {
		u.acceptsSince = 0
		return
	}
	if now-u.checkedAt < usageCheckInterval {
		return
	}
	u.checkedAt = now
	at, ok := u.clock.timeOf(now)
	if !ok {
		return
	}
	if u.acceptsSince == 0 {
		u.acceptsSince = now
	}
	lastWindow := usage.WindowAt(at.Add(-u.reportTime()), u.control.config.UsageWindow) - 1
	var unsent []usage.Total
	var due bool
	if u.control.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		unsent = machine.(*sitestate.State).UnreportedUsage()
		due = u.mayClose(now) && machine.(*sitestate.State).UsageDue(lastWindow)
	}) != nil {
		return
	}
	if due {
		select {
		case u.closes <- lastWindow:
		default: // the one before is being proposed
		}
		return
	}
	if len(unsent) > 0 && !u.sending.Load() && now >= time.Duration(u.retryAt.Load()) && u.control.lease.acquire(ctx) {
		u.sending.Store(true)
		go u.send(ctx, unsent[0])
	}
}

// send makes one attempt to report a window.
func (u *usageManager) send(ctx context.Context, total usage.Total) {
	defer u.sending.Store(false)
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	started, status := time.Now(), 0
	confirmed, err := u.control.lease.confirm(ctx)
	if err == nil {
		err = confirmed.check()
	}
	if err == nil {
		status, err = u.control.config.Provider.ReportUsage(ctx, Authority{Machine: u.control.config.Machine, Fence: confirmed.term}, total)
	}
	if err == nil && status == http.StatusOK {
		_, err = u.control.propose(ctx, sitestate.Command{Usage: &sitestate.Usage{Reported: &total.Window}})
	}
	u.control.config.Logger.Info().Str(eventlog.Field, eventlog.UsageReported).Int64("window", int64(total.Window)).Int("tenants", len(total.Counts)).
		Uint64("fence", confirmed.term).Int("status", status).Dur("took", time.Since(started)).Err(err).Msg("a window of usage was reported")
	pause := time.Duration(0)
	if err != nil || status != http.StatusOK {
		pause = min(maxUsageBackoff, max(minUsageBackoff, 2*time.Duration(u.backoff.Load())))
	}
	u.backoff.Store(int64(pause))
	u.retryAt.Store(int64(u.clock.now() + pause))
}
