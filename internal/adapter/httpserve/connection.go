package httpserve

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// elapsedDeadline ends a blocked Read.
var elapsedDeadline = time.Unix(1, 0)

// connection is an accepted connection that can be closed while it is idle without losing
// a request: the goroutine that reads from it decides, after a last look at the socket.
type connection struct {
	net.Conn

	mutex sync.Mutex
	// idleSince is when the server began to wait for a request; zero while one is read or
	// served.
	idleSince time.Time
	// closing is set while Read must fail if nothing has arrived.
	closing bool
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
func (c *connection) closeIfIdleSince(limit time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.idleSince.IsZero() || c.idleSince.After(limit) {
		return
	}
	c.closing = true
	_ = c.SetReadDeadline(elapsedDeadline) // fails only on a closed connection
}

// Read implements net.Conn.
func (c *connection) Read(buf []byte) (int, error) {
	n, err := c.Conn.Read(buf)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isClosing() {
		n, err = c.readArrived(buf)
	}
	if n > 0 {
		c.setActive()
	}
	return n, err
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
		_ = c.SetReadDeadline(time.Time{}) // the next Read reports a closed connection
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

// CloseWrite closes the sending side, which net/http does before it closes a connection
// with unread data.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return syscall.ENOTSUP
}
