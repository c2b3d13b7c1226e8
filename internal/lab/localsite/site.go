package localsite

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/app/sitestore"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

const (
	controlCount = 3
	storeCount   = 3
	engineCount  = 3
	scorerCount  = 2

	zone          = "zone-a"
	host          = "jobs.dev"
	engineService = "engines"
	scoreService  = "scorers"
	jobPrefix     = "/rollouts/"
	scorePrefix   = "/scores/"

	holderLease       = 500 * time.Millisecond
	keepJobs          = 2 * time.Minute
	callTimeout       = 2 * time.Second
	heartbeatInterval = 300 * time.Millisecond
	connections       = 16
	routeTimeout      = 5 * time.Second
	keepItems         = time.Minute
	itemAttempts      = 4
)

// Site is a running site. Close stops it.
type Site struct {
	folder  string
	logger  *log.Logger
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	servers []*wire.Server
	seeds   []string

	engines []*replica
	scorers []*replica
	watcher *siteview.Watcher
	jobs    *jobsapi.Client
}

// Start starts a site. seed seeds its members and stand-ins. Its state is stored in a
// temporary folder that Close removes.
func Start(ctx context.Context, seed uint64, logger *log.Logger) (*Site, error) {
	folder, err := os.MkdirTemp("", "loomgrade-site-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{folder: folder, logger: logger, cancel: cancel}
	if err := s.start(ctx, seed); err != nil {
		return nil, errors.Join(err, s.Close())
	}
	return s, nil
}

func (s *Site) start(ctx context.Context, seed uint64) error {
	listeners, err := listen(controlCount + storeCount)
	if err != nil {
		return err
	}
	for _, listener := range listeners[:controlCount] {
		s.seeds = append(s.seeds, listener.Addr().String())
	}
	for i, listener := range listeners {
		if i < controlCount {
			s.startControl(ctx, i, listener, seed)
			continue
		}
		s.startStore(ctx, i-controlCount, listener, seed)
	}
	s.watcher = s.newWatcher("driver", func(*siteview.View) {})
	s.spawn(func() { _ = s.watcher.Run(ctx) })
	s.jobs = jobsapi.NewClient(jobsapi.Config{Wire: wireOptions("driver"), View: s.watcher.State, AssignShard: sitecontrol.Placer(s.watcher)})
	if err := s.startReplicas(seed); err != nil {
		return err
	}
	for _, r := range s.replicas() {
		s.spawn(func() { s.sendHeartbeats(ctx, r) })
	}
	return s.configure(ctx)
}

func listen(count int) ([]net.Listener, error) {
	var listeners []net.Listener
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func wireOptions(name string) wire.Options {
	return wire.Options{ClusterID: "localsite", Name: name, DialTimeout: callTimeout}
}

func (s *Site) spawn(task func()) { s.tasks.Go(task) }

// serve starts the server of a process on its listener.
func (s *Site) serve(name string, listener net.Listener, register func(*wire.Server)) {
	server := wire.NewServer(wireOptions(name))
	register(server)
	s.servers = append(s.servers, server)
	s.spawn(func() { _ = server.Serve(listener) })
}

func (s *Site) startControl(ctx context.Context, i int, listener net.Listener, seed uint64) {
	name := fmt.Sprintf("control-%d", i)
	member := sitecontrol.New(sitecontrol.Config{
		Machine: name, Address: listener.Addr().String(), Seeds: s.seeds, Bootstrap: true, Folder: filepath.Join(s.folder, name),
		Wire: wireOptions(name), Dialect: labDialect{}, Logger: s.logger, Seed: seed + uint64(i),
		ToleratedLosses: 1, HolderLease: holderLease,
	})
	s.serve(name, listener, member.Register)
	s.spawn(func() { _ = member.Run(ctx) })
}

func (s *Site) startStore(ctx context.Context, i int, listener net.Listener, seed uint64) {
	name := fmt.Sprintf("store-%d", i)
	var sender *proxy.Proxy
	watcher := s.newWatcher(name, func(view *siteview.View) { sender.Observe(view) })
	guard := sitecontrol.NewGuard(name, watcher, s.logger)
	sender = proxy.New(proxy.Config{Dialect: labDialect{}, View: watcher.View, Logger: s.logger, Connections: connections, Guard: guard})
	member := sitestore.New(sitestore.Config{
		Machine: name, Zone: zone, Address: listener.Addr().String(), Folder: filepath.Join(s.folder, name), Wire: wireOptions(name),
		Dialect: labDialect{}, Watcher: watcher, Proxy: sender, Logger: s.logger, Seed: seed + uint64(controlCount+i),
		ToleratedLosses: 1, KeepJobs: keepJobs,
	})
	s.serve(name, listener, member.Register)
	s.spawn(func() { _ = watcher.Run(ctx) })
	s.spawn(func() { _ = guard.Run(ctx) })
	s.spawn(func() { _ = member.Run(ctx) })
}

func (s *Site) newWatcher(name string, changed func(*siteview.View)) *siteview.Watcher {
	return siteview.New(siteview.Config{
		Seeds: s.seeds, Wire: wireOptions(name), Decode: labDialect{}.DecodeConfiguration, Changed: changed, Logger: s.logger,
	})
}

func (s *Site) startReplicas(seed uint64) error {
	for i := range engineCount + scorerCount {
		model, service, list := Model, engineService, &s.engines
		if i >= engineCount {
			model, service, list = "", scoreService, &s.scorers
		}
		r, err := startReplica(fmt.Sprintf("%s-%d", service, i), service, model, seed+uint64(i))
		if err != nil {
			return err
		}
		*list = append(*list, r)
	}
	return nil
}

func (s *Site) replicas() []*replica {
	return append(append([]*replica(nil), s.engines...), s.scorers...)
}

// sendHeartbeats sends a replica's heartbeats until ctx is done.
func (s *Site) sendHeartbeats(ctx context.Context, r *replica) {
	for {
		report := r.heartbeat()
		_ = s.callControl(ctx, sitecontrol.Request{Replica: &report})
		if !sleep(ctx, heartbeatInterval) {
			return
		}
	}
}

// callControl sends a request to the control group.
func (s *Site) callControl(ctx context.Context, request sitecontrol.Request) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer sitecontrol.Answer
	return s.watcher.Call(ctx, sitecontrol.MethodCall, request, &answer)
}

// configure sets the configuration. It retries until the control group accepts it.
func (s *Site) configure(ctx context.Context) error {
	document := routing.Document{
		Version: 1,
		Routes: []routing.Route{
			{Name: "rollouts", Host: host, Prefix: jobPrefix, Kind: routing.KindJobs, Service: engineService, Timeout: routeTimeout, MaxAttempts: itemAttempts, Keep: keepItems},
			{Name: "scores", Host: host, Prefix: scorePrefix, Kind: routing.KindIdempotent, Service: scoreService, Timeout: routeTimeout, MaxAttempts: itemAttempts},
		},
		Services: []routing.Service{
			{Name: engineService, Engine: &routing.Engine{Slots: slots, Models: []string{Model}}},
			{Name: scoreService},
		},
	}
	if err := document.Validate(); err != nil {
		return err
	}
	raw, err := json.Marshal(document)
	if err != nil {
		return err
	}
	command := sitestate.Command{Configuration: &sitestate.Configuration{Version: document.Version, Raw: raw}}
	for s.callControl(ctx, sitecontrol.Request{Command: &command}) != nil {
		if !sleep(ctx, heartbeatInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// Close stops the site and removes its state.
func (s *Site) Close() error {
	s.cancel()
	for _, server := range s.servers {
		server.Close()
	}
	for _, r := range s.replicas() {
		r.close()
	}
	s.tasks.Wait()
	return os.RemoveAll(s.folder)
}
