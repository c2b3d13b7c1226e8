package control

import (
	"net"
	"sync"
	"time"
)

// testNetwork can cut members off in silence: connections stay open, and
// nothing passes until the member is back. Bytes held up then arrive late.
type testNetwork struct {
	mutex sync.Mutex
	cut   map[string]bool
	// changed is closed and replaced when cut changes.
	changed chan struct{}
}

func newTestNetwork() *testNetwork {
	return &testNetwork{cut: make(map[string]bool), changed: make(chan struct{})}
}

// set cuts a peer address off or brings it back.
func (n *testNetwork) set(address string, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut[address] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// pass waits until neither end is cut off, or until done is closed.
func (n *testNetwork) pass(ends [2]string, done <-chan struct{}) bool {
	for {
		n.mutex.Lock()
		blocked, changed := n.cut[ends[0]] || n.cut[ends[1]], n.changed
		n.mutex.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// dialer gives the way a process at an address opens connections.
func (n *testNetwork) dialer(from string) func(string, time.Duration) (net.Conn, error) {
	return func(to string, timeout time.Duration) (net.Conn, error) {
		ends := [2]string{from, to}
		expired := make(chan struct{})
		timer := time.AfterFunc(timeout, func() { close(expired) })
		defer timer.Stop()
		if !n.pass(ends, expired) {
			return nil, net.ErrClosed
		}
		conn, err := net.DialTimeout("tcp", to, timeout)
		if err != nil {
			return nil, err
		}
		return &testConn{Conn: conn, network: n, ends: ends, done: make(chan struct{})}, nil
	}
}

type testConn struct {
	net.Conn
	network *testNetwork
	ends    [2]string
	done    chan struct{}
	once    sync.Once
}

// Read delivers only while neither end is cut off.
func (c *testConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if !c.network.pass(c.ends, c.done) {
		return 0, net.ErrClosed
	}
	return count, err
}

// Write sends only while neither end is cut off.
func (c *testConn) Write(data []byte) (int, error) {
	if !c.network.pass(c.ends, c.done) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// Close ends the connection and what waits on it.
func (c *testConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
