package group

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

const (
	// originInterval is the time between tries to enter, slowInterval that
	// after quickTries of them.
	originInterval = 200 * time.Millisecond
	slowInterval   = time.Second
	quickTries     = 15
	joinTimeout    = time.Second
	// fullPause is the time between two tries to go on from a full disk.
	fullPause = 500 * time.Millisecond
)

// ErrNotReady refuses a call on a member that takes no part yet.
var ErrNotReady = errors.New("group: the member takes no part yet")

// NotLeaderError refuses a call that only the leader serves. The call had no
// effect.
type NotLeaderError struct {
	// Leader is the record of the leader that this member knows; its id is 0
	// if it knows none.
	Leader groupmember.Record
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("group: not the leader; known leader: %q", e.Leader.Address)
}

// Member is one member of a group.
type Member struct {
	config Config
	peers  *peers
	// entered is set once the member had an id in this life of the process; Run's
	// goroutine owns it.
	entered bool
	current atomic.Pointer[loop]
	shown   atomic.Pointer[PublishedState]
	// stored is the identity in the member's folder, nil while it has none.
	stored atomic.Pointer[identity]
}

// Shown is what a member shows of itself to other goroutines. It is immutable.
type PublishedState struct {
	Shard       Shard
	Status      consensus.Status
	LeaderReady bool
	// Confirmed is set if the member was in touch with a quorum and caught up.
	Confirmed bool
	Applied   uint64
	Records   []groupmember.Record
	// Leader is the record of the known leader; its id is 0 if there is none.
	Leader groupmember.Record
	// At is when it was shown, by the configuration's clock.
	PublishedAt time.Duration
}

// New makes a member. Register and then Run follow.
func New(config Config) *Member {
	config = config.withDefaults()
	return &Member{config: config, peers: newPeers(config.Wire, config.Name+".consensus")}
}

// Register sets the handlers of the group's methods.
func (m *Member) Register(server *wire.Server) {
	server.HandleMessage(m.config.Name+".consensus", m.takeMessage)
	server.Handle(m.config.Name+".join", m.serveJoin)
	server.Handle(m.config.Name+".standing", m.serveStanding)
}

// takeMessage queues a consensus message; one that finds no room is lost.
func (m *Member) takeMessage(_ context.Context, call *wire.Call) {
	l := m.current.Load()
	var message consensus.Message
	if l == nil || call.Decode(&message) != nil {
		return
	}
	select {
	case l.messages <- message:
	default:
	}
}

// Run takes part in the group until the context ends or the member's storage
// fails. From a full disk it goes on, as after a restart, once there is room.
func (m *Member) Run(ctx context.Context) error {
	defer m.peers.close()
	place := folder{files: m.config.FileSystem, path: m.config.Folder}
	for {
		err := m.takePart(ctx, place)
		switch {
		case errors.Is(err, errRemoved):
			m.config.Logger.Warn().Str(eventlog.Field, eventlog.MembershipRemoved).Str("group", m.config.Name).Msg("this member was removed; it joins again under a new id")
			if err := place.clear(); err != nil {
				return err
			}
		case errors.Is(err, wal.ErrFull), errors.Is(err, syscall.ENOSPC):
			m.config.Logger.Warn().Str(eventlog.Field, eventlog.DiskFull).Str("group", m.config.Name).Err(err).Msg("the disk is full; this member takes no part until there is room")
			select {
			case <-time.After(fullPause):
			case <-ctx.Done():
				return ctx.Err()
			}
		default:
			return err
		}
	}
}

// Limits gives how many members are wanted, with all limits in ticks.
func (m *Member) Limits() groupmember.Limits { return m.config.Limits }

// ElectionTimeout is the shortest time without a leader's messages after which another
// member may stand.
func (m *Member) ElectionTimeout() time.Duration { return m.config.electionTimeout() }

// Shard gives the shard whose group this machine is a member of, 0 while it is of none.
func (m *Member) Shard() Shard {
	if stored := m.stored.Load(); stored != nil {
		return stored.Shard
	}
	return 0
}

// Incarnation gives the incarnation of this machine's folder, empty while it has none.
func (m *Member) Incarnation() string {
	if stored := m.stored.Load(); stored != nil {
		return stored.Incarnation
	}
	return ""
}

// takePart opens the member and runs it until it must stop.
func (m *Member) takePart(ctx context.Context, place folder) error {
	l, stored, err := m.open(ctx, place)
	if err != nil {
		return err
	}
	m.current.Store(l)
	watched, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go m.watchStanding(watched, l, stored)
	err = l.run(ctx)
	m.current.Store(nil)
	m.shown.Store(nil)
	return errors.Join(err, l.log.Close())
}

// open gives the loop of a member and its identity: from its log, or by founding or
// joining.
func (m *Member) open(ctx context.Context, place folder) (*loop, identity, error) {
	stored, found, err := place.load()
	if err != nil {
		return nil, identity{}, err
	}
	mayFound := !found && !m.entered
	m.entered = true
	if found {
		m.stored.Store(&stored)
		l, err := m.reopen(place, stored)
		if err == nil || !unusable(err) {
			return l, stored, err
		}
		m.config.Logger.Error().Str(eventlog.Field, eventlog.LogUnusable).Str("group", m.config.Name).Err(err).Msg("the folder is cleared; this member joins under a new id")
	}
	m.stored.Store(nil)
	if err := place.clear(); err != nil {
		return nil, identity{}, err
	}
	return m.enter(ctx, place, mayFound)
}

