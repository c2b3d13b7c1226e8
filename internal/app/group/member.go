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
	// joinRetryInterval is the pause between attempts to bootstrap or join the group, and
	// slowJoinRetryInterval that after the first fastJoinRetries attempts.
	joinRetryInterval     = 200 * time.Millisecond
	slowJoinRetryInterval = time.Second
	fastJoinRetries       = 15
	joinTimeout           = time.Second
	// diskFullRetryInterval is the pause between attempts to resume after a full disk.
	diskFullRetryInterval = 500 * time.Millisecond
)

// ErrNotReady rejects a call to a member that is not running.
var ErrNotReady = errors.New("group: the member is not running")

// NotLeaderError rejects a call that only the leader serves. The call had no effect.
type NotLeaderError struct {
	// Leader is the record of the known leader; its id is 0 if none is known.
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
	// hadID is set once the member has had an id in this process. Only Run's
	// goroutine accesses it.
	hadID     bool
	current   atomic.Pointer[loop]
	published atomic.Pointer[PublishedState]
	// stored is the identity in the member's folder, nil if there is none.
	stored atomic.Pointer[identity]
}

// PublishedState is the published state of a member. It is immutable.
type PublishedState struct {
	Shard       Shard
	Status      consensus.Status
	LeaderReady bool
	// Confirmed is set if the member was in contact with a quorum and caught up.
	Confirmed bool
	Applied   uint64
	Records   []groupmember.Record
	// Leader is the record of the known leader; its id is 0 if there is none.
	Leader groupmember.Record
	// Obstacle is what the next membership change waits for, on a leader.
	Obstacle groupmember.Obstacle
	// PublishedAt is when the state was published, by Config.Clock.
	PublishedAt time.Duration
}

// New returns a Member. Call Register, then Run.
func New(config Config) *Member {
	config = config.withDefaults()
	return &Member{config: config, peers: newPeers(config.Wire, config.Name+".consensus")}
}

// Register registers the handlers of the group's methods.
func (m *Member) Register(server *wire.Server) {
	server.HandleMessage(m.config.Name+".consensus", m.enqueueMessage)
	server.Handle(m.config.Name+".join", m.serveJoin)
	server.Handle(m.config.Name+".standing", m.serveRemovalStatus)
}

