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

// wantedVoters is the number of voters of a control group that has so many
// machines.
const wantedVoters = 5

// Config sets a Control up.
type Config struct {
	// Machine is the machine's name.
	Machine string
	// Address is where the process takes messages of other processes.
	Address string
	// HeartbeatAddress is where replicas call it.
	HeartbeatAddress string
	// Seeds are addresses of control members.
	Seeds []string
	// Found lets the seeds found the group: the site starts for the first time.
	Bootstrap bool
	// Folder holds the log.
	Folder     string
	FileSystem wal.FileSystem
	Wire       wire.Options
	Dialect    dialect.Dialect
	Logger     *log.Logger
	Seed       uint64
	// ToleratedLosses is how many machines with a disk may be lost at once.
	ToleratedLosses int
	// PlacesPerShard is how many places of engines one shard's leader serves; 0 takes
	// DefaultPlacesPerShard.
	SlotsPerShard int
	// Zones gives the region of each zone of the site; empty where the settings name none.
	Zones map[string]string
	// HolderLease is how long replicas hold to the machine that ordered last.
	HolderLease time.Duration
	// Provider is what usage is reported to; nil reports to nobody.
	Provider Provider
	// UsageWindow is the length of a window of usage, and UsageDue how long after a
	// window's end its report may come.
	UsageWindow time.Duration
	UsageDue    time.Duration
	// Recorder measures what the leader does; nil measures nothing.
	Recorder Recorder
	// Clock also counts suspended time; nil is that of the machine.
	Clock boottime.Clock
}

// Recorder measures what the leader does.
type Recorder interface {
	HeartbeatAccepted()
	// HeartbeatRefused counts one that names no replica to use, by the field at fault.
	HeartbeatRejected(field string)
	// LoadEnded counts an ordered load of weights.
	LoadEnded(outcome string, took time.Duration)
}

// noRecorder measures nothing.
type noRecorder struct{}

func (noRecorder) HeartbeatAccepted()              {}
func (noRecorder) HeartbeatRejected(string)        {}
func (noRecorder) LoadEnded(string, time.Duration) {}

// Control is the control process.
type Control struct {
	config     Config
	member     *group.Member
	heartbeats *heartbeats
	refused    refusedReports
	lost       refusedReports
	reports    *reports
	registrar  *registrar
	senders    *senders
	levels     *levels
	stores     *stores
	lease      *lease
	weights    *weightsManager
	usage      *usageManager
	suspects   *suspects
	view       atomic.Pointer[sitestate.View]
	whole      wholeView
	recent     recentUpdates
	table      atomic.Pointer[routing.Table]
	// position is that of the published view; only the loop's goroutine uses it.
	position uint64

	pool  *wire.Pool
	mutex sync.Mutex
	wakes map[chan struct{}]struct{}
	seeds []string
}

// New makes a control process.
func New(config Config) *Control {
	if config.Recorder == nil {
		config.Recorder = noRecorder{}
	}
	config.Clock = config.Clock.OrSystem()
	config.SlotsPerShard = cmp.Or(config.SlotsPerShard, DefaultPlacesPerShard)
	c := &Control{
		config: config, pool: wire.NewPool(config.Wire), wakes: map[chan struct{}]struct{}{},
		seeds: slices.Clone(config.Seeds), senders: newSenders(), levels: newLevels(),
	}
	c.view.Store(&sitestate.View{})
	c.member = group.New(group.Config{
		Name: "control", Folder: config.Folder, FileSystem: config.FileSystem,
		Self: groupmember.Record{Address: config.Address, Name: config.Machine, Service: config.HeartbeatAddress},
		Wire: config.Wire, Machine: func() groupmember.StateMachine { return sitestate.New() },
		Origin: c.origin, Changed: c.changed, Logger: config.Logger, Clock: config.Clock, Seed: config.Seed,
		Limits: groupmember.Limits{Voters: wantedVoters, MinVoters: 2*config.ToleratedLosses + 1, Learners: groupmember.UnlimitedLearners},
	})
	c.heartbeats = newHeartbeats(c)
	c.reports = newReports(c)
	c.registrar = newRegistrar(c)
	c.stores = newStores(c)
	c.lease = newLease(c)
	c.weights = newWeightsManager(c)
	c.usage = newUsageManager(c)
	c.suspects = newSuspects(c)
	return c
}

