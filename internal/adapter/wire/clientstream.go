package wire

import (
	"context"
	"io"
	"sync"

	"github.com/loomgrade/loomgrade/internal/port"
)

// ClientStream is the stream of answers to one call. Only Close may be called
// concurrently with other methods.
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

// accept processes a frame of this stream in the connection's reader. It never blocks:
// the window limits the queue.
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

// finish ends the stream, with a failure unless that is nil.
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

// Recv blocks until the next answer arrives and decodes it. It returns io.EOF after
// the last one and a *port.Error if the stream failed.
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
			return nil, s.abort(contextError(s.ctx, s.out.verdict()))
		case <-s.connection.link.done:
			if s.hasPending() {
				continue
			}
			return nil, s.abort(s.connectionLost())
		}
	}
}

// pop returns a queued answer, the outcome, or neither if it must wait, and the credit
// to return to the peer.
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

func (s *ClientStream) hasPending() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.queue) > 0 || s.finished
}

// connectionLost returns the outcome of a stream whose connection closed.
func (s *ClientStream) connectionLost() *port.Error {
	verdict := s.out.verdict()
	return port.NewError(verdict, port.CodeUnavailable, "connection lost: %s", s.connection.link.failure().Error())
}

func (s *ClientStream) abort(failure *port.Error) *port.Error {
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

// Close ends the stream. An unfinished call is withdrawn if its frame is unwritten, and
// canceled at the peer otherwise.
func (s *ClientStream) Close() {
	if !s.connection.removeStream(s.id) {
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
