package httpserve

import (
	"net"
	"sync"
	"syscall"
	"time"
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

// SetDeadline sets the deadline of Accept, without the wait for a slot.
func (l *limitedListener) SetDeadline(deadline time.Time) error {
	if listener, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return listener.SetDeadline(deadline)
	}
	return syscall.ENOTSUP
}

// SyscallConn implements syscall.Conn.
func (l *limitedListener) SyscallConn() (syscall.RawConn, error) {
	return rawConn(l.Listener)
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

// SyscallConn implements syscall.Conn.
func (c *limitedConnection) SyscallConn() (syscall.RawConn, error) {
	return rawConn(c.Conn)
}

// CloseWrite closes the sending side.
func (c *limitedConnection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return syscall.ENOTSUP
}

// rawConn returns the socket of a connection or listener.
func rawConn(socket any) (syscall.RawConn, error) {
	if conn, ok := socket.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, syscall.ENOTSUP
}
