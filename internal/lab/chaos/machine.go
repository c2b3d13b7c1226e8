package chaos

import (
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/adapter/wal/faultfs"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	dataFolder   = "data"
	segmentBytes = 32 << 10
	// maxBacklog limits the messages queued for a paused process.
	maxBacklog = 512
)

// machine is one control machine: a disk, a clock and, while running, a process with a
// control member.
type machine struct {
	world   *World
	id      consensus.MemberID
	initial consensus.Membership
	disk    *faultfs.FileSystem
	offset  time.Duration // of the machine's clock from the true time
	// created is set once the data folder exists; lost once the machine is lost
	// permanently or its disk must not be used again.
	created, lost bool
	// syncFault is set while a sync failure of the disk is pending.
	syncFault bool

	incarnation   uint64
	member        *controlmember.Member // nil while down
	log           *wal.Log
	busyUntil     time.Duration
	callers       map[uint64]func(response)
	subscriptions map[int]subscription // by observer
	lastPushed    uint64
	lastAudited   uint64 // last applied index that the auditor checked
	paused        bool
	missedTicks   int // ticks missed during a pause
	resumed       time.Duration
	backlog       []func()
}

// subscription is an observer's subscription at one member.
type subscription struct {
	position uint64
	session  uint64 // session of the observer
}

func newMachine(world *World, id consensus.MemberID, initial consensus.Membership) *machine {
	return &machine{world: world, id: id, initial: initial, disk: faultfs.New(world.random.Uint64())}
}

func (m *machine) running() bool { return m.member != nil }

// start starts the process from the data on disk.
func (m *machine) start() {
	if m.running() || m.lost {
		return
	}
	restored, err := m.open()
	if err != nil {
		m.openFailed(err)
		return
	}
	member, err := controlmember.New(m.config(), restored, m.world.wallClock(m.offset))
	if err != nil {
		m.world.violation("restart", "member %d: %v", m.id, err)
		m.lost = true
		return
	}
	m.member = member
	m.incarnation++
	m.callers, m.subscriptions = map[uint64]func(response){}, map[int]subscription{}
	m.paused, m.missedTicks, m.backlog = false, 0, nil
	m.lastPushed, m.lastAudited = 0, 0
	m.world.tracef("member %d starts at applied %d", m.id, member.State().Applied())
	m.tickAfter(m.world.randomDuration(0, tickInterval), m.incarnation)
}

func (m *machine) config() controlmember.Config {
	weakness := m.world.options.Weakness
	return controlmember.Config{
		Consensus: consensus.Config{
			ID: m.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			Seed: m.world.random.Uint64(), RetainEntries: snapshotEntries / 2, SnapshotChunkBytes: 2048,
			Safeguards: consensus.Safeguards{
				NoPreVote:     weakness == WeaknessNoPreVote,
				NoCheckQuorum: weakness == WeaknessNoCheckQuorum || weakness == WeaknessLeaderReads,
			},
		},
		TickInterval:    tickInterval,
		SnapshotEntries: snapshotEntries,
		NoTimeJump:      weakness == WeaknessNoTimeJump,
	}
}

func (m *machine) open() (consensus.Restored, error) {
	options := wal.Options{
		FileSystem: m.disk, Directory: dataFolder, SegmentBytes: segmentBytes,
		Identity: wal.Identity{Cluster: clusterName, Member: m.id},
	}
	if m.world.options.Weakness == WeaknessKeepTornTail {
		options.FileSystem = untruncatedFileSystem{m.disk}
	}
	if !m.created {
		log, restored, err := wal.Create(options, m.initial)
		if err != nil {
			return restored, err
		}
		m.created, m.log = true, log
		return restored, nil
	}
	log, recovery, err := wal.Open(options)
	if err != nil {
		return consensus.Restored{}, err
	}
	m.log = log
	if m.world.options.Weakness == WeaknessOmitCachedResults && recovery.Restored.Snapshot.Index > 0 {
		recovery.Restored.Snapshot.Data = withoutCachedResults(recovery.Restored.Snapshot.Data)
	}
	return recovery.Restored, nil
}

func (m *machine) openFailed(err error) {
	if errors.Is(err, wal.ErrFailed) {
		m.diskFailed(err)
		return
	}
	m.world.violation("restart", "member %d cannot use its folder after a crash: %v", m.id, err)
	m.lost = true
}

// tickAfter schedules the ticks of one incarnation of the process.
func (m *machine) tickAfter(delay time.Duration, incarnation uint64) {
	m.world.after(delay, func() {
		if m.incarnation != incarnation || !m.running() {
			return
		}
		m.tickAfter(tickInterval, incarnation)
		if m.paused {
			m.missedTicks++
			return
		}
		m.process(m.tick)
	})
}

func (m *machine) tick() {
	m.member.Tick(m.world.wallClock(m.offset))
	m.world.audit.checkQuorumContact(m)
}

// process runs work in the member's process and handles the resulting Ready. It queues work
// while the process is paused or busy.
func (m *machine) process(work func()) {
	if !m.running() {
		return
	}
	if m.paused {
		if len(m.backlog) < maxBacklog {
			m.backlog = append(m.backlog, work)
		}
		return
	}
	if m.world.now < m.busyUntil {
		incarnation := m.incarnation
		m.world.at(m.busyUntil, func() {
			if m.incarnation == incarnation {
				m.process(work)
			}
		})
		return
	}
	work()
	m.handleReady()
}

