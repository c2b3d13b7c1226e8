package main

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/app/sitestore"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
)

// keepJobsMargin is added to the time that a job can be asked about.
const keepJobsMargin = 15 * time.Second

// siteStoreCommand runs the process of a store machine.
type siteStoreCommand struct{ siteSettings }

// Run serves until the process is told to stop.
func (c *siteStoreCommand) Run(streams) error {
	p, err := newSiteProcess(c.Settings, "store")
	if err != nil {
		return err
	}
	var sender *proxy.Proxy
	watcher := p.newWatcher(siteview.Config{Changed: func(view *siteview.View) { sender.Observe(view) }})
	withholds := sitecontrol.NewGuard(p.file.Machine, watcher, p.logger)
	sender = p.newProxy(watcher, withholds, nil)
	store := sitestore.New(sitestore.Config{
		Machine: p.file.Machine, Zone: p.file.Zone, Address: p.file.PeerAddress(), Folder: p.file.DataFolder, FileSystem: fileSystem(p.file.DataFolder),
		Wire: p.wire, Dialect: p.dialect, Watcher: watcher, Proxy: sender, Logger: p.logger, Seed: p.seed,
		Cold: p.file.ColdLimits(), Recorder: p.metrics, ToleratedLosses: p.file.ToleratedLosses, KeepJobs: p.file.KeepJobs() + keepJobsMargin,
		MaxJobBytes: int(jobShare * p.file.MemoryMegabytes * megabyte),
	})
	store.Register(p.server)
	p.metrics.Observe(func() metrics.SiteReading {
		reading := metrics.SiteReading{InFlight: store.OpenItems(), JobBytes: store.JobBytes(), LinesDropped: p.lines.Dropped()}
		return ofGroup(ofView(reading, watcher), store.PublishedState())
	})
	drain := func(ctx context.Context) { store.TransferLeadership(ctx) }
	return p.serve(nil, watcher.SetSeeds, drain, watcher.Run, withholds.Run, store.Run)
}
