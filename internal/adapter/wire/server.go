package wire

import (
	"container/list"
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/port"
)

// maxHandshakeParts limits the connections in the handshake to this part of all.
const maxHandshakeParts = 2

// Handler serves one call. The caller receives the messages of call.Send in order. A nil
// result completes the answer; an error makes the call fail. An error that is no
// *port.Error counts as MayHaveRun.
type Handler func(ctx context.Context, call *Call) error

// MessageHandler handles a one-way message. Messages of one connection are handled in
// order, one at a time; those that overflow the queue are dropped and counted.
type MessageHandler func(ctx context.Context, call *Call)

// Server answers calls. Handlers are registered before Serve.
type Server struct {
	options  Options
	handlers map[string]Handler
	messages map[string]MessageHandler
	counters Counters

	mutex     sync.Mutex
	closed    bool
	draining  bool
	listeners map[net.Listener]struct{}
	links     map[*serverLink]struct{}
	calls     sync.WaitGroup
	// loops tracks connection goroutines; none is added once closed is set.
	loops sync.WaitGroup
	// openConns counts connections, including those in the handshake.
	openConns atomic.Int64
	// handshakes are the net.Conns in the handshake, the oldest first.
	handshakes list.List
}

// NewServer returns a server without handlers.
func NewServer(options Options) *Server {
	return &Server{
		options:   options.normalized(),
		handlers:  make(map[string]Handler),
		messages:  make(map[string]MessageHandler),
		listeners: make(map[net.Listener]struct{}),
		links:     make(map[*serverLink]struct{}),
	}
}

// Handle registers the handler of a method.
func (s *Server) Handle(method string, handler Handler) { s.handlers[method] = handler }

// HandleMessage registers the handler of a one-way method.
func (s *Server) HandleMessage(method string, handler MessageHandler) { s.messages[method] = handler }

// Totals returns the traffic of all connections of this server.
func (s *Server) Totals() Totals { return s.counters.Totals() }

// Serve accepts connections until the listener or the server is closed.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		_ = listener.Close()
		return ErrClosed
	}
	failures := 0
	for {
		netConn, err := listener.Accept()
		switch {
		case err == nil:
			failures = 0
			s.startConn(netConn)
		case s.isClosed() || errors.Is(err, net.ErrClosed):
			return nil
		case !isTemporary(err):
			return eris.Wrap(err, "accept")
		default:
			failures++
			time.Sleep(acceptBackoff(failures))
		}
	}
}

// isTemporary distinguishes temporary accept errors, such as too many open files or a
// connection that was reset before it was accepted, from a broken listener.
func isTemporary(err error) bool {
	temporary := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EAGAIN}
	return slices.ContainsFunc(temporary, func(target error) bool { return errors.Is(err, target) })
}

// acceptBackoff returns the delay before the next accept.
func acceptBackoff(failures int) time.Duration {
	const base, maxDelay, maxShift = 5 * time.Millisecond, time.Second, 8
	return min(base<<min(failures-1, maxShift), maxDelay)
}

// startConn serves a connection in the background. Beyond the limit it closes the oldest connection in
// the handshake, which takes a process of the cluster milliseconds, or the new one if there is none. It
// also closes one that is accepted while the server closes.
func (s *Server) startConn(netConn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	full := s.openConns.Load() >= int64(s.options.MaxConnections)
	if s.closed || (full && s.handshakes.Len() == 0) {
		_ = netConn.Close()
		return
	}
	if full || s.handshakes.Len() >= max(1, s.options.MaxConnections/maxHandshakeParts) {
		oldest := s.handshakes.Remove(s.handshakes.Front()).(net.Conn)
		_ = oldest.Close()
	}
	handshake := s.handshakes.PushBack(netConn)
	s.openConns.Add(1)
	s.loops.Go(func() {
		defer s.openConns.Add(-1)
		s.serveConn(netConn, func() { s.endHandshake(handshake) })
	})
}

// endHandshake records the end of a handshake, unless startConn has ended it.
func (s *Server) endHandshake(handshake *list.Element) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handshakes.Remove(handshake) // does nothing if it was removed
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

func (s *Server) isClosed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.closed
}

// Shutdown rejects new calls as NotRun, waits until the calls in flight have finished or
// the context ends, and closes the server.
func (s *Server) Shutdown(ctx context.Context) {
	s.mutex.Lock()
	s.draining = true
	s.mutex.Unlock()
	finished := make(chan struct{})
	go func() {
		s.calls.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
	for _, connection := range s.openLinks() {
		connection.link.drain(ctx)
	}
	s.Close()
}

func (s *Server) openLinks() []*serverLink {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	links := make([]*serverLink, 0, len(s.links))
	for connection := range s.links {
		links = append(links, connection)
	}
	return links
}

// Close closes all connections and cancels the contexts of their handlers.
func (s *Server) Close() {
	s.mutex.Lock()
	s.closed = true
	s.draining = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
	s.mutex.Unlock()
	for _, connection := range s.openLinks() {
		connection.link.close(ErrClosed)
	}
	s.loops.Wait()
}

func (s *Server) addLink(connection *serverLink) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed {
		return false
	}
	s.links[connection] = struct{}{}
	return true
}

func (s *Server) removeLink(connection *serverLink) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.links, connection)
}

// addCall counts a call in flight unless the server is draining.
func (s *Server) addCall() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.draining {
		return false
	}
	s.calls.Add(1)
	return true
}

// checkHello returns the error for a rejected hello, or nil.
func (s *Server) checkHello(greeting hello) *port.Error {
	if greeting.Version != ProtocolVersion {
		return port.NewError(port.NotRun, CodeProtocol, "protocol version %d, want %d", greeting.Version, ProtocolVersion)
	}
	if greeting.ClusterID != s.options.ClusterID {
		return port.NewError(port.NotRun, port.CodeUnauthorized, "cluster %q, this is %q", greeting.ClusterID, s.options.ClusterID)
	}
	if s.options.Token != "" && subtle.ConstantTimeCompare([]byte(greeting.Token), []byte(s.options.Token)) != 1 {
		return port.NewError(port.NotRun, port.CodeUnauthorized, "wrong token")
	}
	if greeting.Window == 0 {
		return port.NewError(port.NotRun, CodeProtocol, "window 0, at least 1")
	}
	return nil
}
