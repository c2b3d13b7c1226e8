package group

import (
	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// persistAndSend persists a Ready before it sends the messages that depend on its writes. A
// failed write or sync is fatal.
func (l *loop) persistAndSend(ready consensus.Ready) error {
	for _, message := range ready.Messages {
		if ready.MayPrecedeSync(message) {
			l.peers.send(message)
		}
	}
	if err := l.persist(ready); err != nil {
		return eris.Wrap(err, "this member must no longer vote")
	}
	for _, message := range ready.Messages {
		if !ready.MayPrecedeSync(message) {
			l.peers.send(message)
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

// write runs an operation that waits for the disk, and measures it. Meanwhile a follower
// answers its leader's heartbeats, and a leader sends its own for a bounded time.
func (l *loop) write(operation func() error) error {
	started := l.config.Clock()
	measure := func() {
		now := l.config.Clock()
		l.writing += now - started
		started = now
	}
	defer measure()
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
			measure()
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
				l.peers.send(message)
			}
		}
	}
}

// answerOrHold answers a heartbeat, or holds a message until the end of a write. It drops
// messages beyond maxBatch; the core retries.
func (l *loop) answerOrHold(message consensus.Message) {
	if elapsed := l.takeElapsedTicks(); elapsed > 0 {
		l.recordMissedTicks(elapsed)
	}
	if reply, answered := l.member.AnswerHeartbeat(message); answered {
		l.peers.send(reply)
		return
	}
	if len(l.held) < maxBatch {
		l.held = append(l.held, message)
	}
}
