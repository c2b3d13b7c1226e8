package httpcall

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
)

// errSealed is returned by writes on a sealed connection.
var errSealed = errors.New("connection sealed: the request must not be sent on it")

// countedConnection counts the writes started and can be sealed against further ones.
// HTTP/1.1 runs one request at a time on it.
type countedConnection struct {
	net.Conn
	mutex  sync.Mutex
	writes uint64
	sealed bool
	// carried are hashes of the ids of the requests that were sent on the connection.
	carried []uint64
	// idleLimit is the server's announced idle timeout, or 0.
	idleLimit time.Duration
	lastUsed  time.Time
	// suspended detects suspensions of the machine since the connection's last use.
	suspended *boottime.Watch
}

// idleMargin is subtracted from the server's idle timeout, since the server's close may
// already be in flight.
const idleMargin = 300 * time.Millisecond

// Write counts the write before any byte is sent, so that a request is never
// reported as not run after a byte was sent.
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

// Read records when the connection was last used.
func (c *countedConnection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.mutex.Lock()
	c.lastUsed = time.Now()
	c.mutex.Unlock()
	return count, err
}

// expired reports whether the server may be closing the connection. The caller holds the
// mutex.
func (c *countedConnection) expired() bool {
	return c.idleLimit > 0 && time.Since(c.lastUsed) > c.idleLimit-idleMargin
}

// maxCarriedIDs limits the memory for the ids of a connection's requests; a connection that has
// carried so many is not used again.
const maxCarriedIDs = 1024

// carry records the id of a request that is to be sent on the connection. If the connection
// has carried the id before, it is sealed: a surplus copy of the earlier response, which has the
// same id, would be taken for the response to this request.
func (c *countedConnection) carry(id string) {
	if id == "" {
		return
	}
	hash := xxhash.Sum64String(id)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.carried) >= maxCarriedIDs || slices.Contains(c.carried, hash) {
		c.sealed = true
		return
	}
	c.carried = append(c.carried, hash)
}

// sealIfSuspended seals a connection that was open while the machine was suspended: the
// server has probably closed it, and a request on it could end with an unknown outcome.
func (c *countedConnection) sealIfSuspended() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.suspended.Check() > 0 {
		c.sealed = true
	}
}

// seal makes further writes fail.
func (c *countedConnection) seal() {
	c.mutex.Lock()
	c.sealed = true
	c.mutex.Unlock()
}

// setIdleLimit sets the server's announced idle timeout.
func (c *countedConnection) setIdleLimit(limit time.Duration) {
	c.mutex.Lock()
	c.idleLimit = limit
	c.mutex.Unlock()
}

// writeCount returns the number of writes started.
func (c *countedConnection) writeCount() uint64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.writes
}

// sealUnlessWritten reports whether a write has started since the count was initialWrites;
// if not, it seals the connection against further writes.
func (c *countedConnection) sealUnlessWritten(initialWrites uint64) (written bool) {
	c.mutex.Lock()
	written = c.writes != initialWrites
	if !written {
		c.sealed = true
	}
	c.mutex.Unlock()
	if !written {
		_ = c.Close()
	}
	return written
}

// attempt tracks the connections used by one request.
type attempt struct {
	// id is the id of the request, or "".
	id          string
	mutex       sync.Mutex
	connections []attemptConnection
}

// attemptConnection is a connection with its write count when the request got it.
type attemptConnection struct {
	connection    *countedConnection
	initialWrites uint64
}

// trace returns the hooks that record the connections.
func (a *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: a.gotConnection}
}

func (a *attempt) gotConnection(info httptrace.GotConnInfo) {
	connection, counted := info.Conn.(*countedConnection)
	if !counted {
		return
	}
	connection.sealIfSuspended()
	connection.carry(a.id)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.connections = append(a.connections, attemptConnection{connection, connection.writeCount()})
}

// mayHaveRun reports whether a byte of the request may have been sent. If not, none can be
// sent any more.
func (a *attempt) mayHaveRun() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	written := false
	for _, used := range a.connections {
		if used.connection.sealUnlessWritten(used.initialWrites) {
			written = true
		}
	}
	return written
}

// recordKeepAlive stores the idle timeout, in whole seconds, from the Keep-Alive header of
// a response, if it has one.
func (a *attempt) recordKeepAlive(response *http.Response) {
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

// closeConnections closes the request's connections. No other request is sent on them.
func (a *attempt) closeConnections() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, used := range a.connections {
		used.connection.seal()
		_ = used.connection.Close()
	}
}
