package httpserve

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// idlePoll is how often a stopping server looks at its idle connections.
const idlePoll = 10 * time.Millisecond

// IdleConnections lets a server stop without a request crossing the close of the
// connection that it was sent on. Every answer announces for how long the
// connection may rest (RFC 2068, section 19.7.1.1: Keep-Alive), and a stopping
// server closes none before that time is over. It is safe for concurrent use.
type IdleConnections struct {
	announced time.Duration
	header    string

	mutex sync.Mutex
	since map[net.Conn]time.Time
}

// NewIdleConnections makes IdleConnections for a server whose callers may reuse
// a connection for the announced time, at least a second, in whole seconds.
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

// Announce tells a caller how long its connection may rest, or, of a server that
// stops, not to use it again.
func (i *IdleConnections) Announce(header http.Header, stopping bool) {
	if stopping {
		header.Set("Connection", "close")
		return
	}
	header.Set("Keep-Alive", i.header)
}

// AwaitRested waits until no caller that heeds what it was told sends on an idle
// connection any more, or the end of ctx.
func (i *IdleConnections) AwaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for !i.rested(time.Now()) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (i *IdleConnections) rested(now time.Time) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	for _, since := range i.since {
		if now.Sub(since) < i.announced {
			return false
		}
	}
	return true
}
