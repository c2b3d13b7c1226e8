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

// The messages of the pure gate.
type (
	// Replica is what the gate is told of one replica.
	Replica = gate.Replica
	// Settings are the bounds of a gate.
	Settings = gate.Settings
	// Request is a request to be admitted.
	Request = gate.Request
	// Outcome tells how a request ended.
	Outcome = gate.Outcome
	// Load is what runs on a replica, and how much may.
	Load = gate.Load
)

// Gate admits requests to a set of replicas. It is safe for use by many
// goroutines.
type Gate struct {
	mutex sync.Mutex
	pure  *gate.Gate
}

// New makes a gate without replicas.
func New(profile scheduling.Profile, seed uint64) *Gate {
	random := rand.New(rand.NewPCG(seed, uint64(len(profile.Name))))
	return &Gate{pure: gate.New(profile, random)}
}

// Grant is a place on a replica. Release must be called once the request has
// ended; later calls have no effect.
type Grant struct {
	Replica port.ReplicaID
	// Result tells of the choice.
	Result scheduling.Result
	// Waited is the time in the queue.
	Waited time.Duration

	gate   *Gate
	ticket gate.Ticket
	// settled is closed when the request no longer waits; nil if it never did.
	settled chan struct{}
}

// Release gives the place back and serves the next request.
func (r *Grant) Release(outcome Outcome) {
	now := time.Now()
	g := r.gate
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wake(g.pure.Release(now, &r.ticket, outcome))
}

// wake lets the goroutines go on whose requests were settled. The caller holds
// the mutex.
func wake(settled []*gate.Ticket) {
	for _, ticket := range settled {
		if waiting := ticket.Owner.(*Grant); waiting.settled != nil {
			close(waiting.settled)
		}
	}
}

// Configure replaces the settings and the set of replicas. Counts of replicas
// that stay are kept; requests that run on one that went away go on.
func (g *Gate) Configure(now time.Time, settings Settings, replicas []Replica) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wake(g.pure.Configure(now, settings, replicas))
}

// CacheEvents enters a replica's cache events; see prefix.Index.Apply.
func (g *Gate) CacheEvents(replica port.ReplicaID, events []port.CacheEvent, gap bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pure.CacheEvents(replica, events, gap)
}

// NextCacheEvent gives the sequence number after which to ask for events.
func (g *Gate) NextCacheEvent(replica port.ReplicaID) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.pure.LastCacheEvent(replica)
}

// ResetCache forgets a replica's blocks, as after its engine started anew.
func (g *Gate) ResetCache(replica port.ReplicaID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.pure.ResetCache(replica)
}

// Acquire waits for a replica. Held is called, if not nil, when the request has
// to wait. An error is NotRun: the request was refused, its deadline passed or
// ctx ended while it waited.
func (g *Gate) Acquire(ctx context.Context, request Request, held func(waiting int)) (*Grant, *port.Error) {
	asked := &Grant{gate: g}
	asked.ticket.Request = request
	asked.ticket.Owner = asked
	waiting := g.offer(asked)
	if asked.settled == nil {
		return asked.outcome()
	}
	if held != nil {
		held(waiting)
	}
	select {
	case <-asked.settled:
		return asked.outcome()
	case <-ctx.Done():
		return nil, g.abandon(ctx, asked)
	}
}

// offer hands the request to the gate; settled is set when it has to wait.
func (g *Gate) offer(asked *Grant) (waiting int) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	settled, waiting := g.pure.Offer(now, &asked.ticket)
	if waiting > 0 {
		asked.settled = make(chan struct{})
	}
	wake(settled)
	return waiting
}

// outcome gives the grant or the refusal of a settled request.
func (r *Grant) outcome() (*Grant, *port.Error) {
	if r.ticket.Refusal != nil {
		return nil, r.ticket.Refusal
	}
	r.Replica, r.Result, r.Waited = r.ticket.Replica, r.ticket.Result, r.ticket.Waited
	return r, nil
}

// abandon takes the request out of the queue, or gives back its grant.
func (g *Gate) abandon(ctx context.Context, asked *Grant) *port.Error {
	now := time.Now()
	g.mutex.Lock()
	wake(g.pure.Cancel(now, &asked.ticket))
	g.mutex.Unlock()
	if ctx.Err() == context.DeadlineExceeded {
		return port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed in the queue")
	}
	return port.NewError(port.NotRun, port.CodeCancelled, "the caller gave up in the queue")
}

// Tick ends the requests whose deadline has passed and serves those that can be.
func (g *Gate) Tick(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wake(g.pure.Tick(now))
}

// Drain refuses all that waits and all that comes, as NotRun. What runs goes on.
func (g *Gate) Drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	wake(g.pure.Drain())
}

// Loads gives the load of every replica, and the number of requests that wait.
func (g *Gate) Loads() (loads map[port.ReplicaID]Load, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.pure.Loads()
}
