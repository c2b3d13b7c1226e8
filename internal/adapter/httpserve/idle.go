package httpserve

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// idlePollInterval is how often a stopping server checks its idle connections.
const idlePollInterval = 10 * time.Millisecond

// IdleConnections keeps a stopping server from closing a connection on which a client is
// sending a request. Every response announces how long the connection may stay idle
// (Keep-Alive, RFC 2068, section 19.7.1.1), and a stopping server closes no idle connection
// before that time has passed. It is safe for concurrent use.
type IdleConnections struct {
	announced time.Duration
	header    string

	mutex sync.Mutex
	since map[net.Conn]time.Time
}

// NewIdleConnections returns IdleConnections that announce a keep-alive timeout, at least
// a second, in whole seconds.
func NewIdleConnections(announced time.Duration) *IdleConnections {
	announced = max(time.Second, announced.Truncate(time.Second))
	return &IdleConnections{
		announced: announced,
		header:    "timeout=" + strconv.Itoa(int(announced/time.Second)),
		since:     map[net.Conn]time.Time{},
	}
}

// Observe is the ConnState hook of the http.Server.
func (i *IdleConnections) Observe(connection net.Conn, state http.ConnState) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if state == http.StateIdle {
		i.since[connection] = time.Now()
		return
	}
	delete(i.since, connection)
}

// Announce sets the header with the keep-alive timeout or, if the server is stopping, with
// the close of the connection.
func (i *IdleConnections) Announce(header http.Header, stopping bool) {
	if stopping {
		header.Set("Connection", "close")
		return
	}
	header.Set("Keep-Alive", i.header)
}

// AwaitIdle waits until the announced time of every idle connection has passed, or ctx
// ends.
func (i *IdleConnections) AwaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !i.expired(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (i *IdleConnections) expired(now time.Time) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, since := range i.since {
		if now.Sub(since) < i.announced {
			return false
		}
	}
	return true
}
