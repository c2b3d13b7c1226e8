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
	requestQueueSize = 4096
	messageQueueSize = 4096
)

// loopStatus is the immutable status that the loop publishes after each step.
type loopStatus struct {
	view        *port.View
	status      consensus.Status
	caughtUp    bool
	publishedAt time.Duration // by Config.Clock
	syncs       uint64
	applied     uint64
}

// confirmed reports whether, less than maxAge before now, the member was caught up
// and in contact with a quorum. It is false while the loop hangs in a sync, and
// after the machine was suspended.
func (s *loopStatus) confirmed(now, maxAge time.Duration) bool {
	return s.status.QuorumActive && s.caughtUp && now-s.publishedAt < maxAge
}

// request is a function to run in the loop's goroutine.
type request func(l *loop)

// loop owns the core and the log of a member. Only the goroutine of run accesses
// it, except for the channels and the published status.
type loop struct {
	config    Config
	member    *controlmember.Member
	log       *wal.Log
	requests  chan request
	messages  chan consensus.Message
	stopped   chan struct{}
	published atomic.Pointer[loopStatus]
	// send sends a message without blocking.
	send func(consensus.Message)
	// changed is called when the position of the view has changed.
	changed func()

	startedAt time.Duration // by Config.Clock
	ticks     int64
	// ticker fires at each tick; the ticks are counted by Config.Clock.
	ticker *time.Ticker
	// held are messages that arrived during a write and wait for its end.
	held []consensus.Message
	// heldReady is closed; wait selects it while messages are held.
	heldReady      chan struct{}
	lastToken      uint64
	pendingReplies map[uint64]chan<- controlmember.Reply
	pendingReads   []pendingRead
}

// pendingRead is a read that waits until the member has applied index.
type pendingRead struct {
	index uint64
	done  chan<- struct{}
}

// newLoop returns a loop on an open log.
func newLoop(config Config, log *wal.Log, restored consensus.Restored) (*loop, error) {
	member, err := controlmember.New(controlmember.Config{
		Consensus:       config.consensus(),
		TickInterval:    config.Tick,
		SnapshotEntries: uint64(config.SnapshotEntries),
	}, restored, time.Now())
	if err != nil {
		return nil, eris.Wrap(err, config.DataFolder)
	}
	heldReady := make(chan struct{})
	close(heldReady)
	l := &loop{
		config:         config,
		member:         member,
		log:            log,
		requests:       make(chan request, requestQueueSize),
		messages:       make(chan consensus.Message, messageQueueSize),
		stopped:        make(chan struct{}),
		heldReady:      heldReady,
		startedAt:      config.Clock(),
		pendingReplies: make(map[uint64]chan<- controlmember.Reply),
	}
	l.publish()
	return l, nil
}

