package httpserve

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
)

// elapsedDeadline ends a blocked Read or Write.
var elapsedDeadline = time.Unix(1, 0)

// phase is what the server expects from the client of a connection.
type phase int

const (
	phaseNew     phase = iota // its first request
	phaseIdle                 // a further request
	phaseHeader               // the rest of a header
	phaseBody                 // the rest of a body
	phaseServing              // nothing
)

const (
	// readAheadBytes is the size of the reads by which net/http fills its buffer, and headerReadBytes what
	// they may return while a header arrives: what follows it in the buffer is not limited before it is
	// parsed.
	readAheadBytes  = 4 << 10
	headerReadBytes = 2 << 10
	// refusalTimeout limits the write of a refusal.
	refusalTimeout = 100 * time.Millisecond
)

// Responses to a request whose header is not read to its end.
const (
	responseHeaderTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	responseNoMemory       = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// connection is an accepted connection. It can be closed while it is idle without losing
// a request: the goroutine that reads from it decides, after a last look at the socket. It limits what its
// client can use.
type connection struct {
	net.Conn
	guard *guard
	// memory is reserved for the request, until the server waits for the next one.
	memory *membudget.Reservation
	once   sync.Once

	mutex sync.Mutex
	// idleSince is when the server began to wait for a request; zero while one is read or
	// served.
	idleSince time.Time
	// closing is set while Read must fail if nothing has arrived.
	closing bool
	// evicted is set once reads and writes must fail.
	evicted bool

	phase phase
	// progressed is when the client last made progress in the phase.
	progressed time.Time
	// writing is set while the client must accept a part of a response, since writeStarted.
	writing      bool
	writeStarted time.Time
	// readLimit and writeLimit are the deadlines that net/http and handlers set.
	readLimit, writeLimit time.Time
	// headerBytes were read of the header, and bodyBytes of the body since progressed.
	headerBytes, bodyBytes int
	// ahead is the memory that the last read takes as far as it may belong to the next header.
	ahead int64
}

// observe records a state of the server's connection.
func (c *connection) observe(state http.ConnState) {
	c.setIdle(state == http.StateNew || state == http.StateIdle)
	c.mutex.Lock()
	switch state {
	case http.StateIdle:
		c.setPhase(phaseIdle)
	case http.StateActive:
		c.setPhase(phaseServing)
	}
	ahead := c.ahead
	c.mutex.Unlock()
	if state == http.StateIdle || state == http.StateClosed || state == http.StateHijacked {
		c.memory.Release(c.memory.Reserved())
	}
	if state == http.StateIdle && !c.memory.Reserve(ahead) {
		c.refuse(responseNoMemory)
		_ = c.Close() // the server has read the next request ahead
	}
}

// setPhase starts a phase. Call it with the mutex locked.
func (c *connection) setPhase(next phase) {
	c.phase, c.progressed = next, time.Now()
	c.headerBytes, c.bodyBytes = 0, 0
}

// setIdle records whether the server waits for a request on the connection.
func (c *connection) setIdle(idle bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleSince = time.Time{}
	if idle {
		c.idleSince = time.Now()
	}
}

// closeIfIdleSince makes Read fail if the connection has been idle since the given time or
// longer, unless data has arrived. The server closes the connection after the error.
func (c *connection) closeIfIdleSince(limit time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idleSince.IsZero() || c.idleSince.After(limit) {
		return false
	}
	c.closing = true
	_ = c.Conn.SetReadDeadline(elapsedDeadline) // fails only on a closed connection
	return true
}

// Read implements net.Conn.
func (c *connection) Read(buf []byte) (int, error) {
	if c.readsHeader() {
		buf = buf[:min(len(buf), headerReadBytes)]
	}
	n, err := c.Conn.Read(buf)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		n, err = c.readArrived(buf)
	}
	if n > 0 {
		c.setActive()
		if !c.admit(buf[:n], len(buf) <= readAheadBytes) {
			return 0, io.EOF
		}
	}
	return n, err
}

func (c *connection) readsHeader() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.phase <= phaseHeader
}

// admit accounts for what was read. It reports false after it has refused the request.
func (c *connection) admit(read []byte, buffered bool) bool {
	c.mutex.Lock()
	if c.phase > phaseHeader {
		c.ahead = 0
		if buffered {
			c.ahead = headerCost(read)
		}
		c.mutex.Unlock()
		return true
	}
	c.ahead = headerCost(afterHeader(read))
	limits := c.guard.limits()
	if c.phase != phaseHeader {
		c.setPhase(phaseHeader)
		_ = c.Conn.SetReadDeadline(earliest(c.readLimit, c.progressed.Add(limits.HeaderTimeout))) // fails only on a closed connection
	}
	before := c.headerBytes
	c.headerBytes += len(read)
	c.mutex.Unlock()
	switch {
	case before >= limits.HeaderBytes: // all of it was of the header
		c.refuse(responseHeaderTooLarge)
		return false
	case !c.memory.Reserve(headerCost(read)):
		c.refuse(responseNoMemory)
		return false
	}
	return true
}

