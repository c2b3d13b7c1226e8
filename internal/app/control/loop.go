package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/wal"
	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/controlmember"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	requestQueue = 4096
	messageQueue = 4096
)

// snapshotOfLoop is what the loop publishes after each step. It is immutable.
type snapshotOfLoop struct {
	view     *port.View
	status   consensus.Status
	caughtUp bool
	at       time.Duration // by the configuration's clock
	syncs    uint64
	applied  uint64
}

// confirmed says whether the member was in touch with a quorum and caught up
// not longer than maxAge before now. A loop that hangs in a sync confirms nothing, nor does one
// on a machine that wakes up.
func (s *snapshotOfLoop) confirmed(now, maxAge time.Duration) bool {
	return s.status.QuorumActive && s.caughtUp && now-s.at < maxAge
}

// request is a piece of work for the loop's goroutine.
type request func(l *loop)

// loop owns the core and the log of a member. Only run's goroutine touches it,
// but for the channels and the published snapshot.
type loop struct {
	config    Config
	member    *controlmember.Member
	log       *wal.Log
	requests  chan request
	messages  chan consensus.Message
	stopped   chan struct{}
	published atomic.Pointer[snapshotOfLoop]
	// send hands a message to the network without waiting.
	send func(consensus.Message)
	// changed is called when the view's position has moved.
	changed func()

	started   time.Duration // by the configuration's clock
	ticks     int64
	lastToken uint64
	awaiting  map[uint64]chan<- controlmember.Reply
	reads     []appliedRead
}

// appliedRead waits until the member has applied a position.
type appliedRead struct {
	index uint64
	done  chan<- struct{}
}

// newLoop builds the core on an open log.
func newLoop(config Config, log *wal.Log, restored consensus.Restored) (*loop, error) {
	member, err := controlmember.New(controlmember.Config{
		Consensus:       config.consensus(),
		TickInterval:    config.Tick,
		SnapshotEntries: uint64(config.SnapshotEntries),
	}, restored, time.Now())
	if err != nil {
		return nil, eris.Wrap(err, config.DataFolder)
	}
	l := &loop{
		config:   config,
		member:   member,
		log:      log,
		requests: make(chan request, requestQueue),
		messages: make(chan consensus.Message, messageQueue),
		stopped:  make(chan struct{}),
		started:  config.Clock(),
		awaiting: make(map[uint64]chan<- controlmember.Reply),
	}
	l.publish()
	return l, nil
}

// run works until the context ends or the member must stop.
func (l *loop) run(ctx context.Context) error {
	defer close(l.stopped)
	defer l.failAll()
	ticker := time.NewTicker(l.config.Tick)
	defer ticker.Stop()
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
	}
}

// takeMore takes in what else is waiting, so that one sync serves the group.
func (l *loop) takeMore() error {
	for range l.config.MaxBatch - 1 {
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
	if eris.Is(err, consensus.ErrCommittedConflict) {
		return eris.Wrap(err, "consensus")
	}
	return nil
}

// catchUpTicks tells the core of the ticks that passed. Those before the last one were
// missed: the loop was held up, or its machine suspended.
func (l *loop) catchUpTicks() {
	due := int64((l.config.Clock() - l.started) / l.config.Tick)
	passed := due - l.ticks
	if passed <= 0 {
		return
	}
	l.ticks = due
	l.member.TickMissed(int(passed - 1))
	l.member.Tick(time.Now())
}

// work carries out what the core wants done, then publishes and answers.
func (l *loop) work() error {
	for l.member.HasReady() {
		if err := l.carryOut(l.member.Ready()); err != nil {
			return err
		}
	}
	if l.member.SnapshotDue() {
		if err := l.saveSnapshot(); err != nil {
			return err
		}
	}
	// Published first: who gets an answer sees its effect.
	l.publish()
	l.answer()
	return nil
}

// carryOut makes a Ready's writes durable before any message that depends on
// them leaves. A failed write or sync is final.
func (l *loop) carryOut(ready consensus.Ready) error {
	for _, message := range ready.Messages {
		if ready.MayPrecedeSync(message) {
			l.send(message)
		}
	}
	if err := l.log.Persist(ready); err != nil {
		return eris.Wrap(err, "this member must not vote any more")
	}
	for _, message := range ready.Messages {
		if !ready.MayPrecedeSync(message) {
			l.send(message)
		}
	}
	return eris.Wrap(l.member.Advance(ready), "apply")
}

func (l *loop) saveSnapshot() error {
	snapshot, err := l.member.BuildSnapshot()
	if err != nil {
		return eris.Wrap(err, "build snapshot")
	}
	if err := l.log.SaveSnapshot(snapshot); err != nil {
		return eris.Wrap(err, "save snapshot")
	}
	return eris.Wrap(l.member.Compact(snapshot), "compact")
}

// answer gives replies to those who wait for them.
func (l *loop) answer() {
	for _, reply := range l.member.TakeReplies() {
		if waiting, found := l.awaiting[reply.Token]; found {
			delete(l.awaiting, reply.Token)
			waiting <- reply
		}
	}
	applied := l.member.State().Applied()
	open := l.reads[:0]
	for _, read := range l.reads {
		if read.index > applied {
			open = append(open, read)
			continue
		}
		close(read.done)
	}
	l.reads = open
}

// await gives a token whose reply goes to the channel, which has room for it.
func (l *loop) await(waiting chan<- controlmember.Reply) uint64 {
	l.lastToken++
	l.awaiting[l.lastToken] = waiting
	return l.lastToken
}

// failAll answers what is open when the loop ends.
func (l *loop) failAll() {
	for token, waiting := range l.awaiting {
		delete(l.awaiting, token)
		waiting <- controlmember.Reply{Token: token, Error: port.NewError(port.MayHaveRun, port.CodeUnavailable, "the member stopped before the answer")}
	}
}

func (l *loop) publish() {
	previous := l.published.Load()
	state := l.member.State()
	current := &snapshotOfLoop{
		view:     state.View(),
		status:   l.member.Status(),
		caughtUp: l.member.CaughtUp(),
		at:       l.config.Clock(),
		syncs:    l.log.Syncs(),
		applied:  state.Applied(),
	}
	l.published.Store(current)
	if previous != nil && previous.view.Position != current.view.Position {
		l.changed()
	}
}

// post hands a request to the loop. Its errors say that it will not run.
func (l *loop) post(ctx context.Context, work request) *port.Error {
	select {
	case <-l.stopped:
		return errStopped()
	default:
	}
	select {
	case l.requests <- work:
		return nil
	case <-l.stopped:
		return errStopped()
	case <-ctx.Done():
		return port.NewError(port.NotRun, port.CodeDeadline, "the member did not take the request in time")
	}
}

func errStopped() *port.Error {
	return port.NewError(port.NotRun, port.CodeUnavailable, "the control member has stopped")
}
