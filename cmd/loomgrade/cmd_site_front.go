package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/app/front"
	"github.com/loomgrade/loomgrade/internal/app/held"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/platform"
)

const (
	// drainNotice is how long a front that stops goes on taking connections:
	// readiness is asked every second and two misses take it out.
	drainNotice = 2600 * time.Millisecond
	// keepAlive is how long callers may leave a connection unused before they
	// send on it again; a front that stops closes none before. It is not much
	// longer than drainNotice, so that a stop takes no longer for it.
	keepAlive = 3 * time.Second
	// heldShare is the part of a front's memory that bodies of requests and answers may take
	// that are held for callers. A request's body stands there once, an answer's once; as
	// much again is what the collector has not freed yet, and 30 MB are the process's own.
	heldShare = 0.25
	// stopReserve is left of the grace for the process's own end.
	stopReserve = 1200 * time.Millisecond
)

// siteFrontCommand runs a front.
type siteFrontCommand struct{ siteSettings }

// Run serves until the process is told to stop.
func (c *siteFrontCommand) Run(streams) error {
	p, err := newSiteProcess(c.Settings, "front")
	if err != nil {
		return err
	}
	var sender *proxy.Proxy
	watcher := p.newWatcher(siteview.Config{
		Provisional: true, Interest: sitestate.InterestRouting, Changed: func(view *siteview.View) { sender.Observe(view) },
	})
	withholds := sitecontrol.NewGuard(p.file.Machine, watcher, p.logger)
	budget := held.NewBudget(int64(heldShare * p.file.MemoryMegabytes * megabyte))
	sender = p.newProxy(watcher, withholds, budget)
	counted := p.newUsageReporter(watcher)
	idle := httpserve.NewIdleConnections(keepAlive)
	served := front.New(front.Config{
		Dialect: p.dialect, Watcher: watcher, Proxy: sender, Logger: p.logger, Idle: idle, Recorder: p.metrics,
		MemoryBudget: budget, Usage: counted, RevokeWithin: p.file.RevokeWithin(),
		Jobs: jobsapi.NewClient(jobsapi.Config{Wire: p.wire, Zone: p.file.Zone, View: watcher.State, AssignShard: sitecontrol.Placer(watcher), StoredWithin: watcher.StoredWithin}),
	})
	p.metrics.Observe(func() metrics.SiteReading {
		return ofView(metrics.SiteReading{InFlight: served.InFlight(), HeldBytes: budget.Used(), LinesDropped: p.lines.Dropped()}, watcher)
	})
	callers := newService(p.file.CallerListen, platform.FrontHandler(served))
	callers.server.ConnState = idle.Observe
	readiness := newService(p.file.ReadinessListen, platform.ReadinessHandler(served.Ready))
	drain := func(ctx context.Context) {
		stopping, cancel := context.WithTimeout(ctx, p.file.Grace()-stopReserve)
		defer cancel()
		served.Drain()
		wait(stopping, drainNotice)
		served.AwaitIdle(stopping)
		served.Close()
		_ = callers.server.Shutdown(stopping)
		counted.Drain(stopping)
		withholds.Drain(stopping)
	}
	tasks := []func(context.Context) error{watcher.Run, withholds.Run}
	if counted != nil {
		tasks = append(tasks, counted.Run)
	}
	return p.serve([]service{callers, readiness}, watcher.SetSeeds, drain, tasks...)
}

// newUsageReporter makes what counts tenants' requests; nil where usage is not reported.
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

// wait waits for a time or the end of the context.
func wait(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
