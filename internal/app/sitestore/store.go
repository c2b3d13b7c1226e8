package sitestore

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/group"
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/sitecontrol"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
)

const (
	registerInterval = 500 * time.Millisecond
	registerTimeout  = time.Second
	forgetInterval   = time.Second
	// spareMembers is how many machines follow the log without a vote. Machines
	// beyond the voters wait: one that takes the place of a voter copies all that
	// the group holds in a moment, while following costs its traffic all the time.
	spareMembers = 0
	// connectionsToReplica bounds the runner's connections to one replica.
	connectionsToReplica = 40
)

// Config sets a Store up.
type Config struct {
	Machine string
	Zone    string
	// Address is where the process takes messages of other processes.
	Address    string
	Folder     string
	FileSystem wal.FileSystem
	Wire       wire.Options
	Dialect    dialect.Dialect
	Watcher    *siteview.Watcher
	Proxy      *proxy.Proxy
	Logger     *log.Logger
	Seed       uint64
	// ToleratedLosses is how many machines with a disk may be lost at once.
	ToleratedLosses int
	// Recorder measures items; nil measures nothing.
	Recorder Recorder
	// KeepJobs is how long a finished job can be asked about.
	KeepJobs time.Duration
}

// Recorder measures the items of jobs.
type Recorder interface {
	// RunEnded counts a run of an item at a replica.
	RunEnded(outcome string)
	// ItemEnded counts an item that has its result after a time.
	ItemEnded(outcome string, took time.Duration)
}

// noRecorder measures nothing.
type noRecorder struct{}

func (noRecorder) RunEnded(string)                 {}
func (noRecorder) ItemEnded(string, time.Duration) {}

// demand is the work that jobs bring, by model: in events a second, and the most
// items that were open at once of late.
type demand struct {
	rates map[string]float64
	open  map[string]int
}

// Store is the process of a store machine.
type Store struct {
	config Config
	member *group.Member
	runner *runner

	serial    atomic.Uint64
	jobSerial atomic.Uint64
	demand    atomic.Pointer[demand]
	// open counts the items that are being done.
	open  atomic.Int64
	mutex sync.Mutex
	// news is closed and replaced when results came.
	news        chan struct{}
	incarnation string
	seen        map[string]time.Time
	// invited is the shard whose group this machine is to join, 0 for none.
	invited atomic.Uint32
}

// New makes a store process.
func New(config Config) *Store {
	if config.Recorder == nil {
		config.Recorder = noRecorder{}
	}
	s := &Store{config: config, news: make(chan struct{}), seen: map[string]time.Time{}}
	s.member = group.New(group.Config{
		Name: "jobs", Folder: config.Folder, FileSystem: config.FileSystem,
		Self: groupmember.Record{Address: config.Address, Name: config.Machine},
		Wire: config.Wire, Machine: func() groupmember.StateMachine { return jobstate.New() },
		Origin: s.origin, Changed: s.changed, Leaving: s.leaving, Logger: config.Logger, Seed: config.Seed,
		Limits: groupmember.Limits{Voters: s.wantedVoters(), LeastVoters: s.wantedVoters(), Learners: spareMembers},
	})
	s.runner = newRunner(s, replicacall.New(config.Dialect, connectionsToReplica))
	return s
}

// wantedVoters is how many machines keep a shard: a quorum of them outlives the
// tolerated losses.
func (s *Store) wantedVoters() int { return 2*s.config.ToleratedLosses + 1 }

// Register sets the handlers of calls between processes.
func (s *Store) Register(server *wire.Server) {
	s.member.Register(server)
	server.Handle(jobsapi.MethodCall, s.serveCall)
}

// Run works until the context ends or the storage fails.
func (s *Store) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return s.member.Run(ctx) })
	tasks.Go(func() error { return s.register(ctx) })
	tasks.Go(func() error { return s.runner.run(ctx) })
	tasks.Go(func() error { return s.forget(ctx) })
	return tasks.Wait()
}

// HandOver gives leadership away before a planned stop.
func (s *Store) HandOver(ctx context.Context) { s.member.HandOver(ctx) }

var errNoPlace = errors.New("sitestore: no shard's group needs this machine now, or it is to be emptied")

// origin registers this machine's data folder and follows the control group's
// decision on which shard's group it founds or joins.
func (s *Store) origin(ctx context.Context, incarnation string) (group.Origin, error) {
	s.mutex.Lock()
	registered := s.incarnation == incarnation
	s.incarnation = incarnation
	s.mutex.Unlock()
	if !registered {
		s.sendHeartbeat(ctx)
	}
	view := s.config.Watcher.View()
	if view == nil || s.state(view) != sitestate.StoreActive {
		return group.Origin{}, errNoPlace
	}
	invited := sitestate.ShardNumber(s.invited.Load())
	for _, shard := range view.Shards {
		if shard.Number == invited || s.founds(shard, incarnation) {
			return originOf(view, shard), nil
		}
	}
	return group.Origin{}, errNoPlace
}

// founds reports whether this machine, with this folder, is a founder of a shard's
// group.
func (s *Store) founds(shard sitestate.Shard, incarnation string) bool {
	return slices.ContainsFunc(shard.Founders, func(founder groupmember.Record) bool {
		return founder.Address == s.config.Address && founder.Incarnation == incarnation
	})
}

