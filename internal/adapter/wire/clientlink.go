package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/port"
)

// clientLink is the client side of one connection.
type clientLink struct {
	link     *link
	openSlot chan struct{}

	mutex   sync.Mutex
	lastID  uint64
	streams map[uint64]*ClientStream
}

// dialLink opens a connection and starts its reader, writer and pings.
func dialLink(address string, options Options, parent *Counters) (*clientLink, error) {
	netConn, err := options.Dial(address, options.DialTimeout)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	counters := &Counters{parent: parent}
	connection, err := handshakeClient(netConn, options, counters)
	if err != nil {
		_ = netConn.Close()
		return nil, eris.Wrap(err, "handshake")
	}
	counters.connected()
	go connection.link.writeLoop()
	go connection.readLoop()
	go connection.pingLoop()
	return connection, nil
}

func handshakeClient(netConn net.Conn, options Options, counters *Counters) (*clientLink, error) {
	if err := netConn.SetDeadline(time.Now().Add(options.DialTimeout)); err != nil {
		return nil, err
	}
	greeting := hello{
		Version:   ProtocolVersion,
		ClusterID: options.ClusterID,
		Token:     options.Token,
		Name:      options.Name,
		Window:    uint32(options.Window),
	}
	if err := writeHandshake(netConn, KindHello, 0, greeting, counters); err != nil {
		return nil, err
	}
	reader := bufio.NewReaderSize(netConn, bufferSize)
	frame, size, err := readFrame(reader, maxHandshakeSize)
	if err != nil {
		return nil, err
	}
	counters.read(size)
	if err := checkWelcome(frame); err != nil {
		return nil, err
	}
	if err := netConn.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}
	return &clientLink{
		link:     newLink(netConn, reader, frame.Epoch, options, counters),
		openSlot: make(chan struct{}, 1),
		streams:  make(map[uint64]*ClientStream),
	}, nil
}

func checkWelcome(frame *Frame) error {
	switch frame.Kind {
	case KindWelcome:
		var answer welcome
		if err := Unmarshal(frame.Body, &answer); err != nil {
			return err
		}
		if answer.Version != ProtocolVersion {
			return port.NewError(port.NotRun, CodeProtocol, "protocol version %d, want %d", answer.Version, ProtocolVersion)
		}
		return nil
	case KindError:
		return decodeError(frame.Body)
	}
	return port.NewError(port.NotRun, CodeProtocol, "frame of kind %d before welcome", frame.Kind)
}

// open assigns an id to the call and queues its frame. openSlot ensures that ids are
// queued in increasing order, which the server checks.
func (c *clientLink) open(ctx context.Context, frame *Frame) (*ClientStream, error) {
	select {
	case c.openSlot <- struct{}{}:
	case <-ctx.Done():
		return nil, contextError(ctx, port.NotRun)
	case <-c.link.done:
		return nil, sendError(c.link.failure())
	}
	defer func() { <-c.openSlot }()
	stream, err := c.register(ctx)
	if err != nil {
		return nil, err
	}
	frame.Stream = stream.id
	out, err := c.link.enqueue(ctx, frame)
	if err != nil {
		c.removeStream(stream.id)
		return nil, sendError(err)
	}
	stream.out = out
	return stream, nil
}

func (c *clientLink) register(ctx context.Context) (*ClientStream, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.streams) >= c.link.options.MaxStreams {
		return nil, port.NewError(port.NotRun, port.CodeQueueFull, "%d calls are open on this connection", len(c.streams))
	}
	c.lastID++
	stream := &ClientStream{
		ctx:        ctx,
		connection: c,
		id:         c.lastID,
		window:     c.link.options.Window,
		wake:       make(chan struct{}, 1),
	}
	c.streams[stream.id] = stream
	return stream, nil
}

// removeStream closes the id and reports whether it was open. Later frames for it count
// as late.
func (c *clientLink) removeStream(id uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, open := c.streams[id]
	delete(c.streams, id)
	return open
}

// find returns the stream of an id and whether the id was ever assigned.
func (c *clientLink) find(id uint64) (stream *ClientStream, known bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.streams[id], id != 0 && id <= c.lastID
}

func (c *clientLink) readLoop() {
	for {
		frame, err := c.link.read(nil)
		if err == nil {
			err = c.dispatch(frame)
		}
		if err != nil {
			c.link.close(err)
			return
		}
	}
}

// dispatch passes a frame to its stream. An error closes the connection.
func (c *clientLink) dispatch(frame *Frame) error {
	switch frame.Kind {
	case KindPong:
		return nil
	case KindData, KindEnd, KindError:
	default:
		return port.NewError(port.MayHaveRun, CodeProtocol, "unexpected frame of kind %d", frame.Kind)
	}
	stream, known := c.find(frame.Stream)
	if !known {
		return port.NewError(port.MayHaveRun, CodeProtocol, "frame for stream %d that was never opened", frame.Stream)
	}
	if stream == nil {
		c.link.counters.late()
		return nil
	}
	stream.accept(frame)
	return nil
}

func (c *clientLink) pingLoop() {
	ticker := time.NewTicker(c.link.options.PingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = c.link.tryEnqueue(&Frame{Kind: KindPing})
		case <-c.link.done:
			return
		}
	}
}