// enqueueMessage queues a consensus message, or drops it if the queue is full.
func (m *Member) enqueueMessage(_ context.Context, call *wire.Call) {
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

// Run runs the member until ctx is done or its storage fails. After a full disk it restarts
// the member once there is space.
func (m *Member) Run(ctx context.Context) error {
	defer m.peers.close()
	dir := folder{files: m.config.FileSystem, path: m.config.Folder}
	for {
		err := m.openAndRun(ctx, dir)
		switch {
		case errors.Is(err, errRemoved):
			m.config.Logger.Warn().Str(eventlog.Field, eventlog.MembershipRemoved).Str("group", m.config.Name).Msg("this member was removed; it joins again under a new id")
			if err := dir.clear(); err != nil {
				return err
			}
		case errors.Is(err, wal.ErrFull), errors.Is(err, syscall.ENOSPC):
			m.config.Logger.Warn().Str(eventlog.Field, eventlog.DiskFull).Str("group", m.config.Name).Err(err).Msg("the disk is full; this member is stopped until there is space")
			if m.stored.Load() != nil {
				// A leader with a quorum gave the new id: the others have every committed entry.
				m.removeSetAside(dir, "the disk is full")
			}
			select {
			case <-time.After(diskFullRetryInterval):
			case <-ctx.Done():
				return ctx.Err()
			}
		default:
			return err
		}
	}
}

// Limits returns the limits on the number of members, with all times in ticks.
func (m *Member) Limits() groupmember.Limits { return m.config.Limits }

// ElectionTimeout returns the minimum time without a leader after which another member may
// become a candidate.
func (m *Member) ElectionTimeout() time.Duration { return m.config.electionTimeout() }

// Shard returns the shard of this member, 0 if it has none.
func (m *Member) Shard() Shard {
	if stored := m.stored.Load(); stored != nil {
		return stored.Shard
	}
	return 0
}

// Incarnation returns the incarnation of the member's folder, or "" if it has none.
func (m *Member) Incarnation() string {
	if stored := m.stored.Load(); stored != nil {
		return stored.Incarnation
	}
	return ""
}

// openAndRun opens the member and runs it until it must stop.
func (m *Member) openAndRun(ctx context.Context, dir folder) error {
	l, stored, err := m.open(ctx, dir)
	if err != nil {
		return err
	}
	m.current.Store(l)
	watchCtx, stopWatch := context.WithCancel(ctx)
	defer stopWatch()
	go m.watchRemoval(watchCtx, l, stored)
	setAsideWatched := make(chan struct{})
	go func() {
		defer close(setAsideWatched)
		m.watchSetAside(watchCtx, dir, stored.ID)
	}()
	err = l.run(ctx)
	stopWatch()
	<-setAsideWatched
	m.current.Store(nil)
	m.published.Store(nil)
	return errors.Join(err, l.log.Close())
}

// open opens a member from its log, or bootstraps or joins the group. It returns the member's
// loop and identity.
func (m *Member) open(ctx context.Context, dir folder) (*loop, identity, error) {
	stored, found, err := dir.load()
	if err != nil && !isUnusable(err) {
		return nil, identity{}, err
	}
	if found {
		m.stored.Store(&stored)
		var l *loop
		l, err = m.openExisting(dir, stored)
		if err == nil || !isUnusable(err) {
			return l, stored, err
		}
	}
	m.stored.Store(nil)
	if err != nil {
		if err := m.giveUp(dir, err); err != nil {
			return nil, identity{}, err
		}
	}
	mayBootstrap := err == nil && !m.hadID && !dir.hasSetAside()
	m.hadID = true
	return m.bootstrapOrJoin(ctx, dir, mayBootstrap)
}

// isUnusable reports whether the member must join again under a new id: it may have voted, and
// its votes are lost. No loss of power explains such a folder.
func isUnusable(err error) bool {
	return errors.Is(err, errDamagedIdentity) || errors.Is(err, errLostIdentity) || errors.Is(err, wal.ErrMissing) || errors.Is(err, wal.ErrCorrupt) || errors.Is(err, wal.ErrForeign) || errors.Is(err, consensus.ErrInconsistent)
}

func (m *Member) openExisting(dir folder, stored identity) (*loop, error) {
	m.peers.setAddresses(stored.Records, false)
	log, recovery, err := wal.Open(m.walOptions(dir, stored))
	if errors.Is(err, wal.ErrMissing) && !stored.HasLog {
		return m.create(dir, stored)
	}
	if err != nil {
		return nil, err
	}
	if err := recordLog(dir, stored); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	l, err := m.openLoop(stored, log, recovery.Restored)
	if err == nil {
		m.logOpened(l, recovery)
	}
	return l, err
}

// logOpened logs which log a member opened, so that the logs of a group's members can be
// compared after a loss of power.
func (m *Member) logOpened(l *loop, recovery wal.Recovery) {
	status := l.member.Status()
	m.config.Logger.Info().Str(eventlog.Field, eventlog.LogOpened).Str("group", m.config.Name).Uint32("shard", uint32(l.shard)).
		Uint64("member", uint64(status.ID)).Uint64("term", status.Term).Uint64("snapshot", status.SnapshotIndex).
		Uint64("last", status.LastIndex).Uint64("committed", recovery.Restored.HardState.Commit).
		Any("voters", status.Membership.Voters).Int("entries", len(recovery.Restored.Entries)).
		Int64("torn_bytes", recovery.TornBytes).Msg("log opened")
}

func (m *Member) walOptions(dir folder, stored identity) wal.Options {
	return wal.Options{
		FileSystem: m.config.FileSystem, Directory: dir.logPath(),
		Identity: wal.Identity{Cluster: m.config.Name, Member: stored.ID},
	}
}

// bootstrapOrJoin brings a member with an empty folder into the group. The member may
// bootstrap the group only if it never had an id: without its log it could vote twice in a
// term.
func (m *Member) bootstrapOrJoin(ctx context.Context, dir folder, mayBootstrap bool) (*loop, identity, error) {
	incarnation, err := dir.incarnation()
	if err != nil {
		return nil, identity{}, err
	}
	started := m.config.Clock()
	for tries := 1; ; tries++ {
		stored, err := m.tryBootstrapOrJoin(ctx, incarnation, mayBootstrap)
		if err == nil {
			stored.Incarnation = incarnation
			if err := dir.save(stored); err != nil {
				return nil, identity{}, err
			}
			m.config.Logger.Info().Str(eventlog.Field, eventlog.GroupEntered).Str("group", m.config.Name).Uint64("member", uint64(stored.ID)).
				Uint32("shard", uint32(stored.Shard)).Bool("founder", stored.Bootstrap).Dur("took", m.config.Clock()-started).Msg("this member has a new id")
			m.stored.Store(&stored)
			l, err := m.create(dir, stored)
			return l, stored, err
		}
		pause := joinRetryInterval
		if tries > fastJoinRetries {
			pause = slowJoinRetryInterval
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, identity{}, ctx.Err()
		}
	}
}

func (m *Member) tryBootstrapOrJoin(ctx context.Context, incarnation string, mayBootstrap bool) (identity, error) {
	origin, err := m.config.Origin(ctx, incarnation)
	if err != nil {
		return identity{}, err
	}
	for _, founder := range origin.Founders {
		if mayBootstrap && founder.Address == m.config.Self.Address && (founder.Incarnation == "" || founder.Incarnation == incarnation) {
			return identity{ID: founder.ID, Shard: origin.Shard, Bootstrap: true, Records: origin.Founders}, nil
		}
	}
	contacts := origin.Contacts
	for _, founder := range origin.Founders {
		contacts = append(contacts, founder.Address)
	}
	return m.join(ctx, incarnation, origin.Shard, contacts)
}

// create creates the log of a member that has an id.
func (m *Member) create(dir folder, stored identity) (*loop, error) {
	initial := consensus.Membership{}
	if stored.Bootstrap {
		for _, record := range stored.Records {
			initial.Voters = append(initial.Voters, record.ID)
		}
	}
	log, restored, err := wal.Create(m.walOptions(dir, stored), initial)
	if err != nil {
		return nil, err
	}
	if err := recordLog(dir, stored); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return m.openLoop(stored, log, restored)
}

// recordLog durably records in the identity that the member has a log.
func recordLog(dir folder, stored identity) error {
	if stored.HasLog {
		return nil
	}
	stored.HasLog = true
	return dir.save(stored)
}

func (m *Member) openLoop(stored identity, log *wal.Log, restored consensus.Restored) (*loop, error) {
	m.peers.setAddresses(stored.Records, false)
	l, err := newLoop(m.config, stored, log, restored, m.peers, func(step Step) { m.publish(stored.Shard, step) })
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return l, nil
}

// publish publishes the state after a step of the loop.
func (m *Member) publish(shard Shard, step Step) {
	published := &PublishedState{
		Shard: shard, Status: step.Status, LeaderReady: step.LeaderReady, Applied: step.Applied, Records: step.Records,
		Confirmed: step.Status.QuorumActive && step.CaughtUp, PublishedAt: m.config.Clock(),
		Obstacle: step.Obstacle,
	}
	for _, record := range step.Records {
		if record.ID == step.Status.Leader {
			published.Leader = record
		}
	}
	m.published.Store(published)
	m.config.OnStep(step)
}

// PublishedState returns the latest published state, or nil while the member is not running.
// If the state is older than an election timeout, as during a long sync or after a
// suspension, Confirmed and LeaderReady are cleared.
func (m *Member) PublishedState() *PublishedState {
	published := m.published.Load()
	if published == nil || m.config.Clock()-published.PublishedAt < m.config.electionTimeout() {
		return published
	}
	stale := *published
	stale.Confirmed, stale.LeaderReady = false, false
	return &stale
}
