package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/adapter/sitesettings"
	"github.com/loomgrade/loomgrade/internal/adapter/tcpsocket"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/app/guard"
	"github.com/loomgrade/loomgrade/internal/app/held"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/platform"
)

const (
	siteCluster = "site"
	// Times of connections between processes: a peer that is cut off is given
	// up well within the time that a change has to be in force.
	sitePing      = 400 * time.Millisecond
	siteIdle      = 1500 * time.Millisecond
	siteDial      = 500 * time.Millisecond
	siteWrite     = 1500 * time.Millisecond
	siteBackoff   = 300 * time.Millisecond
	callerSilence = 10 * time.Second
	// settingsPoll is how often the settings file is looked at for a change.
	settingsPoll = 2 * time.Second
	// heapShare is the part of the machine's memory that the heap may take
	// before collections become more frequent.
	heapShare = 0.6
	// collectAt is the growth of the heap, in percent, at which it is
	// collected: memory at its peak costs these machines more than processor
	// time.
	collectAt = 40
	megabyte  = 1 << 20
	// jobShare is the part of a store machine's memory that jobs may take. What they
	// take stands there up to three times, in the state, in a snapshot in the making and in
	// what is sent of it; 40 MB are the process's own.
	jobShare = 0.25
	// headerTimeout and keepIdle bound what a caller's connection may wait.
	headerTimeout = 10 * time.Second
	keepIdle      = 90 * time.Second
	// connectionsToReplica bounds a front's connections to one replica.
	connectionsToReplica = 10
)

// siteProcess is what every process of a site starts from.
type siteProcess struct {
	path    string
	file    *sitesettings.File
	logger  *log.Logger
	lines   *eventlog.Writer
	metrics *metrics.Site
	wire    wire.Options
	server  *wire.Server
	dialect dialect.Dialect
	signals chan os.Signal
	seed    uint64
	// stopped is closed once the process was told to stop and has drained.
	stopped chan struct{}
}

func newSiteProcess(path, role string) (*siteProcess, error) {
	if path == "" {
		return nil, usageError{errors.New("no settings file is named")}
	}
	file, err := sitesettings.Load(path)
	if err != nil {
		return nil, usageError{err}
	}
	debug.SetGCPercent(collectAt)
	if file.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * file.MemoryMegabytes * megabyte))
	}
	lines := eventlog.New(os.Stdout)
	p := &siteProcess{
		lines: lines, metrics: metrics.NewSite(),
		path: path, file: file, dialect: platform.Dialect{}, signals: make(chan os.Signal, 1), stopped: make(chan struct{}),
		logger: lines.Logger(file.Machine),
		wire: wire.Options{
			ClusterID: siteCluster, Name: file.Machine, PingInterval: sitePing, IdleTimeout: siteIdle,
			DialTimeout: siteDial, WriteTimeout: siteWrite, BackoffMax: siteBackoff, Dial: tcpsocket.Dial(siteIdle, file.PeerSource),
		},
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(file.Machine))
	p.seed = hash.Sum64() ^ rand.Uint64()
	p.server = wire.NewServer(p.wire)
	signal.Notify(p.signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	p.logger.Info().Str(eventlog.Field, eventlog.ProcessStarted).Str("role", role).Str("settings", path).Bool("first_start", file.FirstStart).
		Str("seeds", fmt.Sprint(file.Seeds)).Msg("the process starts")
	return p, nil
}

// newWatcher makes the watcher of the control state; config holds what differs
// between the processes.
func (p *siteProcess) newWatcher(config siteview.Config) *siteview.Watcher {
	config.Seeds, config.Wire, config.Logger, config.Zones = p.file.SeedPeers(), p.wire, p.logger, p.file.Zones
	config.Decode = p.dialect.DecodeConfiguration
	return siteview.New(config)
}

// newProxy makes the sender of requests to replicas; budget bounds the answers that it holds.
func (p *siteProcess) newProxy(watcher *siteview.Watcher, withholds *guard.Guard, budget *held.Budget) *proxy.Proxy {
	return proxy.New(proxy.Config{
		Dialect: p.dialect, View: watcher.View, Logger: p.logger, Connections: connectionsToReplica, Guard: withholds,
		MemoryBudget: budget, Sender: p.file.Machine, Cold: p.file.ColdLimits(),
	})
}

// service is an HTTP server with its address.
type service struct {
	address string
	server  *http.Server
}

func newService(address string, handler http.Handler) service {
	return service{address: address, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: keepIdle,
		ErrorLog: nil, DisableGeneralOptionsHandler: true,
	}}
}

