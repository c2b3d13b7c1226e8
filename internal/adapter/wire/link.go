package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
	"github.com/loomgrade/loomgrade/internal/port"
)

// ErrClosed reports a connection, client or server that was closed on this side.
var ErrClosed = errors.New("connection closed")

// errQueueFull reports a send queue without a free slot.
var errQueueFull = errors.New("send queue is full")

const (
	// bufferSize is the size of a connection's read and write buffers, in bytes. Larger
	// frames bypass them. It is small because a control member may have hundreds of
	// connections: with 64 KB buffers, 330 watchers used 42 MB.
	bufferSize        = 16 << 10
	maxFramesPerFlush = 64
	statusQueued      = 0
	statusStarted     = 1
	statusWithdrawn   = 2
)

// outbound is a frame queued for writing.
type outbound struct {
	item    []byte
	status  atomic.Int32
	flushed chan struct{}
}

// start claims the frame for writing. It fails if the frame was withdrawn.
func (o *outbound) start() bool {
	return o.status.CompareAndSwap(statusQueued, statusStarted)
}

// withdraw cancels an unwritten frame. If it succeeds, no byte of the frame was or
// will be written.
func (o *outbound) withdraw() bool {
	return o.status.CompareAndSwap(statusQueued, statusWithdrawn)
}

// verdict withdraws the frame and returns whether its request may have run.
func (o *outbound) verdict() port.Verdict {
	if o.withdraw() {
		return port.NotRun
	}
	return port.MayHaveRun
}

// link is an established connection with a bounded send queue and one writer. Its
// client or server runs the reader.
type link struct {
	netConn    net.Conn
	reader     *bufio.Reader
	options    Options
	epoch      uint64
	counters   *Counters
	compressor *compressor
	queue      chan *outbound
	done       chan struct{}

	mutex  sync.Mutex
	cause  error
	closed bool
}

func newLink(netConn net.Conn, reader *bufio.Reader, epoch uint64, options Options, counters *Counters) *link {
	return &link{
		netConn:    netConn,
		reader:     reader,
		options:    options,
		epoch:      epoch,
		counters:   counters,
		compressor: options.compressor,
		queue:      make(chan *outbound, options.SendQueue),
		done:       make(chan struct{}),
	}
}

// close ends the link; the first cause is recorded.
func (l *link) close(cause error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.cause = cause
	close(l.done)
	_ = l.netConn.Close()
}

// failure returns why the link ended.
func (l *link) failure() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cause == nil {
		return ErrClosed
	}
	return l.cause
}

func (l *link) encode(frame *Frame) (*outbound, error) {
	frame.Epoch = l.epoch
	item, err := encodeFrame(frame, l.options.MaxFrameSize)
	if err != nil {
		return nil, err
	}
	return &outbound{item: item}, nil
}

// enqueue blocks until the queue has a free slot.
func (l *link) enqueue(ctx context.Context, frame *Frame) (*outbound, error) {
	out, err := l.encode(frame)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.done:
		return nil, l.failure()
	default:
	}
	select {
	case l.queue <- out:
		return out, nil
	case <-l.done:
		return nil, l.failure()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// tryEnqueue fails immediately if the queue is full.
func (l *link) tryEnqueue(frame *Frame) error {
	out, err := l.encode(frame)
	if err != nil {
		return err
	}
	select {
	case <-l.done:
		return l.failure()
	default:
	}
	select {
	case l.queue <- out:
		return nil
	default:
		return errQueueFull
	}
}

// writeLoop writes queued frames, several per flush, until the link ends.
func (l *link) writeLoop() {
	writer := bufio.NewWriterSize(l.netConn, bufferSize)
	for {
		select {
		case out := <-l.queue:
			if err := l.writeBatch(writer, out); err != nil {
				l.close(err)
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *link) writeBatch(writer *bufio.Writer, first *outbound) error {
	batch := l.gather(first)
	for _, out := range batch {
		if err := l.write(writer, out); err != nil {
			return err
		}
	}
	if err := l.extendWriteDeadline(); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	for _, out := range batch {
		if out.flushed != nil {
			close(out.flushed)
		}
	}
	return nil
}

// extendWriteDeadline allows WriteTimeout for the next frame. A limit for all frames of a batch
// would close connections that are slow but deliver one frame after the other.
func (l *link) extendWriteDeadline() error {
	return l.netConn.SetWriteDeadline(time.Now().Add(l.options.WriteTimeout))
}

// gather collects the queued frames, up to maxFramesPerFlush.
func (l *link) gather(first *outbound) []*outbound {
	batch := []*outbound{first}
	for len(batch) < maxFramesPerFlush {
		select {
		case out := <-l.queue:
			batch = append(batch, out)
		default:
			return batch
		}
	}
	return batch
}

// drain blocks until all frames queued so far are written.
func (l *link) drain(ctx context.Context) {
	out := &outbound{flushed: make(chan struct{})}
	select {
	case l.queue <- out:
	case <-l.done:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-out.flushed:
	case <-l.done:
	case <-ctx.Done():
	}
}

func (l *link) write(writer *bufio.Writer, out *outbound) error {
	if len(out.item) == 0 || !out.start() {
		return nil
	}
	item := l.compressor.compressFrame(out.item)
	if err := l.extendWriteDeadline(); err != nil {
		return err
	}
	if _, err := writer.Write(item); err != nil {
		return err
	}
	l.counters.wrote(len(item))
	return nil
}

// read reads the next frame and checks its epoch. Memory for a large frame is reserved from budget.
func (l *link) read(budget *membudget.Budget) (*Frame, error) {
	if err := l.netConn.SetReadDeadline(time.Now().Add(l.options.IdleTimeout)); err != nil {
		return nil, err
	}
	frame, size, err := readFrameWithin(l.reader, l.options.MaxFrameSize, budget)
	if err != nil {
		return nil, err
	}
	l.counters.read(size)
	if frame.Epoch != l.epoch {
		frame.release()
		return nil, port.NewError(port.MayHaveRun, CodeProtocol, "frame of epoch %d on a connection of epoch %d", frame.Epoch, l.epoch)
	}
	return frame, nil
}
