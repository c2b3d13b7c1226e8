package httpserve

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// pendingAcceptTimeout limits the wait for a connection that the kernel reports as pending.
const pendingAcceptTimeout = time.Second

// drainableListener accepts, before it closes, the connections that the kernel has already
// completed: closing the socket would reset them, and clients may have sent requests on
// them.
type drainableListener struct {
	net.Listener
	guard    *guard
	draining atomic.Bool
	// drained is closed once the underlying listener is closed, closed by Close.
	drained, closed chan struct{}
	stop, closeOnce sync.Once
}

func newDrainableListener(listener net.Listener, limits *guard) *drainableListener {
	return &drainableListener{Listener: listener, guard: limits, drained: make(chan struct{}), closed: make(chan struct{})}
}

// drain makes Accept return the pending connections, then close the listener. The returned
// channel is closed after that.
func (l *drainableListener) drain() <-chan struct{} {
	l.draining.Store(true)
	l.setDeadline(elapsedDeadline)
	return l.drained
}

// Accept implements net.Listener. After drain and the last pending connection it blocks
// until Close.
func (l *drainableListener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() {
			if !l.hasPending() {
				l.shut()
				<-l.closed
				return nil, net.ErrClosed
			}
			l.setDeadline(time.Now().Add(pendingAcceptTimeout))
		}
		l.guard.awaitRoom(l.closed, l.hasPending)
		accepted, err := l.Listener.Accept()
		if err == nil {
			return l.guard.add(accepted), nil
		}
		if !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// Close closes the listener and unblocks Accept.
func (l *drainableListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	l.shut()
	return nil
}

// shut closes the underlying listener once.
func (l *drainableListener) shut() {
	l.stop.Do(func() {
		_ = l.Listener.Close() // releases the port even if it fails
		close(l.drained)
	})
}

func (l *drainableListener) setDeadline(deadline time.Time) {
	if listener, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		_ = listener.SetDeadline(deadline) // fails only on a closed listener
	}
}

// hasPending reports whether the kernel holds a connection that was not accepted.
func (l *drainableListener) hasPending() bool {
	raw, err := rawConn(l.Listener)
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(descriptor uintptr) {
		descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		ready, err := unix.Poll(descriptors, 0)
		pending = err == nil && ready > 0 && descriptors[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}
