package gate

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/prefix"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// drainRetryAfter is the advised wait of a request that a stopping node refuses.
const drainRetryAfter = time.Second

// Gate admits requests to a set of replicas. It is not safe for concurrent use.
type Gate struct {
	scheduler *scheduling.Scheduler
	random    *rand.Rand
	index     *prefix.Index
	queue     *admission.Queue[*Ticket]
	slots     []*slot
	byID      map[port.ReplicaID]*slot
	draining  bool
	// scratch holds the candidates of one decision.
	scratch []scheduling.Candidate
	// settled gathers the tickets that the present call settled.
	settled []*Ticket
}

// Settings are the bounds of a gate.
type Settings struct {
	// MinInflight and MaxInflight bound the adaptive limit of each replica.
	MinInflight int
	MaxInflight int
	// QueueLength bounds the requests that wait.
	QueueLength int
}

// New makes a gate without replicas. The random source is used by this gate
// alone.
func New(profile scheduling.Profile, random *rand.Rand) *Gate {
	return &Gate{
		scheduler: scheduling.New(profile),
		random:    random,
		index:     prefix.New(prefix.Config{}),
		queue:     admission.NewQueue[*Ticket](admission.Config{Length: 1}),
		byID:      make(map[port.ReplicaID]*slot),
	}
}

// Configure replaces the settings and the set of replicas, and gives the tickets
// that this settled. Counts of replicas that stay are kept; requests that run on
// one that went away go on. The result holds until the next call.
func (g *Gate) Configure(now time.Time, settings Settings, replicas []Replica) []*Ticket {
	g.settled = g.settled[:0]
	g.queue.SetLength(settings.QueueLength)
	limits := admission.LimiterConfig{Min: max(settings.MinInflight, 1), Max: max(settings.MaxInflight, settings.MinInflight, 1)}
	previous := g.byID
	g.byID = make(map[port.ReplicaID]*slot, len(replicas))
	g.slots = g.slots[:0]
	for _, replica := range replicas {
		held, known := previous[replica.ID]
		if !known {
			held = &slot{limiter: admission.NewLimiter(limits)}
		}
		held.limiter.SetBounds(limits)
		held.update(replica)
		g.byID[replica.ID] = held
		g.slots = append(g.slots, held)
	}
	g.index.Retain(func(id port.ReplicaID) bool { return g.byID[id] != nil })
	g.dispatch(now)
	return g.settled
}

// Offer grants a ticket at once, refuses it, or lets it wait: its state tells
// which. Waiting counts the requests that wait, this one included, when it does.
// The tickets that waited and were settled come back too; the offered one is not
// among them unless it waited first. The result holds until the next call.
func (g *Gate) Offer(now time.Time, ticket *Ticket) (settled []*Ticket, waiting int) {
	g.settled = g.settled[:0]
	ticket.offered = now
	if g.draining {
		ticket.refuse(drainingError())
		return nil, 0
	}
	if g.queue.Len() == 0 && g.place(now, ticket) {
		return nil, 0
	}
	if refusal := g.checkServable(now, ticket); refusal != nil {
		ticket.refuse(refusal)
		return nil, 0
	}
	if refusal := g.queue.Offer(now, ticket.item()); refusal != nil {
		ticket.refuse(refusal)
	} else {
		ticket.State = Waiting
		waiting = g.queue.Len()
		g.dispatch(now)
	}
	g.expire(now)
	return g.settled, waiting
}

// Cancel takes back a ticket whose caller has gone: one that waits leaves the
// queue, a place that was granted is given back. The tickets that this settled
// hold until the next call.
func (g *Gate) Cancel(now time.Time, ticket *Ticket) []*Ticket {
	g.settled = g.settled[:0]
	switch ticket.State {
	case Waiting:
		g.queue.Cancel(ticket.Request.ID)
		ticket.State = Cancelled
	case Granted:
		return g.Release(now, ticket, Outcome{Abandoned: true})
	}
	return g.settled
}

// Tick ends the requests whose deadline has passed and serves those that can be.
// The tickets that this settled hold until the next call.
func (g *Gate) Tick(now time.Time) []*Ticket {
	g.settled = g.settled[:0]
	g.index.Expire(now)
	g.dispatch(now)
	return g.settled
}

// Drain refuses all that waits and all that comes, as NotRun. What runs goes on.
// The tickets that this settled hold until the next call.
func (g *Gate) Drain() []*Ticket {
	g.settled = g.settled[:0]
	g.draining = true
	g.finish(g.queue.Drain())
	return g.settled
}

// CacheEvents enters a replica's cache events; see prefix.Index.Apply.
func (g *Gate) CacheEvents(replica port.ReplicaID, events []port.CacheEvent, gap bool) {
	if g.byID[replica] != nil {
		g.index.Apply(replica, events, gap)
	}
}

// NextCacheEvent gives the sequence number after which to ask for events.
func (g *Gate) NextCacheEvent(replica port.ReplicaID) uint64 { return g.index.Next(replica) }

// ResetCache forgets a replica's blocks, as after its engine started anew.
func (g *Gate) ResetCache(replica port.ReplicaID) { g.index.Reset(replica) }

// Load is what runs on a replica, and how much may.
type Load struct {
	Inflight int
	Limit    int
}

// Loads gives the load of every replica, and the number of requests that wait.
func (g *Gate) Loads() (loads map[port.ReplicaID]Load, waiting int) {
	loads = make(map[port.ReplicaID]Load, len(g.slots))
	for _, held := range g.slots {
		loads[held.replica.ID] = Load{Inflight: held.inflight, Limit: held.limiter.Limit()}
	}
	return loads, g.queue.Len()
}

func drainingError() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")
	refusal.RetryAfter = drainRetryAfter
	return refusal
}
