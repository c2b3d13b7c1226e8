package sitestore

import (
	"context"
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
	"github.com/loomgrade/loomgrade/internal/app/jobsapi"
	"github.com/loomgrade/loomgrade/internal/app/proxy"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/coldlimit"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/dialect"
)

const (
	expiryInterval = time.Second
	// maxForgottenJobs limits the jobs that one command removes; their ids fit into an entry of
	// the log.
	maxForgottenJobs = 200
	// spareMembers is the number of members that follow the log without a vote. Following
	// causes constant traffic, while a replacement voter copies the state quickly.
	spareMembers = 0
	// maxReplicaConnections limits the runner's connections to one replica.
	maxReplicaConnections = 40
)

// Config configures a Store.
type Config struct {
	Machine string
	Zone    string
	// Address is where the process accepts calls from other processes.
	Address    string
	Folder     string
	FileSystem wal.FileSystem
	Wire       wire.Options
	Dialect    dialect.Dialect
	Watcher    *siteview.Watcher
	Proxy      *proxy.Proxy
	Logger     *log.Logger
	// Clock is a monotonic clock that includes suspension; nil selects the system's.
	Clock boottime.Clock
	Seed  uint64
	// ToleratedLosses is how many machines with a disk may fail concurrently.
	ToleratedLosses int
	// Cold is the tolerance of the limits of cold replicas; each service sets its own rate.
	Cold coldlimit.Limits
	// Recorder records metrics of items; nil disables them.
	Recorder Recorder
	// KeepJobs is how long a finished job remains available.
	KeepJobs time.Duration
	// MaxJobBytes limits the memory for jobs, as counted by jobstate.State.Bytes; further
	// jobs are rejected. 0 means no limit.
	MaxJobBytes int
}

// Recorder records metrics of the items of jobs.
type Recorder interface {
	// RunEnded counts a run of an item on a replica.
	RunEnded(outcome string)
	// ItemEnded records an item's result and the time to it.
	ItemEnded(outcome string, took time.Duration)
	// PageServed counts a served page of results by the member's role.
	PageServed(role string)
}

// noRecorder discards all metrics.
type noRecorder struct{}

func (noRecorder) RunEnded(string)                 {}
func (noRecorder) ItemEnded(string, time.Duration) {}
func (noRecorder) PageServed(string)               {}

// demand is the demand of jobs by model: the rates in events per second, and the recent
// maximum numbers of open items.
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
	// jobBytes is the approximate memory of the jobs.
	jobBytes atomic.Int64
	demand   atomic.Pointer[demand]
	// open counts the items without a result.
	open  atomic.Int64
	mutex sync.Mutex
	// change is closed and replaced on each new result.
	change      chan struct{}
	incarnation string
	// reported is the last reported incarnation, earlier are those before it.
	reported string
	earlier  []string
	// leaderReady is whether the member led with a quorum at its last step; the member's
	// loop owns it.
	leaderReady bool
	// firstSeen is when this process first saw a job finished, by job id.
	firstSeen map[string]time.Time
	// invited is the shard whose group this machine is to join, 0 if none.
	invited atomic.Uint32
}

// New returns a store process; call Register, then Run.
func New(config Config) *Store {
	if config.Recorder == nil {
		config.Recorder = noRecorder{}
	}
	s := &Store{config: config, change: make(chan struct{}), firstSeen: map[string]time.Time{}}
	s.member = group.New(group.Config{
		Name: "jobs", Folder: config.Folder, FileSystem: config.FileSystem,
		Self: groupmember.Record{Address: config.Address, Name: config.Machine},
		Wire: config.Wire, Machine: func() groupmember.StateMachine { return jobstate.New() },
		Origin: s.origin, OnStep: s.changed, Leaving: s.leaving, Logger: config.Logger, Clock: config.Clock, Seed: config.Seed,
		Limits: groupmember.Limits{Voters: s.wantedVoters(), MinVoters: s.wantedVoters(), Learners: spareMembers},
	})
	s.runner = newRunner(s, replicacall.New(config.Dialect, maxReplicaConnections))
	return s
}

