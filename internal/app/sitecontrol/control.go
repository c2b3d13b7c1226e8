package sitecontrol

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
)

// wantedVoters is the number of voters of a control group with enough machines.
const wantedVoters = 5

// Config configures a Control.
type Config struct {
	// Machine is the machine's name.
	Machine string
	// Address is where the process accepts calls from other processes.
	Address string
	// HeartbeatAddress is where the process accepts replicas' heartbeats.
	HeartbeatAddress string
	// Seeds are the addresses of control members.
	Seeds []string
	// Bootstrap lets the seeds bootstrap the group, on the first start of a site.
	Bootstrap bool
	// Folder contains the log.
	Folder     string
	FileSystem wal.FileSystem
	Wire       wire.Options
	Dialect    dialect.Dialect
	Logger     *log.Logger
	Seed       uint64
	// ToleratedLosses is how many machines with a disk may fail concurrently.
	ToleratedLosses int
	// SlotsPerShard is how many engine slots one shard's leader serves; 0 selects
	// DefaultSlotsPerShard.
	SlotsPerShard int
	// Zones maps each zone of the site to its region; empty if the settings name none.
	Zones map[string]string
	// HolderLease is how long replicas obey only the machine that last sent them an order.
	HolderLease time.Duration
	// Provider receives reports of usage; nil disables them.
	Provider Provider
	// UsageWindow is the length of a window of usage, UsageDue the deadline of its report
	// after the end of the window.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// Recorder records metrics of the leader; nil disables them.
	Recorder Recorder
	// Clock is a monotonic clock that includes suspension; nil selects the system's.
	Clock boottime.Clock
}

// Recorder records metrics of the leader.
type Recorder interface {
	HeartbeatAccepted()
	// HeartbeatRejected counts a rejected heartbeat by the invalid field.
	HeartbeatRejected(field string)
	// LoadEnded records a load of weights and its duration.
	LoadEnded(outcome string, took time.Duration)
}

// noRecorder discards all metrics.
type noRecorder struct{}

func (noRecorder) HeartbeatAccepted()              {}
func (noRecorder) HeartbeatRejected(string)        {}
func (noRecorder) LoadEnded(string, time.Duration) {}

// Control is a member of the site's control group.
type Control struct {
	config      Config
	member      *group.Member
	heartbeats  *heartbeats
	rejectedLog eventlog.Limiter
	lostLog     eventlog.Limiter
	ignoredLog  eventlog.Limiter
	reports     *reportBatcher
	registrar   *registrar
	senders     *senders
	levels      *levels
	stores      *stores
	lease       *lease
	weights     *weightsManager
	usage       *usageManager
	suspects    *suspects
	view        atomic.Pointer[sitestate.View]
	fullView    fullView
	recent      recentUpdates
	table       atomic.Pointer[routing.Table]
	// position is that of the published view; only the member's loop accesses it.
	position uint64

	pool  *wire.Pool
	mutex sync.Mutex
	// wakes are the channels that wake this member's watchers.
	wakes map[chan struct{}]struct{}
	seeds []string
}

// New returns a control process; call Register, then Run.
func New(config Config) *Control {
	if config.Recorder == nil {
		config.Recorder = noRecorder{}
	}
	config.Clock = config.Clock.OrSystem()
	config.SlotsPerShard = cmp.Or(config.SlotsPerShard, DefaultSlotsPerShard)
	c := &Control{
		config: config, pool: wire.NewPool(config.Wire), wakes: map[chan struct{}]struct{}{},
		seeds: slices.Clone(config.Seeds), senders: newSenders(), levels: newLevels(),
	}
	c.view.Store(&sitestate.View{})
	c.member = group.New(group.Config{
		Name: "control", Folder: config.Folder, FileSystem: config.FileSystem,
		Self: groupmember.Record{Address: config.Address, Name: config.Machine, Service: config.HeartbeatAddress},
		Wire: config.Wire, Machine: func() groupmember.StateMachine { return sitestate.New() },
		Origin: c.origin, OnStep: c.changed, Logger: config.Logger, Clock: config.Clock, Seed: config.Seed,
		Limits: groupmember.Limits{Voters: wantedVoters, MinVoters: 2*config.ToleratedLosses + 1, Learners: groupmember.UnlimitedLearners},
	})
	c.heartbeats = newHeartbeats(c)
	c.reports = newReportBatcher(c)
	c.registrar = newRegistrar(c)
	c.stores = newStores(c)
	c.lease = newLease(c)
	c.weights = newWeightsManager(c)
	c.usage = newUsageManager(c)
	c.suspects = newSuspects(c)
	return c
}

