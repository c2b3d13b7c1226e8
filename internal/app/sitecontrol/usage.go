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
	// fixShare is the part of the time until a report is due after which a window is
	// closed: reports of fronts that were held up come in until then, and the rest is
	// enough for a new holder to wait for its lease and for calls that fail.
	fixShare = 0.4
	// usageLook is how often the leader looks for windows to close and to report.
	usageLook = 300 * time.Millisecond
	// usageTimeout bounds one call to the provider, and firstUsagePause and
	// longestUsagePause the time between two after failures: it doubles.
	usageTimeout      = 2 * time.Second
	firstUsagePause   = 200 * time.Millisecond
	longestUsagePause = 2 * time.Second
	// reportersPerSecond is how many reports of fronts the leader wants in a second: 56
	// fronts may send one each 0.28 s, 660 each 3.3 s. It is a choice, not measured.
	reportersPerSecond = 200
	// maxUsageBatch bounds the reports of one entry of the log.
	maxUsageBatch = 256
)

// Provider is the service that usage is reported to.
type Provider interface {
	// ReportUsage reports a window and gives the answer's status. The same report may be
	// sent again.
	ReportUsage(ctx context.Context, by Authority, total usage.Total) (status int, err error)
}

// Authority says who calls the provider.
type Authority struct {
	// Machine is the holder of the lease, and Fence its term, which rises with each
	// other holder.
	Machine string
	Fence   uint64
}

// usageReport is a report of a front that waits to be kept.
type usageReport struct {
	report  usage.Report
	arrived time.Duration
	kept    chan error
}

// usageManager keeps what fronts count and reports it to the provider, window by window.
// The counts of a window are committed before they are sent, so that every holder sends
// the same ones.
type usageManager struct {
	control *Control
	clock   *siteClock
	reports chan usageReport

	// lookedAt is when the leader last looked; the goroutine of Control.lead owns it.
	lookedAt time.Duration
	// sending is set while a call to the provider is under way. After one that failed the
	// next may begin at retryAt, a time.Duration of its clock; pause is how
	// long that was after the failure, 0 if the last call did not fail.
	sending atomic.Bool
	retryAt atomic.Int64
	pause   atomic.Int64
	// fronts is how many fronts reported of late.
	fronts reporterCount
}

func newUsageManager(control *Control) *usageManager {
	return &usageManager{control: control, clock: newSiteClock(control), reports: make(chan usageReport, maxUsageBatch)}
}

// enabled reports whether usage is reported at all.
func (u *usageManager) enabled() bool {
	return u.control.config.Provider != nil && u.control.config.UsageWindow > 0
}

// take keeps a report, as the leader.
func (u *usageManager) take(ctx context.Context, report usage.Report) (Answer, error) {
	if !u.enabled() {
		return Answer{}, nil
	}
	waiting := usageReport{report: report, arrived: u.clock.now(), kept: make(chan error, 1)}
	select {
	case u.reports <- waiting:
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
	select {
	case err := <-waiting.kept:
		return Answer{Pause: u.fronts.pause(report.Reporter, time.Now())}, err
	case <-ctx.Done():
		return Answer{}, ctx.Err()
	}
}

// run puts reports into the log, all that wait in one entry.
func (u *usageManager) run(ctx context.Context) error {
	for {
		var batch []usageReport
		select {
		case first := <-u.reports:
			batch = append(batch, first)
		case <-ctx.Done():
			return ctx.Err()
		}
		for len(batch) < maxUsageBatch && len(u.reports) > 0 {
			batch = append(batch, <-u.reports)
		}
		err := u.keep(ctx, batch)
		for _, waiting := range batch {
			waiting.kept <- err
		}
	}
}

func (u *usageManager) keep(ctx context.Context, batch []usageReport) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	noted := make([]usage.WindowedReport, 0, len(batch))
	for _, waiting := range batch {
		at, sure := u.clock.timeOf(waiting.arrived)
		if !sure {
			return port.NewError(port.NotRun, port.CodeUnavailable, "the time of the site is not known yet")
		}
		noted = append(noted, waiting.report.AssignWindows(at, u.control.config.UsageWindow))
	}
	outcome, err := u.control.propose(ctx, sitestate.Command{Usage: &sitestate.Usage{Reports: noted}})
	if err == nil && outcome == sitestate.OutcomeIgnored {
		u.control.config.Logger.Warn().Str(eventlog.Field, eventlog.UsageLate).Int("reports", len(batch)).
			Msg("requests were not counted: the report of their window is made already")
	}
	return err
}

// tend closes windows whose time is over and reports them, as the leader.
func (u *usageManager) tend(ctx context.Context, leads bool) {
	if !u.enabled() {
		return
	}
	now := u.clock.now()
	u.clock.tend(ctx, leads, now)
	if !leads || now-u.lookedAt < usageLook {
		return
	}
	u.lookedAt = now
	at, sure := u.clock.timeOf(now)
	if !sure {
		return
	}
	over := usage.WindowAt(at.Add(-time.Duration(fixShare*float64(u.control.config.UsageDue))), u.control.config.UsageWindow) - 1
	var unsent []usage.Total
	var due bool
	if u.control.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		unsent = machine.(*sitestate.State).UnreportedUsage()
		due = machine.(*sitestate.State).UsageDue(over)
	}) != nil {
		return
	}
	if due {
		_, _ = u.control.propose(ctx, sitestate.Command{Usage: &sitestate.Usage{CloseUpTo: &over}})
		return
	}
	if len(unsent) > 0 && !u.sending.Load() && now >= time.Duration(u.retryAt.Load()) && u.control.lease.hold(ctx) {
		u.sending.Store(true)
		go u.send(ctx, unsent[0])
	}
}

// send reports one window, once.
func (u *usageManager) send(ctx context.Context, total usage.Total) {
	defer u.sending.Store(false)
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	began, status := time.Now(), 0
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
		Uint64("fence", confirmed.term).Int("status", status).Dur("took", time.Since(began)).Err(err).Msg("a window of usage was reported")
	pause := time.Duration(0)
	if err != nil || status != http.StatusOK {
		pause = min(longestUsagePause, max(firstUsagePause, 2*time.Duration(u.pause.Load())))
	}
	u.pause.Store(int64(pause))
	u.retryAt.Store(int64(u.clock.now() + pause))
}