// Register sets the handlers of calls between processes.
func (c *Control) Register(server *wire.Server) {
	c.member.Register(server)
	server.Handle(MethodCall, c.serveCall)
	server.Handle(methodForwarded, c.serveForwarded)
	server.Handle(methodReports, c.serveReports)
	c.registerWatch(server)
	server.Handle(methodClock, c.serveClock)
}

// Run works until the context ends or the storage fails.
func (c *Control) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return c.member.Run(ctx) })
	tasks.Go(func() error { return c.lead(ctx) })
	tasks.Go(func() error { return c.usage.run(ctx) })
	return tasks.Wait()
}

// HandOver gives leadership away before a planned stop.
func (c *Control) TransferLeadership(ctx context.Context) { c.member.TransferLeadership(ctx) }

// SetSeeds replaces the addresses of known members after a change of settings.
func (c *Control) SetSeeds(seeds []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.seeds = slices.Clone(seeds)
}

// origin lets the seeds of a site's first start found the group; everyone else
// joins. Sorted, so that all founders give the same ids whatever the order of
// their lists.
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

// leadInterval is how often the leader looks after what no call asks for.
const leadInterval = 100 * time.Millisecond

// lead does what only the leader does.
func (c *Control) lead(ctx context.Context) error {
	ticker := time.NewTicker(leadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		shown := c.member.PublishedState()
		leads := shown != nil && shown.LeaderReady
		c.heartbeats.tend(ctx, leads)
		c.stores.tend(ctx, leads)
		c.lease.follow(leads)
		c.weights.tend(ctx, leads)
		c.usage.tend(ctx, leads)
		c.suspects.tend(ctx, leads)
	}
}

// changed publishes the view after a step of the loop, in its goroutine.
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

// logPublished tells, on the leader, of versions of weights that were published.
func (c *Control) logPublished(previous, next *sitestate.View) {
	for model, version := range next.Weights {
		if version > previous.Weights[model] {
			c.config.Logger.Info().Str(eventlog.Field, eventlog.WeightsPublished).Str("model", model).Uint64("version", version).
				Uint64("position", next.Position).Msg("a version of weights was published")
		}
	}
}

// nextView brings a view up to date. A state that is behind it is that of a
// member that joined anew.
func nextView(previous *sitestate.View, state *sitestate.State) *sitestate.View {
	if previous.Position == 0 || state.Position() < previous.Position {
		return (&sitestate.View{}).Apply(state.Update(0, sitestate.InterestAll))
	}
	return previous.Apply(state.Update(previous.Position, sitestate.InterestAll))
}

func (c *Control) readTable(configuration sitestate.Configuration) {
	document, err := c.config.Dialect.DecodeConfiguration(configuration.Raw)
	if err != nil {
		c.config.Logger.Error().Str(eventlog.Field, eventlog.ConfigurationUnreadable).Uint64("version", configuration.Version).Err(err).Msg("the configuration in force cannot be read")
		return
	}
	c.table.Store(routing.NewTable(document))
}

// engineServices lists the services of the configuration that are engines.
func (c *Control) engineServices() []routing.Service {
	table := c.table.Load()
	if table == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(table.Document().Services), func(service routing.Service) bool { return service.Engine == nil })
}

// IsVoter reports whether this member has a vote, in touch with a quorum and
// caught up.
func (c *Control) IsVoter() bool {
	shown := c.member.PublishedState()
	return shown != nil && shown.Confirmed && shown.Status.Membership.IsVoter(shown.Status.ID)
}

// Shown gives what the process's member last showed of itself, or nil.
func (c *Control) PublishedState() *group.PublishedState { return c.member.PublishedState() }

// View gives the control state as applied here. It is immutable.
func (c *Control) View() *sitestate.View { return c.view.Load() }
