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
	requestQueue = 4096
	messageQueue = 4096
	// houseTicks is the number of ticks between looks at the membership.
	houseTicks = 5
)

// errRemoved ends a loop whose member was removed from the group.
var errRemoved = errors.New("group: this member was removed from the group")

// request is a piece of work for the loop's goroutine.
type request func(l *loop)

// loop owns the core and the log of a member. Only run's goroutine touches it,
// but for the channels.
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
	// shown takes what the loop shows after each step.
	shown func(Step)

	// started is counted by the configuration's clock: leases and promises, which other
	// members go by, age while the machine is suspended too.
	started time.Duration
	ticks   int64
	// houseTick is the tick of the last look at the membership.
	houseTick int64
	lastToken uint64
	awaiting  map[uint64]func(groupmember.Reply)
	changing  bool
	// saving is set while a snapshot is encoded and written beside the loop; saved
	// takes how that went.
	saving bool
	saved  chan savedSnapshot
	// reading is set while the newest snapshot is read for a member that waits for
	// it; read takes what was read.
	reading bool
	read    chan consensus.Snapshot
	// removed is set once the group's leader said that this member was removed.
	removed bool
	told    []groupmember.Record
}

// newLoop builds the core on an open log.
func newLoop(config Config, stored identity, log *wal.Log, restored consensus.Restored, peers *peers, shown func(Step)) (*loop, error) {
	machine := config.Machine()
	member, err := groupmember.New(groupmember.Config{
		Consensus: config.consensus(stored.ID), SnapshotBytes: config.SnapshotBytes, Founders: stored.Records,
	}, restored, machine)
	if err != nil {
		return nil, eris.Wrap(err, config.Folder)
	}
	return &loop{
		config: config, shard: stored.Shard, member: member, machine: machine, log: log, peers: peers, shown: shown,
		requests: make(chan request, requestQueue),
		messages: make(chan consensus.Message, messageQueue),
		stopped:  make(chan struct{}),
		started:  config.Clock(),
		awaiting: make(map[uint64]func(groupmember.Reply)),
		saved:    make(chan savedSnapshot, 1),
		read:     make(chan consensus.Snapshot, 1),
	}, nil
}

// run works until the context ends or the member must stop.
func (l *loop) run(ctx context.Context) error {
	defer close(l.stopped)
	defer l.failAll()
	defer l.awaitSnapshot()
	ticker := time.NewTicker(l.config.Tick)
	defer ticker.Stop()
	if err := l.work(); err != nil {
		return err
	}
	for {
		if err := l.wait(ctx, ticker.C); err != nil {
			return err
		}
		if err := l.takeMore(); err != nil {
			return err
		}
		if err := l.work(); err != nil {
			return err
		}
	}
}

// wait blocks for the first event of a group. Ticks that passed meanwhile come
// before it.
func (l *loop) wait(ctx context.Context, tick <-chan time.Time) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-tick:
		l.catchUpTicks()
		return nil
	case message := <-l.messages:
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

// takeMore takes in what else is waiting, so that one sync serves the group.
func (l *loop) takeMore() error {
	for range maxBatch - 1 {
		select {
		case message := <-l.messages:
			if err := l.step(message); err != nil {
				return err
			}
		case request := <-l.requests:
			l.catchUpTicks() // a read must not be answered under a lease that is over
			request(l)
		default:
			return nil
		}
	}
	return nil
}

// step hands a message to the core. Only the error that is final counts; a
// malformed message is dropped.
func (l *loop) step(message consensus.Message) error {
	err := l.member.Step(message)
	if errors.Is(err, consensus.ErrCommittedConflict) {
		return eris.Wrap(err, "consensus")
	}
	return nil
}

// catchUpTicks tells the core of the ticks that passed. Those before the last one were
// missed: the loop was held up.
func (l *loop) catchUpTicks() {
	due := int64((l.config.Clock() - l.started) / l.config.Tick)
	passed := due - l.ticks
	if passed <= 0 {
		return
	}
	l.ticks = due
	l.noteMissed(int(passed - 1))
	l.member.Tick()
	if due-l.houseTick >= houseTicks {
		l.houseTick = due
		l.keepHouse()
	}
}

