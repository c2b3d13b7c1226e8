package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/app/front"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/platform"
)

const (
	// drainDelay is how long a stopping front keeps accepting connections. Readiness is
	// probed every second; two failed probes remove the front.
	drainDelay = 2600 * time.Millisecond
	// callerKeepAlive is how long callers may reuse an idle connection. A stopping front
	// closes no connection earlier, so a longer time delays its exit.
	callerKeepAlive = 3 * time.Second
	// shutdownReserve is the part of the grace period reserved for the process to exit.
	shutdownReserve = 1200 * time.Millisecond
)

// siteFrontCommand runs a front process.
type siteFrontCommand struct{ siteSettings }

// Run serves until a stop signal.
func (c *siteFrontCommand) Run(streams) error {
	p, err := newSiteProcess(c.Settings, "front")
	if err != nil {
		return err
	}
	var sender *proxy.Proxy
	watcher := p.newWatcher(siteview.Config{
		Provisional: true, Interest: sitestate.InterestRouting, Changed: func(view *siteview.View) { sender.Observe(view) },
	})
	requestGuard := sitecontrol.NewGuard(p.file.Machine, watcher, p.logger)
	budget := p.limits.clients
	sender = p.newProxy(watcher, requestGuard, budget)
	usageReporter := p.newUsageReporter(watcher)
	idle := httpserve.NewIdleConnections(callerKeepAlive)
	frontServer := front.New(front.Config{
		Dialect: p.dialect, Watcher: watcher, Proxy: sender, Logger: p.logger, Idle: idle, Recorder: p.metrics,
		MemoryBudget: budget, Usage: usageReporter, RevokeWithin: p.file.RevokeWithin(),
		Jobs: jobsapi.NewClient(jobsapi.Config{Wire: p.wire, Zone: p.file.Zone, View: watcher.State, AssignShard: sitecontrol.Placer(watcher), StoredWithin: watcher.StoredWithin, Logger: p.logger}),
	})
	p.metrics.Observe(func() metrics.SiteReading {
		reading := metrics.SiteReading{InFlight: frontServer.InFlight(), HeldBytes: budget.Used(), LinesDropped: p.logWriter.Dropped()}
		return addSendReading(addViewReading(reading, watcher), sender)
	})
	callers := newService(p.file.CallerListen, httpserve.ServerConfig{
		Handler: platform.FrontHandler(frontServer), Limits: p.limits.clientLimits(), Current: frontServer.Limits, Memory: budget, Idle: idle,
	})
	readiness := p.newProbeService(p.file.ReadinessListen, platform.ReadinessHandler(frontServer.Ready))
	drain := func(ctx context.Context) {
		began := time.Now()
		end := began.Add(p.file.Grace() - shutdownReserve)
		stopping, cancel := context.WithDeadline(ctx, end)
		defer cancel()
		frontServer.Drain(front.PlannedStop{CallersAware: began.Add(callerKeepAlive), AnswerBy: end.Add(-responseReserve)})
		wait(stopping, drainDelay)
		frontServer.CloseConnections(stopping)
		frontServer.Close()
		sender.Close()
		frontServer.LogUnfinished()
		finishing, cancel := context.WithDeadline(ctx, end.Add(responseReserve))
		defer cancel()
		callers.finish(finishing)
		usageReporter.Drain(finishing)
		requestGuard.Drain(finishing)
	}
	tasks := []func(context.Context) error{watcher.Run, requestGuard.Run}
	if usageReporter != nil {
		tasks = append(tasks, usageReporter.Run)
	}
	return p.serve([]service{callers, readiness}, watcher.SetSeeds, drain, tasks...)
}

// newUsageReporter returns the reporter of tenants' usage, or nil if usage is not reported.
func (p *siteProcess) newUsageReporter(watcher *siteview.Watcher) *front.UsageReporter {
	if !p.file.ReportsUsage() {
		return nil
	}
	reporter := fmt.Sprintf("%s-%x", p.file.Machine, rand.Uint64())
	send := func(ctx context.Context, report usage.Report) (time.Duration, error) {
		var answer sitecontrol.Answer
		err := watcher.Call(ctx, sitecontrol.MethodCall, sitecontrol.Request{Usage: &report}, &answer)
		return answer.Pause, err
	}
	return front.NewUsageReporter(reporter, send, nil, p.logger)
}

// wait blocks for a duration or until the context is done.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
