package gate

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/prefix"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// drainRetryAfter is the RetryAfter of a request refused by a stopping node.
const drainRetryAfter = time.Second

// Gate admits requests to a set of replicas. It is not safe for concurrent use.
type Gate struct {
	scheduler     *scheduling.Scheduler
	random        *rand.Rand
	index         *prefix.Index
	queue         *admission.Queue[*Ticket]
	replicaStates []*replicaState
	byID          map[port.ReplicaID]*replicaState
	draining      bool
	// scratch is reused for the candidates of each decision.
	scratch []scheduling.Candidate
	// resolved collects the tickets resolved by the current call.
	resolved []*Ticket
}

// Settings hold the limits of a gate.
type Settings struct {
	// MinInflight and MaxInflight limit the adaptive limit of each replica.
	MinInflight int
	MaxInflight int
	// QueueLength limits the queued requests.
	QueueLength int
}

// New returns a gate without replicas. The gate must be the only user of the random
// source.
func New(profile scheduling.Profile, random *rand.Rand) *Gate {
	return &Gate{
		scheduler: scheduling.New(profile),
		random:    random,
		index:     prefix.New(prefix.Config{}),
		queue:     admission.NewQueue[*Ticket](admission.Config{Length: 1}),
		byID:      make(map[port.ReplicaID]*replicaState),
	}
}

// Configure replaces the settings and the set of replicas, and returns the tickets
// that this resolved. Replicas that remain keep their counts; requests running on a
// removed replica continue. The result is valid until the next call.
func (g *Gate) Configure(now time.Time, settings Settings, replicas []Replica) []*Ticket {
	g.resolved = g.resolved[:0]
	g.queue.SetLength(settings.QueueLength)
	limits := admission.LimiterConfig{Min: max(settings.MinInflight, 1), Max: max(settings.MaxInflight, settings.MinInflight, 1)}
	previous := g.byID
	g.byID = make(map[port.ReplicaID]*replicaState, len(replicas))
	g.replicaStates = g.replicaStates[:0]
	for _, replica := range replicas {
		state, known := previous[replica.ID]
		if !known {
			state = &replicaState{limiter: admission.NewLimiter(limits)}
		}
		state.limiter.SetBounds(limits)
		state.update(replica)
		g.byID[replica.ID] = state
		g.replicaStates = append(g.replicaStates, state)
	}
	g.index.Retain(func(id port.ReplicaID) bool { return g.byID[id] != nil })
	g.dispatch(now)
	return g.resolved
}

// Offer grants, refuses or queues a ticket and sets its State accordingly. It returns
// the previously queued tickets that it resolved, and the number of queued requests if
// this one was queued; in that case the ticket itself may be among the resolved ones.
// The result is valid until the next call.
func (g *Gate) Offer(now time.Time, ticket *Ticket) (resolved []*Ticket, waiting int) {
	g.resolved = g.resolved[:0]
	ticket.offeredAt = now
	if g.draining {
		ticket.refuse(drainingError())
		return nil, 0
	}
	if g.queue.Len() == 0 && g.assign(now, ticket) {
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
	return g.resolved, waiting
}

// Cancel withdraws a ticket whose caller disconnected: it removes a queued ticket from
// the queue and releases a granted slot. It returns the tickets that this resolved,
// valid until the next call.
func (g *Gate) Cancel(now time.Time, ticket *Ticket) []*Ticket {
	g.resolved = g.resolved[:0]
	switch ticket.State {
	case Waiting:
		g.queue.Cancel(ticket.Request.ID)
		ticket.State = Cancelled
	case Granted:
		return g.Release(now, ticket, Outcome{Abandoned: true})
	}
	return g.resolved
}

// Tick refuses queued requests past their deadline and grants those that can run. It
// returns the tickets that this resolved, valid until the next call.
func (g *Gate) Tick(now time.Time) []*Ticket {
	g.resolved = g.resolved[:0]
	g.index.Expire(now)
	g.dispatch(now)
	return g.resolved
}

// Drain refuses all queued and all future requests as NotRun. Running requests
// continue. It returns the tickets that this resolved, valid until the next call.
func (g *Gate) Drain() []*Ticket {
	g.resolved = g.resolved[:0]
	g.draining = true
	g.refuseEnded(g.queue.Drain())
	return g.resolved
}

// CacheEvents applies a replica's cache events; see prefix.Index.Apply.
func (g *Gate) CacheEvents(replica port.ReplicaID, events []port.CacheEvent, gap bool) {
	if g.byID[replica] != nil {
		g.index.Apply(replica, events, gap)
	}
}

// LastCacheEvent returns the sequence number after which to request events.
func (g *Gate) LastCacheEvent(replica port.ReplicaID) uint64 { return g.index.LastSequence(replica) }

// ResetCache drops a replica's cached blocks, for example after an engine restart.
func (g *Gate) ResetCache(replica port.ReplicaID) { g.index.Reset(replica) }

// Load is the number of requests running on a replica and its concurrency limit.
type Load struct {
	Inflight int
	Limit    int
}

// Loads returns the load of every replica and the number of queued requests.
func (g *Gate) Loads() (loads map[port.ReplicaID]Load, waiting int) {
	loads = make(map[port.ReplicaID]Load, len(g.replicaStates))
	for _, state := range g.replicaStates {
		loads[state.info.ID] = Load{Inflight: state.inflight, Limit: state.limiter.Limit()}
	}
	return loads, g.queue.Len()
}

func drainingError() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")
	refusal.RetryAfter = drainRetryAfter
	return refusal
}
