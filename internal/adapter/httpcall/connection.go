package httpcall

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
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
}

// Write counts before the bytes can leave, so that the count errs only towards
// "may have run".
func (c *countedConnection) Write(data []byte) (int, error) {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mutex.Unlock()
	return c.Conn.Write(data)
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
