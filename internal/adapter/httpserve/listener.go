package httpserve

import (
	"net"
	"sync"
)

// boundedListener accepts a bounded number of connections at a time; further
// ones wait in the system's queue.
type boundedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// BoundListener bounds the connections that a listener has open at a time.
func BoundListener(listener net.Listener, connections int) net.Listener {
	return &boundedListener{
		Listener: listener,
		slots:    make(chan struct{}, connections),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a free slot and a connection.
func (l *boundedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	connection, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &boundedConnection{Conn: connection, slots: l.slots}, nil
}

// Close ends Accept.
func (l *boundedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// boundedConnection gives its slot back when it is closed.
type boundedConnection struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close closes the connection.
func (c *boundedConnection) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}
