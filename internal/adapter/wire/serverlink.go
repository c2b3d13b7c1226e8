package wire

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// maxHandshakeSize limits a handshake frame, in bytes.
	maxHandshakeSize = 4096
	// oneWayQueue limits the queued one-way messages of a connection.
	oneWayQueue = 1024
)

// serverLink is the server side of one connection.
type serverLink struct {
	server  *Server
	link    *link
	peer    string
	window  int
	oneWay  chan *Frame
	context context.Context
	cancel  context.CancelFunc

	mutex  sync.Mutex
	lastID uint64
	calls  map[uint64]*Call
}

// serveConn serves one connection until it closes. It calls greeted after the handshake.
func (s *Server) serveConn(netConn net.Conn, greeted func()) {
	connection, err := s.accept(netConn)
	greeted()
	if err != nil {
		_ = netConn.Close()
		return
	}
	defer connection.cancel()
	if !s.addLink(connection) {
		_ = netConn.Close()
		return
	}
	defer s.removeLink(connection)
	var loops sync.WaitGroup
	loops.Go(connection.link.writeLoop)
	loops.Go(connection.messageLoop)
	connection.readLoop()
	connection.cancel()
	loops.Wait()
}

// accept performs the handshake.
func (s *Server) accept(netConn net.Conn) (*serverLink, error) {
	if err := netConn.SetDeadline(time.Now().Add(s.options.DialTimeout)); err != nil {
		return nil, err
	}
	counters := &Counters{parent: &s.counters}
	reader := bufio.NewReaderSize(netConn, bufferSize)
	frame, size, err := readFrame(reader, maxHandshakeSize)
	if err != nil {
		return nil, err
	}
	counters.read(size)
	greeting, err := s.decodeHello(frame)
	if err != nil {
		_ = writeHandshake(netConn, KindError, 0, toError(err), counters)
		return nil, err
	}
	epoch := rand.Uint64() | 1
	answer := welcome{Version: ProtocolVersion, Name: s.options.Name}
	if err := writeHandshake(netConn, KindWelcome, epoch, answer, counters); err != nil {
		return nil, err
	}
	if err := netConn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	counters.connected()
	ctx, cancel := context.WithCancel(context.Background())
	return &serverLink{
		server:  s,
		link:    newLink(netConn, reader, epoch, s.options, counters),
		peer:    greeting.Name,
		window:  int(greeting.Window),
		oneWay:  make(chan *Frame, oneWayQueue),
		context: ctx,
		cancel:  cancel,
		calls:   make(map[uint64]*Call),
	}, nil
}

func (s *Server) decodeHello(frame *Frame) (hello, error) {
	var greeting hello
	if frame.Kind != KindHello {
		return greeting, port.NewError(port.NotRun, CodeProtocol, "frame of kind %d before hello", frame.Kind)
	}
	if err := Unmarshal(frame.Body, &greeting); err != nil {
		return greeting, port.NewError(port.NotRun, CodeProtocol, "undecodable hello: %s", err.Error())
	}
	if refusal := s.checkHello(greeting); refusal != nil {
		return greeting, refusal
	}
	return greeting, nil
}

// writeHandshake writes one frame directly, before the writer starts.
func writeHandshake(netConn net.Conn, kind Kind, epoch uint64, message any, counters *Counters) error {
	body, err := Marshal(message)
	if err != nil {
		return err
	}
	item, err := encodeFrame(&Frame{Epoch: epoch, Kind: kind, Body: body}, maxHandshakeSize)
	if err != nil {
		return err
	}
	counters.wrote(len(item))
	_, err = netConn.Write(item)
	return err
}

func (c *serverLink) readLoop() {
	for {
		frame, err := c.link.read(c.link.options.Memory)
		if err == nil {
			err = c.dispatch(frame)
		}
		if err != nil {
			c.link.close(err)
			return
		}
	}
}

// dispatch handles one frame. An error closes the connection. The handlers of calls and one-way messages
// release the frame, which they need for longer.
func (c *serverLink) dispatch(frame *Frame) error {
	switch frame.Kind {
	case KindCall:
		return c.startCall(frame)
	case KindOneWay:
		c.queueMessage(frame)
		return nil
	}
	defer frame.release()
	switch frame.Kind {
	case KindCancel:
		if call := c.find(frame.Stream); call != nil {
			call.cancel()
		}
		return nil
	case KindWindow:
		if call := c.find(frame.Stream); call != nil {
			call.grant(int(frame.Credit))
		}
		return nil
	case KindPing:
		_, err := c.link.enqueue(c.context, &Frame{Kind: KindPong})
		return err
	}
	return port.NewError(port.NotRun, CodeProtocol, "unexpected frame of kind %d", frame.Kind)
}

