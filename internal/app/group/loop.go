package group

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

const (
	requestQueueSize = 4096
	messageQueueSize = 4096
	// maintenanceTicks is the number of ticks between the runs of runMaintenance.
	maintenanceTicks = 5
)

// errRemoved stops a loop whose member was removed from the group.
var errRemoved = errors.New("group: this member was removed from the group")

// request is a function to run in the loop's goroutine.
type request func(l *loop)

// loop owns the core and the log of a member. Only the goroutine of run accesses it, except
// for the channels.
type loop struct {
	config   Config
	shard    Shard
	member   *groupmember.Member
	machine  groupmember.StateMachine
	log      *wal.Log
	peers    *peers
	requests chan request
	messages chan consensus.Message
	stopped  chan struct{}
	// publishStep receives the state after each step.
	publishStep func(Step)

	// startedAt is a reading of Config.Clock: leases and timeouts expire while the machine
	// is suspended too.
	startedAt time.Duration
	ticks     int64
	// ticker fires at each tick; the ticks are counted by Config.Clock.
	ticker *time.Ticker
	// led is set if the member led after the last step.
	led bool
	// lastMissed are the latest ticks that were missed in one go, up to missedAt.
	lastMissed, missedAt int64
	// writing is how long the loop waited for the disk since the last tick.
	writing time.Duration
	// lastMaintenance is the tick of the last run of runMaintenance.
	lastMaintenance int64
	lastToken       uint64
	// held are messages that arrived during a write and wait for its end.
	held []consensus.Message
	// heldReady is closed; wait selects it while messages are held.
	heldReady      chan struct{}
	pendingReplies map[uint64]func(groupmember.Reply)
	changePending  bool // a membership change is proposed and has no reply yet
	// newMembers are the members that lack the log, on a leader.
	newMembers map[consensus.MemberID]newMember
	// obstacle is what the next membership change waits for since the tick obstacleSince.
	obstacle       groupmember.Obstacle
	obstacleSince  int64
	obstacleLogged bool
	// saving is set while a snapshot is encoded and written in the background; saved
	// receives the result.
	saving bool
	saved  chan savedSnapshot
	// reading is set while the latest snapshot is read for another member; read receives
	// it.
	reading bool
	read    chan consensus.Snapshot
	// removed is set once a leader has reported that this member was removed.
	removed          bool
	publishedRecords []groupmember.Record
}

// newLoop returns a loop on an open log.
func newLoop(config Config, stored identity, log *wal.Log, restored consensus.Restored, peers *peers, publishStep func(Step)) (*loop, error) {
	machine := config.Machine()
	member, err := groupmember.New(groupmember.Config{
		Consensus: config.consensus(stored.ID), SnapshotBytes: config.SnapshotBytes, Founders: stored.Records,
	}, restored, machine)
	if err != nil {
		return nil, eris.Wrap(err, config.Folder)
	}
	heldReady := make(chan struct{})
	close(heldReady)
	return &loop{
		config: config, shard: stored.Shard, member: member, machine: machine, log: log, peers: peers, publishStep: publishStep,
		requests:       make(chan request, requestQueueSize),
		messages:       make(chan consensus.Message, messageQueueSize),
		stopped:        make(chan struct{}),
		heldReady:      heldReady,
		startedAt:      config.Clock(),
		pendingReplies: make(map[uint64]func(groupmember.Reply)),
		saved:          make(chan savedSnapshot, 1),
		read:           make(chan consensus.Snapshot, 1),
	}, nil
}

// run processes events until ctx is done or the member must stop.
func (l *loop) run(ctx context.Context) error {
	defer close(l.stopped)
	defer l.failPending()
	defer l.waitForSnapshot()
	l.ticker = time.NewTicker(l.config.Tick)
	defer l.ticker.Stop()
	if err := l.processReady(); err != nil {
		return err
	}
	for {
		if err := l.wait(ctx); err != nil {
			return err
		}
		if err := l.handleQueued(); err != nil {
			return err
		}
		if err := l.processReady(); err != nil {
			return err
		}
	}
}

// wait blocks for the first event of a batch and processes it, after the ticks that have
// elapsed.
func (l *loop) wait(ctx context.Context) error {
	messages := l.messages
	var held <-chan struct{}
	if len(l.held) > 0 {
		messages, held = nil, l.heldReady // held messages are older
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-l.ticker.C:
		l.catchUpTicks()
		return nil
	case <-held: // handleQueued steps the messages
		l.catchUpTicks()
		return nil
	case message := <-messages:
		l.catchUpTicks()
		return l.step(message)
	case request := <-l.requests:
		l.catchUpTicks()
		request(l)
		return nil
	case saved := <-l.saved:
		l.catchUpTicks()
		return l.finishSnapshot(saved)
	case snapshot := <-l.read:
		l.catchUpTicks()
		l.reading = false
		l.member.ProvideSnapshot(snapshot)
		return nil
	}
}