// Register registers the handlers of calls between processes.
func (c *Control) Register(server *wire.Server) {
	c.member.Register(server)
	server.Handle(MethodCall, c.serveCall)
	server.Handle(methodForwarded, c.serveForwarded)
	server.Handle(methodReports, c.serveReports)
	c.registerWatch(server)
	server.Handle(methodClock, c.serveClock)
}

// Run runs the member until ctx ends or the storage fails.
func (c *Control) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return c.member.Run(ctx) })
	tasks.Go(func() error { return c.lead(ctx) })
	tasks.Go(func() error { return c.usage.run(ctx) })
	return tasks.Wait()
}

// TransferLeadership transfers leadership before a graceful stop.
func (c *Control) TransferLeadership(ctx context.Context) { c.member.TransferLeadership(ctx) }

// SetSeeds replaces the addresses of control members after a change of settings.
func (c *Control) SetSeeds(seeds []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = slices.Clone(seeds)
}

// origin lets the seeds bootstrap the group on the first start of a site; otherwise the
// member joins. Seeds are sorted so that all founders assign the same ids.
func (c *Control) origin(context.Context, string) (group.Origin, error) {
	c.mutex.Lock()
	seeds := slices.Sorted(slices.Values(c.seeds))
	c.mutex.Unlock()
	if !c.config.Bootstrap {
		return group.Origin{Contacts: seeds}, nil
	}
	var founders []groupmember.Record
	for i, seed := range seeds {
		founders = append(founders, groupmember.Record{ID: memberID(i), Address: seed})
	}
	return group.Origin{Founders: founders}, nil
}

// leadInterval is the period of the leader's background tasks.
const leadInterval = 100 * time.Millisecond

// lead runs the leader's background tasks.
func (c *Control) lead(ctx context.Context) error {
	ticker := time.NewTicker(leadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		published := c.member.PublishedState()
		leads := published != nil && published.LeaderReady
		c.heartbeats.tick(ctx, leads)
		c.stores.tick(ctx, leads)
		c.lease.updateTerm(leads)
		c.weights.tick(ctx, leads)
		c.usage.tick(ctx, leads)
		c.suspects.tick(ctx, leads)
	}
}

// changed publishes the view after a step of the member's loop; it runs in that loop.
func (c *Control) changed(step group.Step) {
	state := step.Machine.(*sitestate.State)
	c.levels.agreed.Store(uint32(state.Level()))
	if state.Position() == c.position {
		return
	}
	c.position = state.Position()
	previous := c.view.Load()
	next := nextView(previous, state)
	c.view.Store(next)
	if next.Configuration.Version != previous.Configuration.Version {
		c.readTable(next.Configuration)
	}
	if step.LeaderReady {
		c.logPublished(previous, next)
	}
	if len(previous.Suspects) > 0 || len(next.Suspects) > 0 {
		c.logQuarantine(previous, next)
	}
	c.wakeAll()
}

// logPublished logs newly published versions of weights; only the leader calls it.
func (c *Control) logPublished(previous, next *sitestate.View) {
	for model, version := range next.Weights {
		if version > previous.Weights[model] {
			c.config.Logger.Info().Str(eventlog.Field, eventlog.WeightsPublished).Str("model", model).Uint64("version", version).
				Uint64("position", next.Position).Msg("a version of weights was published")
		}
	}
}

// nextView returns the view updated to state. A member that joined again may have an older
// state, which replaces the view.
func nextView(previous *sitestate.View, state *sitestate.State) *sitestate.View {
	if previous.Position == 0 || state.Position() < previous.Position {
		return (&sitestate.View{}).Apply(state.Update(0, sitestate.InterestAll))
	}
	return previous.Apply(state.Update(previous.Position, sitestate.InterestAll))
}

func (c *Control) readTable(configuration sitestate.Configuration) {
	document, err := c.config.Dialect.DecodeConfiguration(configuration.Raw)
	if err != nil {
		c.config.Logger.Error().Str(eventlog.Field, eventlog.ConfigurationUnreadable).Uint64("version", configuration.Version).Err(err).Msg("cannot decode the current configuration")
		return
	}
	c.table.Store(routing.NewTable(document))
}

// engineServices lists the engine services of the configuration.
func (c *Control) engineServices() []routing.Service {
	table := c.table.Load()
	if table == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(table.Document().Services), func(service routing.Service) bool { return service.Engine == nil })
}

// IsVoter reports whether this member is a voter in contact with a quorum and caught up.
func (c *Control) IsVoter() bool {
	published := c.member.PublishedState()
	return published != nil && published.Confirmed && published.Status.Membership.IsVoter(published.Status.ID)
}

// PublishedState returns the latest published status of the member, or nil.
func (c *Control) PublishedState() *group.PublishedState { return c.member.PublishedState() }

// View returns the control state as applied on this member. It is immutable.
func (c *Control) View() *sitestate.View { return c.view.Load() }
