package httpserve

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idlePollInterval is how often a stopping server checks its idle connections.
	idlePollInterval = 10 * time.Millisecond
	// transitMargin is added to the announced keep-alive timeout: a client counts it from the
	// arrival of the response, and a request that it sends in time needs time to arrive.
	transitMargin = 500 * time.Millisecond
)

// IdleConnections lets a server stop without losing a request that a client is sending.
// Every response of the server announces how long the connection may stay idle (Keep-Alive, RFC
// 2068, section 19.7.1.1). A stopping server closes a connection only after that time, and only
// if nothing has arrived on it.
//
// http.Server.Shutdown alone loses requests: it closes idle connections whose next request
// is unread, and drops a request that it reads from a new connection. Call Stop first. It
// is safe for concurrent use.
type IdleConnections struct {
	// timeout is how long a stopping server keeps an idle connection open.
	timeout time.Duration
	// announcement is the value of the Keep-Alive header, empty if none is sent.
	announcement string
	draining     atomic.Bool

	mutex       sync.Mutex
	connections map[*connection]struct{}
	listener    *drainableListener
}

// NewIdleConnections returns IdleConnections that announce a keep-alive timeout, at least
// a second, in whole seconds.
func NewIdleConnections(announced time.Duration) *IdleConnections {
	announced = max(time.Second, announced.Truncate(time.Second))
	return &IdleConnections{
		timeout:      announced + transitMargin,
		announcement: "timeout=" + strconv.Itoa(int(announced/time.Second)),
		connections:  map[*connection]struct{}{},
	}
}

// NewUnannouncedConnections returns IdleConnections for a server whose clients may reuse a
// connection at any time. Stop gives each of them the linger time to send once more and to
// learn from the response that the connection closes.
func NewUnannouncedConnections(linger time.Duration) *IdleConnections {
	return &IdleConnections{timeout: linger, connections: map[*connection]struct{}{}}
}

// listen returns the listener that a server with a guard must serve in place of the given one. Call it
// once.
func (i *IdleConnections) listen(listener net.Listener, limits *guard) net.Listener {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.listener = newDrainableListener(listener, limits)
	return i.listener
}

// observe is the ConnState hook of the http.Server.
func (i *IdleConnections) observe(accepted net.Conn, state http.ConnState) {
	conn, ok := accepted.(*connection)
	if !ok {
		return
	}
	conn.observe(state)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	switch state {
	case http.StateNew:
		i.connections[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(i.connections, conn)
	}
}

// Drain makes the server's responses announce the close of their connections.
func (i *IdleConnections) Drain() { i.draining.Store(true) }

// Stop closes the listener once its pending connections are accepted, and every connection
// once it has been idle for the announced or the linger time. It returns when no connection
// is left or ctx ends. It calls Drain first.
func (i *IdleConnections) Stop(ctx context.Context) {
	i.Drain()
	started := time.Now()
	drained := i.stopListening()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-drained:
			if i.closeExpired(started) == 0 {
				return
			}
		default:
			i.closeExpired(started)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// stopListening returns a channel that is closed once no connection will be accepted.
func (i *IdleConnections) stopListening() <-chan struct{} {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.listener == nil {
		drained := make(chan struct{})
		close(drained)
		return drained
	}
	return i.listener.drain()
}

// closeExpired closes the connections that have been idle for too long, and returns the
// number of open ones. Without an announcement the time counts from the start of the stop.
func (i *IdleConnections) closeExpired(started time.Time) int {
	limit := time.Now().Add(-i.timeout)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.announcement == "" && limit.Before(started) {
		return len(i.connections)
	}
	for conn := range i.connections {
		conn.closeIfIdleSince(limit)
	}
	return len(i.connections)
}