func (c *serverLink) find(id uint64) *Call {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.calls[id]
}

// startCall starts a call's handler or rejects the call as not run. An id that does not
// increase is a repeated call, which closes the connection.
func (c *serverLink) startCall(frame *Frame) error {
	started := false
	defer func() {
		if !started {
			frame.release()
		}
	}()
	c.mutex.Lock()
	repeated := frame.Stream <= c.lastID
	overloaded := len(c.calls) >= c.link.options.MaxStreams
	if !repeated {
		c.lastID = frame.Stream
	}
	c.mutex.Unlock()
	if repeated {
		return port.NewError(port.NotRun, CodeProtocol, "call id %d does not increase", frame.Stream)
	}
	handler := c.server.handlers[frame.Method]
	switch {
	case handler == nil:
		return c.sendErrorFrame(frame.Stream, port.NewError(port.NotRun, port.CodeNotFound, "no method %q", frame.Method))
	case overloaded:
		return c.sendErrorFrame(frame.Stream, port.NewError(port.NotRun, port.CodeQueueFull, "more than %d calls on this connection", c.link.options.MaxStreams))
	case !c.server.addCall():
		return c.sendErrorFrame(frame.Stream, port.NewError(port.NotRun, port.CodeUnavailable, "the server is stopping"))
	}
	call := c.register(frame)
	started = true
	go c.run(call, frame, handler)
	return nil
}

func (c *serverLink) sendErrorFrame(id uint64, refusal *port.Error) error {
	body, err := Marshal(refusal)
	if err != nil {
		return err
	}
	_, err = c.link.enqueue(c.context, &Frame{Kind: KindError, Stream: id, Body: body})
	return err
}

func (c *serverLink) register(frame *Frame) *Call {
	ctx, cancel := callContext(c.context, time.Duration(frame.DeadlineMillis)*time.Millisecond)
	call := &Call{
		Method:     frame.Method,
		Peer:       c.peer,
		body:       frame.Body,
		connection: c,
		id:         frame.Stream,
		context:    ctx,
		cancel:     cancel,
		credit:     c.window,
		granted:    make(chan struct{}, 1),
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls[call.id] = call
	return call
}

// callContext returns the context of a call; deadline 0 means none. Canceling it must
// remove it from the connection's context, which may live as long as the processes.
func callContext(connection context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline > 0 {
		return context.WithTimeout(connection, deadline)
	}
	return context.WithCancel(connection)
}

func (c *serverLink) run(call *Call, frame *Frame, handler Handler) {
	defer c.server.calls.Done()
	defer frame.release()
	defer call.cancel()
	err := handler(call.context, call)
	c.mutex.Lock()
	delete(c.calls, call.id)
	c.mutex.Unlock()
	if err != nil {
		_ = c.sendErrorFrame(call.id, toError(err))
		return
	}
	_, _ = c.link.enqueue(c.context, &Frame{Kind: KindEnd, Stream: call.id, Sequence: call.sent})
}

func (c *serverLink) queueMessage(frame *Frame) {
	select {
	case c.oneWay <- frame:
	default:
		frame.release()
		c.link.counters.dropped()
	}
}

// messageLoop runs the handlers of one-way messages in order.
func (c *serverLink) messageLoop() {
	for {
		select {
		case frame := <-c.oneWay:
			c.handleMessage(frame)
		case <-c.context.Done():
			c.dropMessages()
			return
		}
	}
}

func (c *serverLink) handleMessage(frame *Frame) {
	defer frame.release()
	handler := c.server.messages[frame.Method]
	if handler == nil {
		c.link.counters.dropped()
		return
	}
	handler(c.context, &Call{Method: frame.Method, Peer: c.peer, body: frame.Body})
}

// dropMessages releases the messages that are still queued when the connection has closed. The reader
// queues none afterwards.
func (c *serverLink) dropMessages() {
	for {
		select {
		case frame := <-c.oneWay:
			frame.release()
		default:
			return
		}
	}
}
