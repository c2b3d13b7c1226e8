package httpserve

import (
	"bytes"
	"net"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/descriptors"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
)

const (
	// headerFieldBytes and headerByteBytes are the memory that a line of a header and each of its bytes
	// take once parsed and copied for a replica.
	headerFieldBytes = 512
	headerByteBytes  = 4
	// bodyProgressBytes is the part of a body that counts as progress of its client.
	bodyProgressBytes = 1 << 10
	// writeChunkBytes is the part of a response that counts as progress of its client.
	writeChunkBytes = 16 << 10
	// discardTimeout limits the time in which net/http reads the rest of a body that no handler wants.
	discardTimeout = time.Second

	// longStall is the time without progress from which a client may be evicted for others. Links that lose
	// packets cause stalls of some hundred milliseconds.
	longStall = time.Second
	// shortStall is the same for a connection if no client is idle, so that a crowd is evicted faster than
	// it comes.
	shortStall = 100 * time.Millisecond
	// roomPollInterval is the time between two looks at the connections that wait for room.
	roomPollInterval = 20 * time.Millisecond
	// crowdedParts and crowdedBufferBytes limit the kernel's buffers of a connection if 1/crowdedParts of
	// all are open.
	crowdedParts       = 4
	crowdedBufferBytes = 16 << 10
)

// guard limits the clients of one server. It is safe for concurrent use.
type guard struct {
	limits func() Limits
	memory *membudget.Budget
	// most limits the open connections, and newTimeout how long one may stay open before its first request.
	most       int
	newTimeout time.Duration

	mutex sync.Mutex
	open  map[*connection]struct{}
	// freed receives a value when a connection closes, unless one is pending.
	freed chan struct{}
}

func newGuard(config ServerConfig) *guard {
	fixed := config.Limits.withDefaults(defaultLimits())
	g := &guard{
		limits: func() Limits { return fixed }, memory: config.Memory, most: min(fixed.Connections, descriptors.ForClients(descriptors.Limit())), newTimeout: fixed.HeaderTimeout,
		open: map[*connection]struct{}{}, freed: make(chan struct{}, 1),
	}
	if config.Current != nil {
		g.limits = func() Limits { return config.Current().withDefaults(fixed) }
	}
	config.Memory.OnExhausted(g.evictHolder)
	return g
}

// add returns the connection for an accepted one.
func (g *guard) add(accepted net.Conn) *connection {
	conn := &connection{Conn: accepted, guard: g, memory: g.memory.NewReservation(), progressed: time.Now()}
	g.mutex.Lock()
	g.open[conn] = struct{}{}
	crowded := len(g.open) > g.most/crowdedParts
	g.mutex.Unlock()
	if tcp, ok := accepted.(*net.TCPConn); ok && crowded {
		_ = tcp.SetReadBuffer(crowdedBufferBytes) // on an error the default sizes remain
		_ = tcp.SetWriteBuffer(crowdedBufferBytes)
	}
	return conn
}

func (g *guard) remove(conn *connection) {
	g.mutex.Lock()
	delete(g.open, conn)
	g.mutex.Unlock()
	select {
	case g.freed <- struct{}{}:
	default:
	}
}

// awaitRoom blocks until a further connection may be accepted, or closed is closed. While pending reports
// that a connection waits, it evicts others.
func (g *guard) awaitRoom(closed <-chan struct{}, pending func() bool) {
	for !g.hasRoom() {
		if pending() {
			g.evict(anyClient)
		}
		select {
		case <-g.freed:
		case <-time.After(roomPollInterval):
		case <-closed:
			return
		}
	}
}

func (g *guard) hasRoom() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.open) < g.most
}

// victims selects the clients that may be evicted.
type victims int

const (
	// anyClient may be evicted for its connection.
	anyClient victims = iota
	// memoryHolder may be evicted for its memory.
	memoryHolder
)

// evictHolder evicts a client that holds memory and makes no progress, and reports whether there was one.
func (g *guard) evictHolder() bool { return g.evict(memoryHolder) }

// evict evicts the client of the highest rank, and reports whether there was one.
func (g *guard) evict(among victims) bool {
	now := time.Now()
	g.mutex.Lock()
	var worst *connection
	var worstRank rank
	for conn := range g.open {
		if r := conn.rank(now, among); r.above(worstRank) {
			worst, worstRank = conn, r
		}
	}
	g.mutex.Unlock()
	return worst != nil && worst.evict()
}

// reason is why a client may be evicted, the weakest first.
type reason int

const (
	reasonNone reason = iota
	// reasonShortStall is a short time without progress in the middle of a request, or before the first.
	reasonShortStall
	// reasonIdle is a connection between two requests.
	reasonIdle
	// reasonStall is a long time without progress in the middle of a request, or before the first.
	reasonStall
)

// rank orders the clients that may be evicted: by reason, then by the time without progress.
type rank struct {
	reason reason
	stall  time.Duration
}

func (r rank) above(other rank) bool {
	if r.reason != other.reason {
		return r.reason > other.reason
	}
	return r.reason != reasonNone && r.stall > other.stall
}

// rankOf returns the rank of a client in the middle of a request.
func rankOf(stall time.Duration, among victims) rank {
	switch {
	case stall >= longStall:
		return rank{reasonStall, stall}
	case stall >= shortStall && among == anyClient:
		return rank{reasonShortStall, stall}
	}
	return rank{}
}

// headerCost returns the memory that a part of a header takes.
func headerCost(part []byte) int64 {
	return int64(headerFieldBytes*bytes.Count(part, []byte{'\n'}) + headerByteBytes*len(part))
}

// afterHeader returns what follows the end of a header in a part of it, or all of the part if the end
// is not in it.
func afterHeader(part []byte) []byte {
	for _, end := range []string{"\n\r\n", "\n\n"} {
		if _, after, found := bytes.Cut(part, []byte(end)); found {
			return after
		}
	}
	return part
}