// serve listens on the peer address and those of the services, runs the tasks,
// and stops when a task fails or the process is told to. Before it stops it
// calls drain.
func (p *siteProcess) serve(services []service, reseed func([]string), drain func(context.Context), tasks ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	if p.file.MetricsListen != "" {
		services = append(services, newService(p.file.MetricsListen, p.metrics.Handler()))
	}
	peers, err := tcpsocket.Listen(ctx, p.file.ListenAddress(), siteIdle)
	if err != nil {
		return err
	}
	group.Go(func() error { return p.server.Serve(peers) })
	for _, served := range services {
		listener, err := tcpsocket.Listen(ctx, served.address, callerSilence)
		if err != nil {
			return err
		}
		group.Go(func() error { return serveUntilClosed(served.server, listener) })
	}
	for _, task := range tasks {
		group.Go(func() error { return task(ctx) })
	}
	group.Go(func() error { return boottime.NewWatch(boottime.Now).Run(ctx, p.noteSuspension) })
	group.Go(func() error {
		p.untilTold(ctx, reseed)
		p.logger.Info().Str(eventlog.Field, eventlog.ProcessStopping).Err(ctx.Err()).Msg("the process stops")
		if ctx.Err() == nil {
			drain(ctx)
		}
		cancel()
		for _, served := range services {
			_ = served.server.Close()
		}
		p.server.Close()
		close(p.stopped)
		return nil
	})
	err = p.awaitEnd(group)
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) || errors.Is(err, wire.ErrClosed) || errors.Is(err, net.ErrClosed) {
		p.logger.Info().Str(eventlog.Field, eventlog.ProcessStopped).Msg("the process has stopped")
		time.Sleep(logFlush)
		return nil
	}
	p.logger.Error().Str(eventlog.Field, eventlog.ProcessFailed).Err(err).Msg("the process ends with a failure")
	time.Sleep(logFlush)
	return err
}

// noteSuspension tells that the machine was suspended. What the process may no longer hold it
// gives up by itself: whoever acts reads the clock that counted.
func (p *siteProcess) noteSuspension(slept time.Duration) {
	p.metrics.Suspended(slept)
	p.logger.Warn().Str(eventlog.Field, eventlog.ProcessSuspended).Dur("slept_ms", slept).Msg("the machine was suspended")
}

// serveUntilClosed serves a listener. The end of the listener is no failure: what
// is in flight goes on after it, and must not be ended by it.
func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// awaitEnd waits for the tasks, though not for long once the process is told to
// stop: whatever then still waits must not outlive the grace.
func (p *siteProcess) awaitEnd(group *errgroup.Group) error {
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-p.stopped:
	}
	select {
	case err := <-ended:
		return err
	case <-time.After(endPatience):
		p.logger.Warn().Str(eventlog.Field, eventlog.ProcessAbandoned).Msg("tasks did not end in time and are left")
		return nil
	}
}

// endPatience is how long tasks may take to end.
const endPatience = 300 * time.Millisecond

// logFlush lets the last lines out.
const logFlush = 20 * time.Millisecond

// untilTold waits for a signal to stop or the end of the context. It reads the
// settings again when they have changed.
func (p *siteProcess) untilTold(ctx context.Context, reseed func([]string)) {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-p.signals:
			if received != syscall.SIGHUP {
				return
			}
			p.reload(reseed)
		case <-ticker.C:
			p.reload(reseed)
		}
	}
}

// reload takes over changed seeds; everything else needs a new start.
func (p *siteProcess) reload(reseed func([]string)) {
	file, err := sitesettings.Load(p.path)
	if err != nil {
		p.logger.Warn().Str(eventlog.Field, eventlog.SettingsRefused).Err(err).Msg("changed settings cannot be read")
		return
	}
	if fmt.Sprint(file.Seeds) == fmt.Sprint(p.file.Seeds) {
		return
	}
	p.file = file
	p.logger.Info().Str(eventlog.Field, eventlog.SettingsReloaded).Str("seeds", fmt.Sprint(file.Seeds)).Msg("the seeds have changed")
	reseed(file.SeedPeers())
}

// ofView adds what a watcher's view shows to a reading.
func ofView(reading metrics.SiteReading, watcher *siteview.Watcher) metrics.SiteReading {
	if view := watcher.View(); view != nil {
		reading.Position, reading.Configuration = view.Position, view.Configuration.Version
		reading.Withheld = view.Withheld()
	}
	reading.Confirmed = watcher.ConfirmedWithin(siteIdle)
	return reading
}

// ofGroup adds what a member shows to a reading.
func ofGroup(reading metrics.SiteReading, shown *group.PublishedState) metrics.SiteReading {
	if shown != nil {
		reading.Shard, reading.Leads = uint32(shown.Shard), shown.LeaderReady
		reading.Term, reading.Applied = shown.Status.Term, shown.Applied
	}
	return reading
}
