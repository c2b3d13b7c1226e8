package httpcall

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
)

// errSealed is what a write on a sealed connection fails with.
var errSealed = errors.New("connection sealed: its request was given up before the first byte")

// countedConnection counts the writes that began and can be sealed against
// further ones. HTTP/1.1 runs one request at a time on it.
type countedConnection struct {
	net.Conn
	mutex  sync.Mutex
	writes uint64
	sealed bool
	// idleLimit is how long the server keeps the connection unused, 0 if it
	// did not say.
	idleLimit time.Duration
	lastUsed  time.Time
	// suspended tells whether the machine was suspended since the connection was taken last.
	suspended *boottime.Watch
}

// idleMargin is how long before the server's own limit a connection is no
// longer used: the server's closing may be on its way.
const idleMargin = 300 * time.Millisecond

// Write counts before the bytes can leave, so that the count errs only towards
// "may have run".
func (c *countedConnection) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed || c.expired() {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.lastUsed = time.Now()
	c.mutex.Unlock()
	return c.Conn.Write(data)
}

// Read notes when the connection was last used.
func (c *countedConnection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.mutex.Lock()
	c.lastUsed = time.Now()
	c.mutex.Unlock()
	return count, err
}

// expired reports whether the server may be about to close the connection. The
// caller holds the lock.
func (c *countedConnection) expired() bool {
	return c.idleLimit > 0 && time.Since(c.lastUsed) > c.idleLimit-idleMargin
}

// sealIfSuspended keeps a request off a connection that was open while the machine was
// suspended: the server has likely closed it, and a request on it may have run as far as its
// sender can tell.
func (c *countedConnection) sealIfSuspended() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suspended.Check() > 0 {
		c.sealed = true
	}
}

// setIdleLimit takes over what the server said of idle connections.
func (c *countedConnection) setIdleLimit(limit time.Duration) {
	c.mutex.Lock()
	c.idleLimit = limit
	c.mutex.Unlock()
}

// writesBegun gives the number of writes so far.
func (c *countedConnection) writesBegun() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// sealUnlessWritten reports whether a write began since the count was before;
// if none did, none can follow.
func (c *countedConnection) sealUnlessWritten(before uint64) (written bool) {
	c.mutex.Lock()
	written = c.writes != before
	if !written {
		c.sealed = true
	}
	c.mutex.Unlock()
	if !written {
		_ = c.Close()
	}
	return written
}

// attempt follows one request over the connections that it was given.
type attempt struct {
	mutex       sync.Mutex
	connections []attemptConnection
}

// attemptConnection is a connection with its count of writes when the request
// got it.
type attemptConnection struct {
	connection *countedConnection
	before     uint64
}

// trace gives the hooks that record the connections.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConnection}
}

func (a *attempt) gotConnection(info httptrace.GotConnInfo) {
	connection, counted := info.Conn.(*countedConnection)
	if !counted {
		return
	}
	connection.sealIfSuspended()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.connections = append(a.connections, attemptConnection{connection, connection.writesBegun()})
}

// mayHaveRun reports whether a byte of the request may have left. If it says
// no, none can leave any more.
func (a *attempt) mayHaveRun() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	written := false
	for _, used := range a.connections {
		if used.connection.sealUnlessWritten(used.before) {
			written = true
		}
	}
	return written
}

// noteKeepAlive takes over how long the server keeps the connection, if its
// answer says so in the Keep-Alive header, in whole seconds.
func (a *attempt) noteKeepAlive(response *http.Response) {
	limit, stated := keepAliveTimeout(response.Header.Get("Keep-Alive"))
	if !stated {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if count := len(a.connections); count > 0 {
		a.connections[count-1].connection.setIdleLimit(limit)
	}
}

func keepAliveTimeout(header string) (time.Duration, bool) {
	for parameter := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(strings.TrimSpace(value), 10, 16)
		return time.Duration(seconds) * time.Second, err == nil && seconds > 0
	}
	return 0, false
}

// closeConnections closes the connections that the request was given.
func (a *attempt) closeConnections() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, used := range a.connections {
		_ = used.connection.Close()
	}
}