func originOf(view *siteview.View, shard sitestate.Shard) group.Origin {
	origin := group.Origin{Shard: group.Shard(shard.Number), Founders: shard.Founders}
	for _, store := range view.Stores {
		if store.Shard == shard.Number {
			origin.Contacts = append(origin.Contacts, store.Address)
		}
	}
	return origin
}

func (s *Store) state(view *siteview.View) sitestate.StoreState {
	for _, store := range view.Stores {
		if store.Name == s.config.Machine {
			return store.State
		}
	}
	return sitestate.StoreActive
}

// leaving names the machines that are to be emptied.
func (s *Store) leaving() map[string]bool {
	view := s.config.Watcher.View()
	if view == nil {
		return nil
	}
	var leaving map[string]bool
	for _, store := range view.Stores {
		if store.State == sitestate.StoreActive {
			continue
		}
		if leaving == nil {
			leaving = map[string]bool{}
		}
		leaving[store.Name] = true
	}
	return leaving
}

// changed publishes that there is news, in the loop's goroutine.
func (s *Store) changed(step group.Step) {
	state := step.Machine.(*jobstate.State)
	if serial := state.JobSerial(); serial != s.jobSerial.Load() {
		s.jobSerial.Store(serial)
		s.runner.wakeUp()
	}
	if serial := state.Serial(); serial != s.serial.Load() {
		s.serial.Store(serial)
		s.mutex.Lock()
		close(s.news)
		s.news = make(chan struct{})
		s.mutex.Unlock()
	}
}

// awaitNews gives a channel that is closed with the next result or end.
func (s *Store) awaitNews() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.news
}

// register tells the control group of this machine, again and again.
func (s *Store) register(ctx context.Context) error {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.sendHeartbeat(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Store) sendHeartbeat(ctx context.Context) {
	s.mutex.Lock()
	incarnation := s.incarnation
	s.mutex.Unlock()
	heartbeat := sitecontrol.StoreHeartbeat{Store: sitestate.Store{
		Name: s.config.Machine, Address: s.config.Address, Zone: s.config.Zone, Incarnation: incarnation,
		Shard: sitestate.ShardNumber(s.member.Shard()),
	}}
	s.describeGroup(&heartbeat)
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	var answer sitecontrol.Answer
	if s.config.Watcher.Call(ctx, sitecontrol.MethodCall, sitecontrol.Request{Store: &heartbeat}, &answer) == nil {
		s.invited.Store(uint32(answer.Join))
	}
}

// describeGroup adds what the group's leader knows of its members.
func (s *Store) describeGroup(heartbeat *sitecontrol.StoreHeartbeat) {
	shown := s.member.Shown()
	if shown == nil || !shown.Settled || sitestate.ShardNumber(shown.Shard) != heartbeat.Store.Shard {
		return
	}
	heartbeat.Members = []string{}
	heartbeat.Vacant = groupmember.Vacant(shown.Status, shown.Records, s.leaving(), s.member.Limits())
	whole := 0
	// A member has a record until its removal is committed: only then may its
	// machine be taken away.
	for _, record := range shown.Records {
		heartbeat.Members = append(heartbeat.Members, record.Name)
		if shown.Status.Membership.IsVoter(record.ID) && (record.ID == shown.Status.ID || caughtUp(shown, record)) {
			whole++
		}
	}
	slices.Sort(heartbeat.Members)
	heartbeat.Whole = whole >= s.wantedVoters()
	if demand := s.demand.Load(); demand != nil {
		heartbeat.Demand, heartbeat.Open = demand.rates, demand.open
	}
}

func caughtUp(shown *group.Shown, record groupmember.Record) bool {
	for _, peer := range shown.Status.Progress {
		if peer.ID == record.ID {
			return peer.Active && peer.CaughtUp
		}
	}
	return false
}

// forget drops jobs that nobody may ask about any more. Their age counts from
// when this process first saw them finished.
func (s *Store) forget(ctx context.Context) error {
	ticker := time.NewTicker(forgetInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		shown := s.member.Shown()
		if shown == nil || !shown.Settled {
			clear(s.seen)
			continue
		}
		s.forgetOld(ctx)
	}
}

func (s *Store) forgetOld(ctx context.Context) {
	now := time.Now()
	var due []string
	_ = s.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		for _, job := range machine.(*jobstate.State).Jobs() {
			if !job.Ended {
				continue
			}
			id := job.Submission.ID
			if first, known := s.seen[id]; !known {
				s.seen[id] = now
			} else if now.Sub(first) > s.config.KeepJobs {
				due = append(due, id)
			}
		}
	})
	if len(due) == 0 {
		return
	}
	for _, id := range due {
		delete(s.seen, id)
	}
	_, _ = s.propose(ctx, jobstate.Command{Forget: &jobstate.Forget{Jobs: due}})
}

func (s *Store) propose(ctx context.Context, command jobstate.Command) (any, error) {
	data, err := command.Encode()
	if err != nil {
		return nil, err
	}
	return s.member.Propose(ctx, data)
}

// Leads reports whether this machine leads a shard's group, in touch with a quorum.
func (s *Store) Leads() bool {
	shown := s.member.Shown()
	return shown != nil && shown.Settled
}

// Shown gives what the process's member last showed of itself, or nil.
func (s *Store) Shown() *group.Shown { return s.member.Shown() }

// Open gives the number of items that are being done here.
func (s *Store) Open() int64 { return s.open.Load() }
