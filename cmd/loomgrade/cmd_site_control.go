package main

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/adapter/provider"
	"github.com/loomgrade/loomgrade/internal/app/callbody"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/platform"
)

const (
	// controlShutdownTimeout limits how long a control process waits for calls in flight.
	controlShutdownTimeout = 2 * time.Second
	// controlLinger is how long a stopping control process keeps idle connections open. It
	// exceeds the period of replicas' heartbeats.
	controlLinger = 1500 * time.Millisecond
)

// siteControlCommand runs a control process.
type siteControlCommand struct{ siteSettings }

// Run serves until a stop signal.
func (c *siteControlCommand) Run(streams) error {
	p, err := newSiteProcess(c.Settings, "control")
	if err != nil {
		return err
	}
	var usageProvider sitecontrol.Provider
	if p.file.ReportsUsage() {
		usageProvider = provider.New(p.file.ProviderAddress, p.dialect)
	}
	control := sitecontrol.New(sitecontrol.Config{
		Machine: p.file.Machine, Address: p.file.PeerAddress(), HeartbeatAddress: p.file.ControlListen,
		Seeds: p.file.SeedPeers(), Bootstrap: p.file.FirstStart, Folder: p.file.DataFolder, FileSystem: fileSystem(p.file.DataFolder), Wire: p.wire, Dialect: p.dialect,
		Logger: p.logger, Seed: p.seed, ToleratedLosses: p.file.ToleratedLosses, HolderLease: p.file.HolderLease(), Recorder: p.metrics,
		Zones:    p.file.Zones,
		Provider: usageProvider, UsageWindow: p.file.UsageWindow(), UsageDue: p.file.UsageDue(),
	})
	control.Register(p.server)
	p.metrics.Observe(func() metrics.SiteReading {
		view, state := control.View(), control.PublishedState()
		reading := metrics.SiteReading{
			Position: view.Position, Configuration: view.Configuration.Version,
			Confirmed: state != nil && state.Confirmed, HeldBytes: p.limits.clients.Used(), LinesDropped: p.logWriter.Dropped(),
		}
		return addGroupReading(reading, state)
	})
	connections := httpserve.NewUnannouncedConnections(controlLinger)
	operators := newService(p.file.ControlListen, httpserve.ServerConfig{
		Handler: platform.ControlHandler(control, callbody.NewReader(p.limits.clients)), Limits: p.limits.clientLimits(), Memory: p.limits.clients, Idle: connections,
	})
	drain := func(ctx context.Context) {
		control.TransferLeadership(ctx)
		stopping, cancel := context.WithTimeout(ctx, controlShutdownTimeout)
		defer cancel()
		connections.Stop(stopping)
		finishing, cancel := context.WithTimeout(ctx, responseReserve)
		defer cancel()
		operators.finish(finishing)
	}
	return p.serve([]service{operators}, control.SetSeeds, drain, control.Run)
}
