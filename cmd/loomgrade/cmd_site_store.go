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

// jobRetentionMargin extends the configured retention time of finished jobs.
const jobRetentionMargin = 15 * time.Second

// siteStoreCommand runs a store process.
type siteStoreCommand struct{ siteSettings }

// Run serves until a stop signal.
func (c *siteStoreCommand) Run(streams) error {
	p, err := newSiteProcess(c.Settings, "store")
	if err != nil {
		return err
	}
	var sender *proxy.Proxy
	watcher := p.newWatcher(siteview.Config{Changed: func(view *siteview.View) { sender.Observe(view) }})
	requestGuard := sitecontrol.NewGuard(p.file.Machine, watcher, p.logger)
	sender = p.newProxy(watcher, requestGuard, nil)
	store := sitestore.New(sitestore.Config{
		Machine: p.file.Machine, Zone: p.file.Zone, Address: p.file.PeerAddress(), Folder: p.file.DataFolder, FileSystem: fileSystem(p.file.DataFolder),
		Wire: p.wire, Dialect: p.dialect, Watcher: watcher, Proxy: sender, Logger: p.logger, Seed: p.seed,
		Cold: p.file.ColdLimits(), Recorder: p.metrics, ToleratedLosses: p.file.ToleratedLosses, KeepJobs: p.file.KeepJobs() + jobRetentionMargin,
		MaxJobBytes: int(jobMemoryShare * p.file.MemoryMegabytes * megabyte),
	})
	store.Register(p.server)
	p.metrics.Observe(func() metrics.SiteReading {
		reading := metrics.SiteReading{InFlight: store.OpenItems(), JobBytes: store.JobBytes(), LinesDropped: p.logWriter.Dropped()}
		return addGroupReading(addSendReading(addViewReading(reading, watcher), sender), store.PublishedState())
	})
	drain := func(ctx context.Context) {
		store.TransferLeadership(ctx)
		sender.Close()
	}
	return p.serve(nil, watcher.SetSeeds, drain, watcher.Run, requestGuard.Run, store.Run)
}
