package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Types of internal/core/gate.
type (
	// Replica is the configuration and state of one replica.
	Replica = gate.Replica
	// Settings hold the limits of a gate.
	Settings = gate.Settings
	// Request is a request for a replica.
	Request = gate.Request
	// Outcome is the outcome of a granted request.
	Outcome = gate.Outcome
	// Load is the number of requests running on a replica and its concurrency limit.
	Load = gate.Load
)

// Gate admits requests to a set of replicas. It is safe for concurrent use.
type Gate struct {
	mutex sync.Mutex
	core  *gate.Gate
}

// New returns a gate without replicas.
func New(profile scheduling.Profile, seed uint64) *Gate {
	random := rand.New(rand.NewPCG(seed, uint64(len(profile.Name))))
	return &Gate{core: gate.New(profile, random)}
}

// Grant is a slot on a replica. The caller must call Release once the request has
// ended; further calls have no effect.
type Grant struct {
	Replica port.ReplicaID
	// Result is the scheduler's choice.
	Result scheduling.Result
	// Waited is the time in the queue.
	Waited time.Duration

	gate   *Gate
	ticket gate.Ticket
	// settled is closed when the queued request is granted or refused; nil if the
	// request was not queued.
	settled chan struct{}
}

// Release releases the slot and grants queued requests.
func (r *Grant) Release(outcome Outcome) {
	now := time.Now()
	g := r.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wake(g.core.Release(now, &r.ticket, outcome))
}

// wake unblocks the callers of settled requests. The caller holds the mutex.
func wake(settled []*gate.Ticket) {
	for _, ticket := range settled {
		if waiting := ticket.Owner.(*Grant); waiting.settled != nil {
			close(waiting.settled)
		}
	}
}

// Configure replaces the settings and the set of replicas. Replicas that stay keep their
// counts; requests running on a removed replica continue.
func (g *Gate) Configure(now time.Time, settings Settings, replicas []Replica) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wake(g.core.Configure(now, settings, replicas))
}

// CacheEvents applies a replica's cache events; see prefix.Index.Apply.
func (g *Gate) CacheEvents(replica port.ReplicaID, events []port.CacheEvent, gap bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.core.CacheEvents(replica, events, gap)
}

// LastCacheEvent returns the sequence number after which to request events.
func (g *Gate) LastCacheEvent(replica port.ReplicaID) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.LastCacheEvent(replica)
}

// ResetCache drops a replica's cached blocks, for example after an engine restart.
func (g *Gate) ResetCache(replica port.ReplicaID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.core.ResetCache(replica)
}

// Acquire blocks until the request is granted a replica. If the request is queued and
// onQueued is not nil, Acquire calls onQueued with the number of queued requests. Errors
// have the verdict NotRun: the request was refused, its deadline passed, or ctx ended.
func (g *Gate) Acquire(ctx context.Context, request Request, onQueued func(waiting int)) (*Grant, *port.Error) {
	grant := &Grant{gate: g}
	grant.ticket.Request = request
	grant.ticket.Owner = grant
	waiting := g.offer(grant)
	if grant.settled == nil {
		return grant.outcome()
	}
	if onQueued != nil {
		onQueued(waiting)
	}
	select {
	case <-grant.settled:
		return grant.outcome()
	case <-ctx.Done():
		return nil, g.abandon(ctx, grant)
	}
}

// offer passes the request to the core gate. It sets grant.settled if the request is
// queued.
func (g *Gate) offer(grant *Grant) (waiting int) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	settled, waiting := g.core.Offer(now, &grant.ticket)
	if waiting > 0 {
		grant.settled = make(chan struct{})
	}
	wake(settled)
	return waiting
}

// outcome returns the grant or the refusal of a settled request.
func (r *Grant) outcome() (*Grant, *port.Error) {
	if r.ticket.Refusal != nil {
		return nil, r.ticket.Refusal
	}
	r.Replica, r.Result, r.Waited = r.ticket.Replica, r.ticket.Result, r.ticket.Waited
	return r, nil
}

// abandon withdraws a request whose ctx ended, or releases its slot.
func (g *Gate) abandon(ctx context.Context, grant *Grant) *port.Error {
	now := time.Now()
	g.mutex.Lock()
	wake(g.core.Cancel(now, &grant.ticket))
	g.mutex.Unlock()
	if ctx.Err() == context.DeadlineExceeded {
		return port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed in the queue")
	}
	return port.NewError(port.NotRun, port.CodeCancelled, "the caller gave up in the queue")
}

// Tick refuses queued requests past their deadline and grants those that can run.
func (g *Gate) Tick(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wake(g.core.Tick(now))
}

// Drain refuses all queued and all future requests as NotRun. Running requests continue.
func (g *Gate) Drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wake(g.core.Drain())
}

// Loads returns the load of every replica and the number of queued requests.
func (g *Gate) Loads() (loads map[port.ReplicaID]Load, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.core.Loads()
}