// noteMissed tells the core that the loop was held up, and the log if it was for so long
// that another member may have stood for election.
func (l *loop) noteMissed(ticks int) {
	l.member.TickMissed(ticks)
	if ticks < l.config.ElectionTicks {
		return
	}
	l.config.Logger.Warn().Str(eventlog.Field, eventlog.MemberHeldUp).Str("group", l.config.Name).Uint32("shard", uint32(l.shard)).
		Uint64("term", l.member.Status().Term).Bool("leads", l.member.IsLeader()).Dur("held_up", time.Duration(ticks)*l.config.Tick).
		Msg("the member was not run for longer than an election timeout")
}

// keepHouse brings the membership closer to what is wanted.
func (l *loop) keepHouse() {
	status := l.member.Status()
	var others []consensus.MemberID
	for _, id := range status.Membership.Voters {
		if id != status.ID {
			others = append(others, id)
		}
	}
	l.peers.connect(others)
	l.tendSnapshotData()
	if !l.member.LeaderReady() {
		return
	}
	l.member.ProposeDirectory()
	if l.changing {
		return
	}
	change, due := groupmember.Plan(status, l.member.Directory(), l.leaving(), l.config.Limits)
	if !due {
		return
	}
	if change.Transfer {
		l.transfer()
		return
	}
	l.changing = true
	record, _ := l.member.Record(change.Member)
	// A warning, so that the line is not among those left out under load.
	l.config.Logger.Warn().Str(eventlog.Field, eventlog.MembershipChange).Str("group", l.config.Name).Uint8("kind", uint8(change.Kind)).
		Uint64("member", uint64(change.Member)).Str("address", record.Address).Msg("the leader changes the membership")
	token := l.await(func(groupmember.Reply) { l.changing = false })
	l.member.ChangeMembership(token, change.Kind, groupmember.Record{ID: change.Member})
}

// leaving names the machines that are to be emptied.
func (l *loop) leaving() map[string]bool {
	if l.config.Leaving == nil {
		return nil
	}
	return l.config.Leaving()
}

// transfer asks the active voter with the longest log to take over.
func (l *loop) transfer() {
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

// work carries out what the core wants done, then shows and answers.
func (l *loop) work() error {
	for l.member.HasReady() {
		if err := l.carryOut(l.member.Ready()); err != nil {
			return err
		}
	}
	if l.removed || l.member.Status().Role == consensus.RoleRemoved {
		return errRemoved
	}
	if l.member.SnapshotDue() && !l.saving {
		if err := l.beginSnapshot(); err != nil {
			return err
		}
	}
	l.show()
	l.answer()
	return nil
}

// carryOut makes a Ready's writes durable before any message that depends on
// them leaves. A failed write or sync is final.
func (l *loop) carryOut(ready consensus.Ready) error {
	for _, message := range ready.Messages {
		if ready.MayPrecedeSync(message) {
			l.peers.send(message)
		}
	}
	if err := l.log.Persist(ready); err != nil {
		return eris.Wrap(err, "this member must not vote any more")
	}
	for _, message := range ready.Messages {
		if !ready.MayPrecedeSync(message) {
			l.peers.send(message)
		}
	}
	return eris.Wrap(l.member.Advance(ready), "apply")
}

// show tells the owner of the state; answers follow, so that whoever gets one
// sees its effect.
func (l *loop) show() {
	records := l.member.Directory()
	if !sameRecords(records, l.told) {
		l.told = records
		l.peers.learn(records, true)
	}
	l.shown(Step{
		Machine: l.machine, Status: l.member.Status(), LeaderReady: l.member.LeaderReady(),
		CaughtUp: l.member.CaughtUp(), Applied: l.member.Applied(), Records: l.told,
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

// answer gives replies to those who wait for them.
func (l *loop) answer() {
	for _, reply := range l.member.TakeReplies() {
		if waiting, found := l.awaiting[reply.Token]; found {
			delete(l.awaiting, reply.Token)
			waiting(reply)
		}
	}
}

// await gives a token whose reply goes to the function, which must not wait.
func (l *loop) await(waiting func(groupmember.Reply)) uint64 {
	l.lastToken++
	l.awaiting[l.lastToken] = waiting
	return l.lastToken
}

// failAll answers what is open when the loop ends.
func (l *loop) failAll() {
	for token, waiting := range l.awaiting {
		delete(l.awaiting, token)
		waiting(groupmember.Reply{Token: token, Err: groupmember.ErrLeadershipLost})
	}
}
