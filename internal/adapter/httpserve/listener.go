package httpserve

import (
	"net"
	"sync"
)

// limitedListener limits the open connections; further ones wait in the kernel's accept
// queue.
type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// LimitListener limits the open connections of a listener.
func LimitListener(listener net.Listener, connections int) net.Listener {
	return &limitedListener{
		Listener: listener,
		slots:    make(chan struct{}, connections),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a free slot and a connection.
func (l *limitedListener) Accept() (net.Conn, error) {
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
	return &limitedConnection{Conn: connection, slots: l.slots}, nil
}

// Close closes the listener and unblocks Accept.
func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConnection releases its slot when closed.
type limitedConnection struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close closes the connection and releases its slot once.
func (c *limitedConnection) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() { <-c.slots })
	return err
}