func unusable(err error) bool {
	return errors.Is(err, wal.ErrCorrupt) || errors.Is(err, wal.ErrForeign) || errors.Is(err, consensus.ErrInconsistent)
}

func (m *Member) reopen(place folder, stored identity) (*loop, error) {
	m.peers.learn(stored.Records, false)
	log, recovery, err := wal.Open(m.walOptions(place, stored))
	if errors.Is(err, wal.ErrMissing) {
		return m.create(place, stored)
	}
	if err != nil {
		return nil, err
	}
	m.config.Logger.Info().Str(eventlog.Field, eventlog.LogOpened).Str("group", m.config.Name).Uint64("member", uint64(stored.ID)).
		Int("entries", len(recovery.Restored.Entries)).Int64("torn_bytes", recovery.TornBytes).Msg("the log was read")
	return m.loopOn(stored, log, recovery.Restored)
}

func (m *Member) walOptions(place folder, stored identity) wal.Options {
	return wal.Options{
		FileSystem: m.config.FileSystem, Directory: place.logPath(),
		Identity: wal.Identity{Cluster: m.config.Name, Member: stored.ID},
	}
}

// enter brings a member with an empty folder into the group. It may be among the
// founders only if it never had an id: under one that it had before it would vote
// without memory.
func (m *Member) enter(ctx context.Context, place folder, mayFound bool) (*loop, identity, error) {
	incarnation := newIncarnation()
	for tries := 1; ; tries++ {
		stored, err := m.tryEnter(ctx, incarnation, mayFound)
		if err == nil {
			stored.Incarnation = incarnation
			if err := place.save(stored); err != nil {
				return nil, identity{}, err
			}
			m.config.Logger.Info().Str(eventlog.Field, eventlog.GroupEntered).Str("group", m.config.Name).Uint64("member", uint64(stored.ID)).
				Uint32("shard", uint32(stored.Shard)).Bool("founder", stored.Founding).Msg("this member has an id")
			m.stored.Store(&stored)
			l, err := m.create(place, stored)
			return l, stored, err
		}
		pause := originInterval
		if tries > quickTries {
			pause = slowInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, identity{}, ctx.Err()
		}
	}
}

func (m *Member) tryEnter(ctx context.Context, incarnation string, mayFound bool) (identity, error) {
	origin, err := m.config.Origin(ctx, incarnation)
	if err != nil {
		return identity{}, err
	}
	for _, founder := range origin.Founders {
		if mayFound && founder.Address == m.config.Self.Address && (founder.Incarnation == "" || founder.Incarnation == incarnation) {
			return identity{ID: founder.ID, Shard: origin.Shard, Founding: true, Records: origin.Founders}, nil
		}
	}
	contacts := origin.Contacts
	for _, founder := range origin.Founders {
		contacts = append(contacts, founder.Address)
	}
	return m.join(ctx, incarnation, origin.Shard, contacts)
}

// create makes the log of a member that has an id.
func (m *Member) create(place folder, stored identity) (*loop, error) {
	initial := consensus.Membership{}
	if stored.Founding {
		for _, record := range stored.Records {
			initial.Voters = append(initial.Voters, record.ID)
		}
	}
	log, restored, err := wal.Create(m.walOptions(place, stored), initial)
	if err != nil {
		return nil, err
	}
	return m.loopOn(stored, log, restored)
}

func (m *Member) loopOn(stored identity, log *wal.Log, restored consensus.Restored) (*loop, error) {
	m.peers.learn(stored.Records, false)
	l, err := newLoop(m.config, stored, log, restored, m.peers, func(step Step) { m.show(stored.Shard, step) })
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return l, nil
}

// show publishes a step of the loop.
func (m *Member) show(shard Shard, step Step) {
	shown := &PublishedState{
		Shard: shard, Status: step.Status, LeaderReady: step.LeaderReady, Applied: step.Applied, Records: step.Records,
		Confirmed: step.Status.QuorumActive && step.CaughtUp, PublishedAt: m.config.Clock(),
	}
	for _, record := range step.Records {
		if record.ID == step.Status.Leader {
			shown.Leader = record
		}
	}
	m.shown.Store(shown)
	m.config.Changed(step)
}

// Shown gives what the member last showed of itself, or nil while it takes no
// part. Confirmed and Settled are cleared if that is older than an election
// timeout: a loop that hangs in a sync confirms nothing, nor does one on a machine that
// wakes up.
func (m *Member) PublishedState() *PublishedState {
	shown := m.shown.Load()
	if shown == nil || m.config.Clock()-shown.PublishedAt < m.config.electionTimeout() {
		return shown
	}
	stale := *shown
	stale.Confirmed, stale.LeaderReady = false, false
	return &stale
}
