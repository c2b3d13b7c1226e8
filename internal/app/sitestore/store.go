package sitestore

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
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
	forgetInterval = time.Second
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
	// Clock also counts suspended time; nil is that of the machine.
	Clock boottime.Clock
	Seed  uint64
	// ToleratedLosses is how many machines with a disk may be lost at once.
	ToleratedLosses int
	// Cold is what cold replicas bear beyond their service's rate.
	Cold coldlimit.Limits
	// Recorder measures items; nil measures nothing.
	Recorder Recorder
	// KeepJobs is how long a finished job can be asked about.
	KeepJobs time.Duration
	// MostJobBytes bounds the jobs that the member holds, as jobstate.State.Bytes counts
	// them: beyond it a job is refused before it is kept. 0 is no bound.
	MaxJobBytes int
}

// Recorder measures the items of jobs.
type Recorder interface {
	// RunEnded counts a run of an item at a replica.
	RunEnded(outcome string)
	// ItemEnded counts an item that has its result after a time.
	ItemEnded(outcome string, took time.Duration)
	// PageServed counts a page of results that the member gave as the leader or not.
	PageServed(role string)
}

// noRecorder measures nothing.
type noRecorder struct{}

func (noRecorder) RunEnded(string)                 {}
func (noRecorder) ItemEnded(string, time.Duration) {}
func (noRecorder) PageServed(string)               {}

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
	// jobBytes is about what the jobs take in memory.
	jobBytes atomic.Int64
	demand   atomic.Pointer[demand]
	// open counts the items that are being done.
	open  atomic.Int64
	mutex sync.Mutex
	// news is closed and replaced when results came.
	news        chan struct{}
	incarnation string
	// settled is whether the member led, in touch with a quorum, at its last step; the
	// loop's goroutine owns it.
	settled bool
	seen    map[string]time.Time
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
		Origin: s.origin, Changed: s.changed, Leaving: s.leaving, Logger: config.Logger, Clock: config.Clock, Seed: config.Seed,
		Limits: groupmember.Limits{Voters: s.wantedVoters(), MinVoters: s.wantedVoters(), Learners: spareMembers},
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
func (s *Store) TransferLeadership(ctx context.Context) { s.member.TransferLeadership(ctx) }

// changed publishes that there is news, in the loop's goroutine.
func (s *Store) changed(step group.Step) {
	state := step.Machine.(*jobstate.State)
	s.jobBytes.Store(int64(state.Bytes()))
	if step.LeaderReady != s.settled {
		s.settled = step.LeaderReady
		s.runner.wakeUp()
	}
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
		shown := s.member.PublishedState()
		if shown == nil || !shown.LeaderReady {
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
	shown := s.member.PublishedState()
	return shown != nil && shown.LeaderReady
}

// Shown gives what the process's member last showed of itself, or nil.
func (s *Store) PublishedState() *group.PublishedState { return s.member.PublishedState() }

// JobBytes gives about what the jobs of this machine's shard take in memory.
func (s *Store) JobBytes() int64 { return s.jobBytes.Load() }

// Open gives the number of items that are being done here.
func (s *Store) OpenItems() int64 { return s.open.Load() }