// handleReady handles the member's pending Ready values, then replies to callers, stores a
// due snapshot and updates observers. The machine may crash between any two steps.
func (m *machine) handleReady() {
	for m.running() && m.member.HasReady() {
		if !m.handleOneReady(m.member.Ready()) {
			return
		}
	}
	if !m.running() {
		return
	}
	m.replyToCallers()
	if m.member.SnapshotDue() && !m.snapshot() {
		return
	}
	m.push()
}

func (m *machine) handleOneReady(ready consensus.Ready) bool {
	m.world.audit.recordCommitted(m, ready)
	if !m.sendAll(ready, true) || m.maybeCrash("before the write") {
		return false
	}
	if err := m.persist(ready); err != nil {
		m.diskFailed(err)
		return false
	}
	if ready.MustSync {
		m.busyUntil = max(m.busyUntil, m.world.now) + syncTime
	}
	if m.maybeCrash("between write and send") {
		return false
	}
	if !m.sendAll(ready, false) {
		return false
	}
	if err := m.member.Advance(ready); err != nil {
		m.world.violation("advance", "member %d: %v", m.id, err)
		m.stop()
		return false
	}
	if ready.Snapshot != nil {
		m.world.coverage.SnapshotsInstalled++
	}
	m.world.audit.checkApplied(m)
	m.replyToCallers()
	return !m.maybeCrash("after the answers")
}

// sendAll sends the messages that may precede the sync if early is set, else those that
// must follow it.
func (m *machine) sendAll(ready consensus.Ready, early bool) bool {
	for _, message := range ready.Messages {
		if ready.MayPrecedeSync(message) != early {
			continue
		}
		m.send(message)
		if m.maybeCrash("between two sends") {
			return false
		}
	}
	return true
}

// persist makes the writes of a Ready durable.
func (m *machine) persist(ready consensus.Ready) error {
	if m.world.options.Weakness == WeaknessSkipSync {
		ready.MustSync = false
	}
	return m.log.Persist(ready)
}

func (m *machine) send(message consensus.Message) {
	target := m.world.machine(message.To)
	if target == nil {
		return
	}
	m.world.network.send(m.id, message.To, max(m.world.now, m.busyUntil), func() {
		target.process(func() {
			if err := target.member.Step(message); errors.Is(err, consensus.ErrCommittedConflict) {
				m.world.violation("committed entries kept", "member %d received a conflict with a committed entry", target.id)
			}
		})
	})
}

func (m *machine) replyToCallers() {
	if !m.running() {
		return
	}
	for _, reply := range m.member.TakeReplies() {
		caller, waiting := m.callers[reply.Token]
		if !waiting {
			continue
		}
		delete(m.callers, reply.Token)
		caller(response{result: reply.Result, err: reply.Error, leader: m.member.Leader()})
	}
}

// call proposes a command to the member, or requests a read if command is nil.
func (m *machine) call(token uint64, command *port.Command) {
	if command != nil {
		m.member.Propose(token, *command)
		return
	}
	weakness := m.world.options.Weakness
	if weakness == WeaknessLocalReads || weakness == WeaknessLeaderReads && m.member.IsLeader() {
		caller := m.callers[token]
		delete(m.callers, token)
		caller(response{result: port.Result{Revision: m.member.State().Revision()}})
		return
	}
	m.member.Read(token)
}

// snapshot stores a snapshot and truncates the log that it covers.
func (m *machine) snapshot() bool {
	snapshot, err := m.member.BuildSnapshot()
	if err != nil {
		return true
	}
	m.world.audit.checkSnapshot(m, snapshot)
	if m.maybeCrash("before the snapshot") {
		return false
	}
	if err := m.log.SaveSnapshot(snapshot); err != nil && !errors.Is(err, wal.ErrOldSnapshot) {
		m.diskFailed(err)
		return false
	}
	if m.maybeCrash("after the snapshot") {
		return false
	}
	if err := m.member.Compact(snapshot); err != nil {
		m.world.violation("compaction", "member %d: %v", m.id, err)
	}
	return true
}

// push sends updates to the observers that watch this member.
func (m *machine) push() {
	position := m.member.State().Position()
	if position == m.lastPushed {
		return
	}
	m.lastPushed = position
	for _, number := range sortedKeys(m.subscriptions) {
		m.pushTo(number)
	}
}

func (m *machine) pushTo(number int) {
	subscribed := m.subscriptions[number]
	update := m.member.Update(subscribed.position)
	if m.world.options.Weakness == WeaknessConfirmBehind {
		update.Confirmed = m.member.QuorumActive() && m.member.State().Applied() >= m.member.Status().Commit
	}
	m.world.audit.checkConfirmed(m, update)
	subscribed.position = max(update.Position, subscribed.position)
	m.subscriptions[number] = subscribed
	m.world.network.send(m.id, outside, max(m.world.now, m.busyUntil), func() {
		m.world.observers[number].receive(m.id, subscribed.session, update)
	})
}
