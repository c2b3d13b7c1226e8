package control

import (
	"net"
	"sync"
	"time"
)

// testNetwork can isolate members: their connections stay open, but block until the
// member is reconnected.
type testNetwork struct {
	mutex    sync.Mutex
	isolated map[string]bool
	// changed is closed and replaced when isolated changes.
	changed chan struct{}
}

func newTestNetwork() *testNetwork {
	return &testNetwork{isolated: make(map[string]bool), changed: make(chan struct{})}
}

// setIsolated isolates a peer address or reconnects it.
func (n *testNetwork) setIsolated(address string, isolated bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.isolated[address] = isolated
	close(n.changed)
	n.changed = make(chan struct{})
}

// awaitConnected blocks until neither end is isolated. It returns false if done is
// closed first.
func (n *testNetwork) awaitConnected(ends [2]string, done <-chan struct{}) bool {
	for {
		n.mutex.Lock()
		blocked, changed := n.isolated[ends[0]] || n.isolated[ends[1]], n.changed
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

// dialer returns the dial function of the process at an address.
func (n *testNetwork) dialer(from string) func(string, time.Duration) (net.Conn, error) {
	return func(to string, timeout time.Duration) (net.Conn, error) {
		ends := [2]string{from, to}
		expired := make(chan struct{})
		timer := time.AfterFunc(timeout, func() { close(expired) })
		defer timer.Stop()
		if !n.awaitConnected(ends, expired) {
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

// Read delivers only while neither end is isolated.
func (c *testConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if !c.network.awaitConnected(c.ends, c.done) {
		return 0, net.ErrClosed
	}
	return count, err
}

// Write sends only while neither end is isolated.
func (c *testConn) Write(data []byte) (int, error) {
	if !c.network.awaitConnected(c.ends, c.done) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(data)
}

// Close closes the connection and unblocks its reads and writes.
func (c *testConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