// handleQueued processes the queued events, so that one sync covers the batch. The batch
// ends with the tick: heartbeats that come due leave only after it. Ticks are counted before
// each event: those that elapsed before an acknowledgement of the leader must not count
// against it, and a read must not be served under an expired lease.
func (l *loop) handleQueued() error {
	began := l.ticks
	if err := l.stepHeld(); err != nil {
		return err
	}
	for range maxBatch - 1 {
		if l.ticks != began {
			return nil
		}
		select {
		case message := <-l.messages:
			l.catchUpTicks()
			if err := l.step(message); err != nil {
				return err
			}
		case request := <-l.requests:
			l.catchUpTicks()
			request(l)
		default:
			return nil
		}
	}
	return nil
}

// stepHeld passes the messages to the core that arrived during a write.
func (l *loop) stepHeld() error {
	held := l.held
	l.held = nil
	for _, message := range held {
		l.catchUpTicks()
		if err := l.step(message); err != nil {
			return err
		}
	}
	return nil
}

// step passes a message to the core. It returns only the fatal error and drops malformed
// messages.
func (l *loop) step(message consensus.Message) error {
	err := l.member.Step(message)
	if errors.Is(err, consensus.ErrCommittedConflict) {
		return eris.Wrap(err, "consensus")
	}
	return nil
}

// catchUpTicks passes elapsed ticks to the core. All but the last one were missed: the loop
// was blocked or the machine suspended.
func (l *loop) catchUpTicks() {
	if elapsed := l.takeElapsedTicks(); elapsed > 0 {
		l.recordMissedTicks(elapsed - 1)
		l.member.Tick()
	}
	if l.ticks-l.lastMaintenance >= maintenanceTicks {
		l.lastMaintenance = l.ticks
		l.runMaintenance()
	}
}

// takeElapsedTicks returns the number of ticks that have elapsed since the last call.
func (l *loop) takeElapsedTicks() int {
	elapsed := l.elapsedTicks()
	l.ticks += int64(elapsed)
	return elapsed
}

// elapsedTicks returns the number of ticks that have elapsed and were not taken.
func (l *loop) elapsedTicks() int {
	due := int64((l.config.Clock() - l.startedAt) / l.config.Tick)
	return int(max(0, due-l.ticks))
}

// recordMissedTicks passes missed ticks to the core. It logs a warning, with the part that
// was spent writing, if another member may have started an election meanwhile.
func (l *loop) recordMissedTicks(ticks int) {
	writing := l.writing
	l.writing = 0
	if ticks > 0 {
		l.lastMissed, l.missedAt = int64(ticks), l.ticks
	}
	l.member.TickMissed(ticks)
	if ticks < l.config.ElectionTicks {
		return
	}
	l.config.Logger.Warn().Str(eventlog.Field, eventlog.MemberDelayed).Str("group", l.config.Name).Uint32("shard", uint32(l.shard)).
		Uint64("term", l.member.Status().Term).Bool("leads", l.member.IsLeader()).Dur("held_up", time.Duration(ticks)*l.config.Tick).
		Dur("writing", writing).
		Msg("the member was not scheduled for longer than an election timeout")
}

// runMaintenance runs the periodic tasks: it keeps connections to the other voters open,
// updates the snapshot data and, on the leader, proposes the next membership change that is
// due.
func (l *loop) runMaintenance() {
	status := l.member.Status()
	var others []consensus.MemberID
	for _, id := range status.Membership.Voters {
		if id != status.ID {
			others = append(others, id)
		}
	}
	l.peers.connect(others)
	l.updateSnapshotData()
	l.observeMembers(status)
	if !l.member.LeaderReady() {
		return
	}
	l.member.ProposeDirectory()
	if l.changePending {
		return
	}
	change, due := groupmember.Plan(status, l.member.Directory(), l.leaving(), l.config.Limits)
	if !due {
		l.recordObstacle(groupmember.Waiting(status, l.member.Directory(), l.leaving(), l.config.Limits))
		return
	}
	l.recordObstacle(groupmember.ObstacleNone)
	if change.Transfer {
		l.startTransfer()
		return
	}
	l.changePending = true
	record, _ := l.member.Record(change.Member)
	// At warning level, so that the line is not dropped under load.
	l.config.Logger.Warn().Str(eventlog.Field, eventlog.MembershipChange).Str("group", l.config.Name).Uint8("kind", uint8(change.Kind)).
		Uint64("member", uint64(change.Member)).Str("address", record.Address).Msg("membership change proposed")
	token := l.addPendingReply(func(reply groupmember.Reply) {
		l.changePending = false
		if reply.Err == nil {
			l.planNextChange()
		}
	})
	l.member.ChangeMembership(token, change.Kind, groupmember.Record{ID: change.Member})
}