// refuse responds to a request whose header is not complete. The client may not read it: it is only a
// courtesy.
func (c *connection) refuse(response string) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, response)
	_ = c.CloseWrite()
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (written int, err error) {
	timeout := c.guard.limits().WriteTimeout
	defer c.endWrite()
	for written < len(data) && err == nil {
		if err = c.beginWrite(timeout); err != nil {
			break
		}
		var n int
		n, err = c.Conn.Write(data[written:min(len(data), written+writeChunkBytes)])
		written += n
	}
	return written, err
}

func (c *connection) beginWrite(timeout time.Duration) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.evicted {
		return os.ErrDeadlineExceeded
	}
	c.writing, c.writeStarted = true, time.Now()
	return c.Conn.SetWriteDeadline(earliest(c.writeLimit, c.writeStarted.Add(timeout)))
}

func (c *connection) endWrite() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writing = false
}

// SetReadDeadline implements net.Conn. While the server waits for a request or its header, the limits
// apply too.
func (c *connection) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.readLimit = deadline
	switch {
	case c.evicted || c.closing:
		deadline = elapsedDeadline
	case c.phase == phaseHeader:
		deadline = earliest(deadline, c.progressed.Add(c.guard.limits().HeaderTimeout))
	case c.phase == phaseNew:
		deadline = earliest(deadline, c.progressed.Add(c.guard.newTimeout))
	case c.phase == phaseIdle:
		deadline = earliest(deadline, c.progressed.Add(c.guard.limits().IdleTimeout))
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetWriteDeadline implements net.Conn. The limits apply too.
func (c *connection) SetWriteDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.writeLimit = deadline
	return c.Conn.SetWriteDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(deadline time.Time) error {
	return errors.Join(c.SetReadDeadline(deadline), c.SetWriteDeadline(deadline))
}

// Close implements net.Conn.
func (c *connection) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.memory.Close()
		c.guard.remove(c)
	})
	return err
}

// earliest returns the earlier of two deadlines; a zero one is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// beginBody records that the client has a body to send. Until a handler reads it, the time is that of a
// body that none wants.
func (c *connection) beginBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setPhase(phaseBody)
	c.setBodyDeadline(discardTimeout)
}

// awaitBody records that a handler waits for the body.
func (c *connection) awaitBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setBodyDeadline(c.guard.limits().BodyTimeout)
}

// setBodyDeadline sets the time in which the client must make progress.
func (c *connection) setBodyDeadline(timeout time.Duration) {
	deadline := earliest(c.readLimit, c.progressed.Add(timeout))
	if c.evicted {
		deadline = elapsedDeadline
	}
	_ = c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
}

// bodyArrived records a part of the body.
func (c *connection) bodyArrived(n int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.bodyBytes += n; c.bodyBytes >= bodyProgressBytes {
		c.bodyBytes, c.progressed = 0, time.Now()
	}
}

// endBody records that the body is complete. net/http watches for the end of the connection from now on,
// without a deadline of ours.
func (c *connection) endBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setPhase(phaseServing)
	if !c.evicted {
		_ = c.Conn.SetReadDeadline(c.readLimit) // fails only on a closed connection
	}
}

// abandonBody records that no handler wants the rest of the body.
func (c *connection) abandonBody() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setPhase(phaseBody)
	c.setBodyDeadline(discardTimeout)
}

// rank returns how the client compares with others that may be evicted.
func (c *connection) rank(now time.Time, among victims) rank {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	stall := now.Sub(c.progressed)
	switch {
	case c.evicted || c.closing:
		return rank{}
	case c.writing:
		return rankOf(now.Sub(c.writeStarted), among)
	case c.phase == phaseHeader || c.phase == phaseBody, c.phase == phaseNew && among == anyClient:
		return rankOf(stall, among)
	case c.phase == phaseIdle && among == anyClient:
		return rank{reasonIdle, stall}
	}
	return rank{}
}

// evict closes the connection unless its client makes progress by now. A request that crosses the close
// of an idle connection is served.
func (c *connection) evict() bool {
	if c.closeIfIdleSince(time.Now()) {
		return true
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.writing && c.phase == phaseServing {
		return false
	}
	c.evicted = true
	_ = c.Conn.SetDeadline(elapsedDeadline) // fails only on a closed connection
	return true
}

func (c *connection) isClosing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.closing
}

// setActive records that a request is being read, which revokes closeIfIdleSince.
func (c *connection) setActive() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.idleSince = time.Time{}
	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.readLimit) // the next Read reports a closed connection
	}
}

// readArrived reads what is in the socket without waiting. It returns
// os.ErrDeadlineExceeded if that is nothing. The read deadline does not apply to it:
// closeIfIdleSince may set it again at any moment.
func (c *connection) readArrived(buf []byte) (int, error) {
	raw, err := rawConn(c.Conn)
	if err != nil {
		return 0, err
	}
	var n int
	var readErr error
	err = raw.Control(func(descriptor uintptr) {
		n, readErr = readNonblocking(int(descriptor), buf)
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(readErr, syscall.EAGAIN):
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, readErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readNonblocking reads from a nonblocking descriptor, again after a signal.
func readNonblocking(descriptor int, buf []byte) (int, error) {
	for {
		n, err := syscall.Read(descriptor, buf)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// resetOnClose makes Close reset the connection.
func (c *connection) resetOnClose() {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0) // fails only on a closed connection
	}
}

// CloseWrite closes the sending side, which net/http does before it closes a connection
// with unread data.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return syscall.ENOTSUP
}