// wantedVoters returns the number of voters of a shard: a quorum of them survives the tolerated
// losses.
func (s *Store) wantedVoters() int { return 2*s.config.ToleratedLosses + 1 }

// Register registers the handlers of calls between processes.
func (s *Store) Register(server *wire.Server) {
	s.member.Register(server)
	server.Handle(jobsapi.MethodCall, s.serveCall)
}

// Run runs the store until ctx ends or the storage fails.
func (s *Store) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return s.member.Run(ctx) })
	tasks.Go(func() error { return s.register(ctx) })
	tasks.Go(func() error { return s.runner.run(ctx) })
	tasks.Go(func() error { return s.expireJobs(ctx) })
	return tasks.Wait()
}

// TransferLeadership transfers leadership before a graceful stop.
func (s *Store) TransferLeadership(ctx context.Context) { s.member.TransferLeadership(ctx) }

// changed signals changes of the state; it runs in the member's loop.
func (s *Store) changed(step group.Step) {
	state := step.Machine.(*jobstate.State)
	s.jobBytes.Store(int64(state.Bytes()))
	if step.LeaderReady != s.leaderReady {
		s.leaderReady = step.LeaderReady
		s.runner.wakeUp()
	}
	if serial := state.JobSerial(); serial != s.jobSerial.Load() {
		s.jobSerial.Store(serial)
		s.runner.wakeUp()
	}
	if serial := state.Serial(); serial != s.serial.Load() {
		s.serial.Store(serial)
		s.mutex.Lock()
		close(s.change)
		s.change = make(chan struct{})
		s.mutex.Unlock()
	}
}

// nextChange returns a channel that is closed at the next result or end of a job.
func (s *Store) nextChange() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.change
}

// expireJobs removes finished jobs after KeepJobs, counted from when this process first saw
// them finished.
func (s *Store) expireJobs(ctx context.Context) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		published := s.member.PublishedState()
		if published == nil || !published.LeaderReady {
			clear(s.firstSeen)
			continue
		}
		s.removeExpired(ctx)
	}
}

func (s *Store) removeExpired(ctx context.Context) {
	now := time.Now()
	var due []string
	_ = s.member.Inspect(ctx, func(machine groupmember.StateMachine) {
		for _, job := range machine.(*jobstate.State).Jobs() {
			if !job.Ended {
				continue
			}
			id := job.Submission.ID
			if first, seen := s.firstSeen[id]; !seen {
				s.firstSeen[id] = now
			} else if now.Sub(first) > s.config.KeepJobs {
				due = append(due, id)
			}
		}
	})
	if len(due) == 0 {
		return
	}
	due = due[:min(len(due), maxForgottenJobs)]
	if err := s.propose(ctx, jobstate.Command{Forget: &jobstate.Forget{Jobs: due}}); err != nil {
		s.config.Logger.Warn().Str(eventlog.Field, eventlog.JobsNotRemoved).Int("jobs", len(due)).Err(err).Msg("finished jobs were not removed")
		return
	}
	for _, id := range due {
		delete(s.firstSeen, id)
	}
}

// propose commits a command without a result.
func (s *Store) propose(ctx context.Context, command jobstate.Command) error {
	data, err := command.Encode()
	if err != nil {
		return err
	}
	_, err = s.proposeTo(ctx, group.AnyShard, data)
	return err
}

// Leads reports whether this machine leads a shard's group, in contact with a quorum.
func (s *Store) Leads() bool {
	published := s.member.PublishedState()
	return published != nil && published.LeaderReady
}

// PublishedState returns the latest published status of the member, or nil.
func (s *Store) PublishedState() *group.PublishedState { return s.member.PublishedState() }

// JobBytes returns the approximate memory of this shard's jobs.
func (s *Store) JobBytes() int64 { return s.jobBytes.Load() }

// OpenItems returns the number of items without a result.
func (s *Store) OpenItems() int64 { return s.open.Load() }
