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
	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/adapter/sitesettings"
	"github.com/loomgrade/loomgrade/internal/adapter/tcpsocket"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/app/guard"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/platform"
)

const (
	siteCluster = "site"
	// Timings of the connections between processes. An unreachable peer must be dropped
	// before the time limit for applying a change.
	peerPingInterval = 400 * time.Millisecond
	peerIdleTimeout  = 1500 * time.Millisecond
	peerDialTimeout  = 500 * time.Millisecond
	peerWriteTimeout = 1500 * time.Millisecond
	peerMaxBackoff   = 300 * time.Millisecond
	// callerTimeout is the TCP user timeout of callers' connections.
	callerTimeout = 10 * time.Second
	// settingsPollInterval is the interval between checks of the settings file for changes.
	settingsPollInterval = 2 * time.Second
	// heapShare is the share of the machine's memory that the heap may use before garbage
	// collection becomes more frequent.
	heapShare = 0.6
	// gcPercent is the heap growth, in percent, that triggers a garbage collection; below
	// the default, to limit peak memory.
	gcPercent = 40
	megabyte  = 1 << 20
	// responseReserve is the time to write the last responses at the end of a stop.
	responseReserve = 200 * time.Millisecond
	// jobMemoryShare is the share of a store machine's memory for jobs. Each job may be in
	// memory three times: in the state, in a snapshot being built, and in a transfer. The
	// process itself needs 40 MB.
	jobMemoryShare = 0.25
	// connectionsToReplica limits the connections of a process to one replica.
	connectionsToReplica = 10
)

// siteProcess holds what every process of a site needs.
type siteProcess struct {
	path      string
	file      *sitesettings.File
	logger    *log.Logger
	logWriter *eventlog.Writer
	metrics   *metrics.Site
	limits    siteLimits
	wire      wire.Options
	server    *wire.Server
	dialect   dialect.Dialect
	seed      uint64
	// stops and reloads receive signals. They are separate, since a signal is dropped while its
	// channel is full.
	stops, reloads chan os.Signal
	// stopped is closed once the process has drained after a stop signal.
	stopped chan struct{}
}

func newSiteProcess(path, role string) (*siteProcess, error) {
	if path == "" {
		return nil, usageError{errors.New("no settings file given")}
	}
	file, err := sitesettings.Load(path)
	if err != nil {
		return nil, usageError{err}
	}
	debug.SetGCPercent(gcPercent)
	if file.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * file.MemoryMegabytes * megabyte))
	}
	lines, limits := eventlog.New(os.Stdout), newSiteLimits(file)
	p := &siteProcess{
		limits: limits, logWriter: lines, metrics: metrics.NewSite(),
		path: path, file: file, dialect: platform.Dialect{}, stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1), stopped: make(chan struct{}),
		logger: lines.Logger(file.Machine),
		wire: wire.Options{
			ClusterID: siteCluster, Name: file.Machine, PingInterval: peerPingInterval, IdleTimeout: peerIdleTimeout,
			DialTimeout: peerDialTimeout, WriteTimeout: peerWriteTimeout, BackoffMax: peerMaxBackoff, Dial: tcpsocket.Dial(peerIdleTimeout, file.PeerSource),
			MaxConnections: limits.peerConnections, Memory: limits.peers,
		},
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(file.Machine))
	p.seed = hash.Sum64() ^ rand.Uint64()
	p.server = wire.NewServer(p.wire)
	signal.Notify(p.stops, os.Interrupt, syscall.SIGTERM)
	signal.Notify(p.reloads, syscall.SIGHUP)
	p.logger.Info().Str(eventlog.Field, eventlog.ProcessStarted).Str("role", role).Str("settings", path).Bool("first_start", file.FirstStart).
		Str("seeds", fmt.Sprint(file.Seeds)).Msg("the process starts")
	return p, nil
}

// newWatcher returns a watcher of the control state. It sets the fields of config that all
// processes share.
func (p *siteProcess) newWatcher(config siteview.Config) *siteview.Watcher {
	config.Seeds, config.Wire, config.Logger, config.Zones = p.file.SeedPeers(), p.wire, p.logger, p.file.Zones
	config.Decode = p.dialect.DecodeConfiguration
	return siteview.New(config)
}

// newProxy returns the proxy that sends requests to replicas. budget limits the memory for
// buffered responses.
func (p *siteProcess) newProxy(watcher *siteview.Watcher, requestGuard *guard.Guard, budget *membudget.Budget) *proxy.Proxy {
	return proxy.New(proxy.Config{
		Dialect: p.dialect, View: watcher.View, Logger: p.logger, Connections: connectionsToReplica, Guard: requestGuard,
		MemoryBudget: budget, Sender: p.file.Machine, Cold: p.file.ColdLimits(),
		LimitSends: p.file.LimitSends, Recorder: p.metrics,
	})
}

// service is an HTTP server and its listen address.
type service struct {
	address string
	server  *httpserve.Server
	// abort ends the contexts of all requests.
	abort context.CancelCauseFunc
}

// finish ends the requests that are still served with proxy.ErrStopping as the cause, and waits
// until their responses are written, or until ctx ends.
func (s *service) finish(ctx context.Context) {
	s.abort(proxy.ErrStopping)
	_ = s.server.Shutdown(ctx)
}

// newService returns a service. It replaces config.BaseContext.
func newService(address string, config httpserve.ServerConfig) service {
	requests, abort := context.WithCancelCause(context.Background())
	config.BaseContext = requests
	return service{address: address, abort: abort, server: httpserve.NewServer(config)}
}