// run processes events until ctx is done or the member must stop.
func (l *loop) run(ctx context.Context) error {
	defer close(l.stopped)
	defer l.failPending()
	l.ticker = time.NewTicker(l.config.Tick)
	defer l.ticker.Stop()
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

// wait blocks for the first event of a batch and processes it, after the ticks
// that have passed.
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
	for range l.config.MaxBatch - 1 {
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

// step passes a message to the core. It returns only the fatal error and drops
// malformed messages.
func (l *loop) step(message consensus.Message) error {
	err := l.member.Step(message)
	if eris.Is(err, consensus.ErrCommittedConflict) {
		return eris.Wrap(err, "consensus")
	}
	return nil
}

// catchUpTicks passes elapsed ticks to the core. All but the last one were missed:
// the loop was blocked or the machine suspended.
func (l *loop) catchUpTicks() {
	elapsed := l.takeElapsedTicks()
	if elapsed <= 0 {
		return
	}
	l.member.TickMissed(elapsed - 1)
	l.member.Tick(time.Now())
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

// processReady handles all Readys of the core, then publishes the status and replies.
func (l *loop) processReady() error {
	for l.member.HasReady() {
		if err := l.persistAndSend(l.member.Ready()); err != nil {
			return err
		}
	}
	if l.member.SnapshotDue() {
		if err := l.saveSnapshot(); err != nil {
			return err
		}
	}
	// Publish before replying, so that callers see the effect of their requests.
	l.publish()
	l.deliverReplies()
	return nil
}

// persistAndSend persists a Ready before it sends the messages that depend on its
// writes. A failed write or sync is fatal.
func (l *loop) persistAndSend(ready consensus.Ready) error {
	for _, message := range ready.Messages {
		if ready.MayPrecedeSync(message) {
			l.send(message)
		}
	}
	if err := l.persist(ready); err != nil {
		return eris.Wrap(err, "this member must no longer vote")
	}
	for _, message := range ready.Messages {
		if !ready.MayPrecedeSync(message) {
			l.send(message)
		}
	}
	return eris.Wrap(l.member.Advance(ready), "apply")
}

// persist makes the writes of a Ready durable.
func (l *loop) persist(ready consensus.Ready) error {
	if !ready.MustSync {
		return l.log.Persist(ready)
	}
	return l.write(func() error { return l.log.Persist(ready) })
}

// write runs an operation that waits for the disk. Meanwhile a follower answers its leader's
// heartbeats, and a leader sends its own for a bounded time.
func (l *loop) write(operation func() error) error {
	done := make(chan error, 1)
	go func() { done <- operation() }()
	if l.member.IsLeader() {
		return l.sendHeartbeatsUntil(done)
	}
	for {
		select {
		case err := <-done:
			return err
		case message := <-l.messages:
			l.answerOrHold(message)
		}
	}
}

// sendHeartbeatsUntil sends the heartbeats that are due until a write ends, and returns its
// result. The ticks and the messages that arrive wait for catchUpTicks and step.
func (l *loop) sendHeartbeatsUntil(done <-chan error) error {
	for {
		select {
		case err := <-done:
			return err
		case <-l.ticker.C:
			for _, message := range l.member.HeartbeatsDuringWrite(l.elapsedTicks()) {
				l.send(message)
			}
		}
	}
}

// answerOrHold answers a heartbeat, or holds a message until the end of a write. It drops
// messages beyond Config.MaxBatch; the core retries.
func (l *loop) answerOrHold(message consensus.Message) {
	l.member.TickMissed(l.takeElapsedTicks())
	if reply, answered := l.member.AnswerHeartbeat(message); answered {
		l.send(reply)
		return
	}
	if len(l.held) < l.config.MaxBatch {
		l.held = append(l.held, message)
	}
}

func (l *loop) saveSnapshot() error {
	snapshot, err := l.member.BuildSnapshot()
	if err != nil {
		return eris.Wrap(err, "build snapshot")
	}
	if err := l.write(func() error { return l.log.SaveSnapshot(snapshot) }); err != nil {
		return eris.Wrap(err, "save snapshot")
	}
	return eris.Wrap(l.member.Compact(snapshot), "compact")
}

// deliverReplies passes the replies of the core to their channels and completes the
// reads whose index is applied.
func (l *loop) deliverReplies() {
	for _, reply := range l.member.TakeReplies() {
		if replyTo, found := l.pendingReplies[reply.Token]; found {
			delete(l.pendingReplies, reply.Token)
			replyTo <- reply
		}
	}
	applied := l.member.State().Applied()
	remaining := l.pendingReads[:0]
	for _, read := range l.pendingReads {
		if read.index > applied {
			remaining = append(remaining, read)
			continue
		}
		close(read.done)
	}
	l.pendingReads = remaining
}

// addPendingReply returns a token whose reply is sent to replyTo, which must have
// capacity.
func (l *loop) addPendingReply(replyTo chan<- controlmember.Reply) uint64 {
	l.lastToken++
	l.pendingReplies[l.lastToken] = replyTo
	return l.lastToken
}

// failPending fails all pending requests when the loop ends.
func (l *loop) failPending() {
	for token, replyTo := range l.pendingReplies {
		delete(l.pendingReplies, token)
		replyTo <- controlmember.Reply{Token: token, Error: port.NewError(port.MayHaveRun, port.CodeUnavailable, "the member stopped before the answer")}
	}
}

func (l *loop) publish() {
	previous := l.published.Load()
	state := l.member.State()
	current := &loopStatus{
		view:        state.View(),
		status:      l.member.Status(),
		caughtUp:    l.member.CaughtUp(),
		publishedAt: l.config.Clock(),
		syncs:       l.log.Syncs(),
		applied:     state.Applied(),
	}
	l.published.Store(current)
	if previous != nil && previous.view.Position != current.view.Position {
		l.changed()
	}
}

// post queues work for the loop. An error means that work will not run.
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
		return port.NewError(port.NotRun, port.CodeDeadline, "the member did not accept the request in time")
	}
}

func errStopped() *port.Error {
	return port.NewError(port.NotRun, port.CodeUnavailable, "the control member has stopped")
}