// planNextChange makes the next event run runMaintenance. Membership changes follow each
// other: the successor of a lost voter is added, the lost one removed, the successor promoted.
func (l *loop) planNextChange() { l.lastMaintenance = l.ticks - maintenanceTicks }

// leaving returns the machines to drain.
func (l *loop) leaving() map[string]bool {
	if l.config.Leaving == nil {
		return nil
	}
	return l.config.Leaving()
}

// startTransfer starts a leadership transfer to the active voter with the longest log.
func (l *loop) startTransfer() {
	var best consensus.PeerStatus
	for _, peer := range l.member.Status().Progress {
		if !peer.Learner && peer.Active && peer.Match > best.Match {
			best = peer
		}
	}
	if best.ID != consensus.None {
		_ = l.member.TransferTo(best.ID)
	}
}

// processReady handles all Readys of the core, then publishes the state and replies.
func (l *loop) processReady() error {
	for l.member.HasReady() {
		if err := l.persistAndSend(l.member.Ready()); err != nil {
			return err
		}
	}
	if l.removed || l.member.Status().Role == consensus.RoleRemoved {
		return errRemoved
	}
	if l.member.SnapshotDue() && !l.saving {
		if err := l.startSnapshot(); err != nil {
			return err
		}
	}
	l.logLeadership()
	l.publish()
	l.deliverReplies()
	return nil
}

// logLeadership logs that the member leads since the last step, or no longer does.
func (l *loop) logLeadership() {
	led := l.led
	l.led = l.member.IsLeader()
	if l.led == led {
		return
	}
	status := l.member.Status()
	if l.led {
		// At warning level, so that the line is not dropped under load.
		l.config.Logger.Warn().Str(eventlog.Field, eventlog.LeadershipWon).Str("group", l.config.Name).Uint32("shard", uint32(l.shard)).
			Uint64("member", uint64(status.ID)).Uint64("term", status.Term).Uint64("last", status.LastIndex).
			Any("voters", status.Membership.Voters).Msg("this member leads")
		return
	}
	lost := status.LastStepDown
	l.config.Logger.Warn().Str(eventlog.Field, eventlog.LeadershipLost).Str("group", l.config.Name).Uint32("shard", uint32(l.shard)).
		Uint64("term", lost.Term).Str("reason", lost.Reason.String()).Uint64("by", uint64(lost.From)).Uint64("new_term", status.Term).
		Dur("held_up", time.Duration(l.lastMissed)*l.config.Tick).Dur("held_up_ago", time.Duration(l.ticks-l.missedAt)*l.config.Tick).
		Msg("this member no longer leads")
}

// publish publishes the state. processReady calls it before the replies, so that callers see
// the effect of their requests.
func (l *loop) publish() {
	records := l.member.Directory()
	if !sameRecords(records, l.publishedRecords) {
		l.publishedRecords = records
		l.peers.setAddresses(records, true)
	}
	l.publishStep(Step{
		Machine: l.machine, Status: l.member.Status(), LeaderReady: l.member.LeaderReady(),
		CaughtUp: l.member.CaughtUp(), Applied: l.member.Applied(), Records: l.publishedRecords, Obstacle: l.obstacle,
	})
}

func sameRecords(a, b []groupmember.Record) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// deliverReplies passes the replies of the core to their callbacks.
func (l *loop) deliverReplies() {
	for _, reply := range l.member.TakeReplies() {
		if handle, found := l.pendingReplies[reply.Token]; found {
			delete(l.pendingReplies, reply.Token)
			handle(reply)
		}
	}
}

// addPendingReply returns a token whose reply is passed to handle, which must not block.
func (l *loop) addPendingReply(handle func(groupmember.Reply)) uint64 {
	l.lastToken++
	l.pendingReplies[l.lastToken] = handle
	return l.lastToken
}

// failPending fails all pending requests when the loop ends.
func (l *loop) failPending() {
	for token, handle := range l.pendingReplies {
		delete(l.pendingReplies, token)
		handle(groupmember.Reply{Token: token, Err: groupmember.ErrLeadershipLost})
	}
}