// newProbeService returns a service for readiness or metrics.
func (p *siteProcess) newProbeService(address string, handler http.Handler) service {
	return newService(address, httpserve.ServerConfig{Handler: handler, Limits: probeLimits(), Memory: p.limits.clients})
}

// serve listens on the peer address and the services' addresses and runs the tasks. It
// stops when a task fails, or on a stop signal after calling drain.
func (p *siteProcess) serve(services []service, setSeeds func([]string), drain func(context.Context), tasks ...func(context.Context) error) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	if p.file.MetricsListen != "" {
		services = append(services, p.newProbeService(p.file.MetricsListen, p.metrics.Handler()))
	}
	peers, err := tcpsocket.Listen(ctx, p.file.ListenAddress(), peerIdleTimeout)
	if err != nil {
		return err
	}
	group.Go(func() error { return p.server.Serve(peers) })
	for _, served := range services {
		listener, err := tcpsocket.Listen(ctx, served.address, callerTimeout)
		if err != nil {
			return err
		}
		group.Go(func() error { return serveUntilClosed(served.server, listener) })
	}
	for _, task := range tasks {
		group.Go(func() error { return task(ctx) })
	}
	group.Go(func() error { return boottime.NewWatch(boottime.Now).Run(ctx, p.recordSuspension) })
	group.Go(func() error {
		p.awaitStop(ctx, setSeeds)
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
	err = p.awaitTasks(group)
	if err == nil || errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) || errors.Is(err, wire.ErrClosed) || errors.Is(err, net.ErrClosed) {
		p.logger.Info().Str(eventlog.Field, eventlog.ProcessStopped).Msg("the process has stopped")
		time.Sleep(logFlushDelay)
		return nil
	}
	p.logger.Error().Str(eventlog.Field, eventlog.ProcessFailed).Err(err).Msg("the process failed")
	time.Sleep(logFlushDelay)
	return err
}

// recordSuspension logs and counts a suspension of the machine. Leases do not depend on it:
// their clocks count suspended time.
func (p *siteProcess) recordSuspension(suspended time.Duration) {
	p.metrics.Suspended(suspended)
	p.logger.Warn().Str(eventlog.Field, eventlog.ProcessSuspended).Dur("slept_ms", suspended).Msg("the machine was suspended")
}

// serveUntilClosed serves a listener. A closed server is no error, so that requests in
// flight can finish.
func serveUntilClosed(server *httpserve.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// awaitTasks waits for the tasks, and at most taskEndTimeout after the process has stopped,
// so that no task outlives the grace period.
func (p *siteProcess) awaitTasks(group *errgroup.Group) error {
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
	case <-time.After(taskEndTimeout):
		p.logger.Warn().Str(eventlog.Field, eventlog.TasksAbandoned).Msg("tasks did not end in time; exiting without them")
		return nil
	}
}

// taskEndTimeout limits how long tasks may take to end after a stop.
const taskEndTimeout = 300 * time.Millisecond

// logFlushDelay is how long a stopped process waits for the log writer to write the last lines.
const logFlushDelay = 20 * time.Millisecond

// awaitStop blocks until a stop signal or the end of the context. On SIGHUP and at intervals
// it reloads the settings.
func (p *siteProcess) awaitStop(ctx context.Context, setSeeds func([]string)) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.stops:
			return
		case <-p.reloads:
			p.reload(setSeeds)
		case <-ticker.C:
			p.reload(setSeeds)
		}
	}
}

// reload applies changed seeds. Other settings take effect only after a restart.
func (p *siteProcess) reload(setSeeds func([]string)) {
	file, err := sitesettings.Load(p.path)
	if err != nil {
		p.logger.Warn().Str(eventlog.Field, eventlog.SettingsRejected).Err(err).Msg("cannot load changed settings")
		return
	}
	if fmt.Sprint(file.Seeds) == fmt.Sprint(p.file.Seeds) {
		return
	}
	p.file = file
	p.logger.Info().Str(eventlog.Field, eventlog.SettingsReloaded).Str("seeds", fmt.Sprint(file.Seeds)).Msg("seeds reloaded")
	setSeeds(file.SeedPeers())
}

// addViewReading adds the watcher's current view to a reading.
func addViewReading(reading metrics.SiteReading, watcher *siteview.Watcher) metrics.SiteReading {
	if view := watcher.View(); view != nil {
		reading.Position, reading.Configuration = view.Position, view.Configuration.Version
		reading.Withheld = view.Withheld()
	}
	reading.Confirmed = watcher.ConfirmedWithin(peerIdleTimeout)
	return reading
}

// addSendReading adds the send limits of a proxy to a reading.
func addSendReading(reading metrics.SiteReading, sender *proxy.Proxy) metrics.SiteReading {
	limits := sender.SendReading()
	reading.SendRate, reading.SendsWaiting = limits.Rate, limits.Waiting
	return reading
}

// addGroupReading adds a group member's published state to a reading.
func addGroupReading(reading metrics.SiteReading, state *group.PublishedState) metrics.SiteReading {
	if state != nil {
		reading.Shard, reading.Leads = uint32(state.Shard), state.LeaderReady
		reading.Term, reading.Applied = state.Status.Term, state.Applied
		reading.Voters, reading.MembershipWaits = len(state.Status.Membership.Voters), state.Obstacle != groupmember.ObstacleNone
		for _, peer := range state.Status.Progress {
			if !peer.CaughtUp {
				reading.MembersBehind++
			}
			reading.LogSentBytes += peer.SentBytes
			reading.LogRepeatedBytes += peer.RepeatedBytes
		}
	}
	return reading
}
