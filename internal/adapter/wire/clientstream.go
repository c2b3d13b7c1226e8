package wire

import (
	"context"
	"io"
	"sync"

	"github.com/loomgrade/loomgrade/internal/port"
)

// ClientStream is the stream of answers to one call. It is for one goroutine;
// Close may be called from any.
type ClientStream struct {
	ctx        context.Context
	connection *clientLink
	id         uint64
	window     int
	out        *outbound
	wake       chan struct{}

	mutex    sync.Mutex
	queue    [][]byte
	unread   int
	consumed int
	next     uint32
	finished bool
	failure  *port.Error
}

// accept takes a frame of this stream from the connection's reader. It never
// waits: what may be queued is bounded by the window.
func (s *ClientStream) accept(frame *Frame) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.finished {
		s.connection.link.counters.late()
		return
	}
	switch frame.Kind {
	case KindData:
		s.acceptData(frame)
	case KindEnd:
		s.acceptEnd(frame)
	case KindError:
		s.finish(decodeError(frame.Body))
	}
	s.notify()
}

func (s *ClientStream) acceptData(frame *Frame) {
	if frame.Sequence != s.next {
		s.finish(port.NewError(port.MayHaveRun, CodeProtocol, "answer %d where %d was due", frame.Sequence, s.next))
		return
	}
	if s.unread >= s.window {
		s.finish(port.NewError(port.MayHaveRun, CodeProtocol, "the peer overran the window of %d bytes", s.window))
		return
	}
	s.next++
	s.unread += len(frame.Body)
	s.queue = append(s.queue, frame.Body)
}

func (s *ClientStream) acceptEnd(frame *Frame) {
	if frame.Sequence != s.next {
		s.finish(port.NewError(port.MayHaveRun, CodeProtocol, "end after %d answers, %d arrived", frame.Sequence, s.next))
		return
	}
	s.finish(nil)
}

// finish ends the stream; a failure drops what was queued, for an answer is
// whole or it is an error.
func (s *ClientStream) finish(failure *port.Error) {
	s.finished = true
	s.failure = failure
}

func (s *ClientStream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Recv waits for the next answer and decodes it. It returns io.EOF after the
// last one and an *Error when the stream failed.
func (s *ClientStream) Recv(message any) error {
	body, err := s.receive()
	if err != nil {
		return err
	}
	return decodeAnswer(body, message)
}

func (s *ClientStream) receive() ([]byte, error) {
	for {
		body, credit, err := s.pop()
		if credit > 0 {
			s.grant(credit)
		}
		if body != nil || err != nil {
			return body, err
		}
		select {
		case <-s.wake:
		case <-s.ctx.Done():
			return nil, s.giveUp(contextError(s.ctx, s.out.verdict()))
		case <-s.connection.link.done:
			if s.pending() {
				continue
			}
			return nil, s.giveUp(s.lost())
		}
	}
}

// pop returns a queued answer, the outcome, or neither when it must wait, and
// the credit to give back.
func (s *ClientStream) pop() (body []byte, credit int, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.queue) > 0 {
		body = s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.unread -= len(body)
		s.consumed += len(body)
		if s.consumed*2 >= s.window && !s.finished {
			credit, s.consumed = s.consumed, 0
		}
		return body, credit, nil
	}
	if s.failure != nil {
		return nil, 0, s.failure
	}
	if s.finished {
		return nil, 0, io.EOF
	}
	return nil, 0, nil
}

func (s *ClientStream) pending() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.queue) > 0 || s.finished
}

// lost is the outcome of a stream whose connection ended.
func (s *ClientStream) lost() *port.Error {
	verdict := s.out.verdict()
	return port.NewError(verdict, port.CodeUnavailable, "connection lost: %s", s.connection.link.failure().Error())
}

func (s *ClientStream) giveUp(failure *port.Error) *port.Error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.finished {
		s.finish(failure)
	}
	return failure
}

func (s *ClientStream) grant(credit int) {
	frame := &Frame{Kind: KindWindow, Stream: s.id, Credit: uint32(credit)}
	_, _ = s.connection.link.enqueue(s.ctx, frame)
}

// Close ends the stream. An unfinished call is withdrawn if it was not written
// yet and canceled at the peer if it was.
func (s *ClientStream) Close() {
	if !s.connection.forget(s.id) {
		return
	}
	s.mutex.Lock()
	ended := s.finished && (s.failure == nil || s.failure.Code != port.CodeCancelled && s.failure.Code != port.CodeDeadline)
	s.finished = true
	s.mutex.Unlock()
	if ended || s.out.withdraw() {
		return
	}
	_ = s.connection.link.tryEnqueue(&Frame{Kind: KindCancel, Stream: s.id})
}
