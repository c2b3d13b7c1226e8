package gate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/admission"
	"github.com/loomgrade/loomgrade/internal/core/prefix"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Gate admits requests to a set of replicas. It is safe for use by many
// goroutines.
type Gate struct {
	mutex     sync.Mutex
	scheduler *scheduling.Scheduler
	random    *rand.Rand
	index     *prefix.Index
	queue     *admission.Queue[*ticket]
	slots     []*slot
	byID      map[port.ReplicaID]*slot
	draining  bool
	// scratch holds the candidates of one decision.
	scratch []scheduling.Candidate
}

// slot is one replica with what runs on it.
type slot struct {
	replica  Replica
	limiter  *admission.Limiter
	inflight int
	tokens   int
	sent     int
	finished int
	reported time.Time
	// marks count what was sent and finished when the last report came.
	sentMark     int
	finishedMark int
}

// Replica is what the gate is told of one replica.
type Replica struct {
	ID   port.ReplicaID
	Zone port.ZoneName
	// Region is that of the replica's zone.
	Region   port.RegionName
	Draining bool
	Leaving  bool
	Ejected  bool
	Probing  bool
	// VersionUnknown keeps a replica out until it says what it serves.
	VersionUnknown bool
	// Report is the last load report, made at ReportedAt; the zero time means
	// that there is none, as for application back ends.
	Report     port.LoadReport
	ReportedAt time.Time
}

// Settings are the bounds of a gate.
type Settings struct {
	MinInflight int
	MaxInflight int
	QueueLength int
}

// Request is a request to be admitted.
type Request struct {
	ID          port.RequestID
	Tenant      port.TenantName
	TenantShare float64
	Deadline    time.Time
	// Preferred is taken if it passes the filters; empty leaves the choice to
	// the gate.
	Preferred port.ReplicaID
	// Avoid is taken only if no other replica can serve.
	Avoid port.ReplicaID
	// Pick holds the rest of what the choice depends on. Its Prefix is set by
	// the gate.
	Pick scheduling.Request
}

// ticket is a request that waits.
type ticket struct {
	request Request
	result  chan outcome
	offered time.Time
}

type outcome struct {
	grant *Grant
	err   *port.Error
}

// New makes a gate without replicas.
func New(profile scheduling.Profile, seed uint64) *Gate {
	return &Gate{
		scheduler: scheduling.New(profile),
		random:    rand.New(rand.NewPCG(seed, uint64(len(profile.Name)))),
		index:     prefix.New(prefix.Config{}),
		queue:     admission.NewQueue[*ticket](admission.Config{Length: 1}),
		byID:      make(map[port.ReplicaID]*slot),
	}
}

// Configure replaces the settings and the set of replicas. Counts of replicas
// that stay are kept; requests that run on one that went away go on.
func (g *Gate) Configure(now time.Time, settings Settings, replicas []Replica) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
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
}

// update takes over what is told of a replica.
func (s *slot) update(replica Replica) {
	if replica.ReportedAt.After(s.reported) {
		s.reported = replica.ReportedAt
		s.sentMark = s.sent
		s.finishedMark = s.finished
	}
	s.replica = replica
}

// CacheEvents enters a replica's cache events; see prefix.Index.Apply.
func (g *Gate) CacheEvents(replica port.ReplicaID, events []port.CacheEvent, gap bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.byID[replica] != nil {
		g.index.Apply(replica, events, gap)
	}
}

// NextCacheEvent gives the sequence number after which to ask for events.
func (g *Gate) NextCacheEvent(replica port.ReplicaID) uint64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.index.Next(replica)
}

// ResetCache forgets a replica's blocks, as after its engine started anew.
func (g *Gate) ResetCache(replica port.ReplicaID) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.index.Reset(replica)
}

// Acquire waits for a replica. Held is called, if not nil, when the request has
// to wait. An error is NotRun: the request was refused, its deadline passed or
// ctx ended while it waited.
func (g *Gate) Acquire(ctx context.Context, request Request, held func(waiting int)) (*Grant, *port.Error) {
	now := time.Now()
	waiting := &ticket{request: request, result: make(chan outcome, 1), offered: now}
	grant, refusal, queued := g.offer(now, waiting)
	if refusal != nil || grant != nil {
		return grant, refusal
	}
	if held != nil {
		held(queued)
	}
	select {
	case result := <-waiting.result:
		return result.grant, result.err
	case <-ctx.Done():
		return nil, g.abandon(ctx, waiting)
	}
}

// offer grants at once, refuses, or queues the ticket.
func (g *Gate) offer(now time.Time, waiting *ticket) (grant *Grant, refusal *port.Error, queued int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.draining {
		return nil, drainingError(), 0
	}
	if g.queue.Len() == 0 {
		if grant := g.place(now, waiting); grant != nil {
			return grant, nil, 0
		}
	}
	if refusal := g.checkServable(waiting); refusal != nil {
		return nil, refusal, 0
	}
	refusal = g.queue.Offer(now, admission.Item[*ticket]{
		ID:          waiting.request.ID,
		Tenant:      waiting.request.Tenant,
		Priority:    waiting.request.Pick.Priority,
		Deadline:    waiting.request.Deadline,
		TenantShare: waiting.request.TenantShare,
		Value:       waiting,
	})
	if refusal == nil {
		queued = g.queue.Len()
		g.dispatch(now)
	}
	g.expire(now)
	return nil, refusal, queued
}

// abandon takes the ticket out of the queue, or gives back its grant.
func (g *Gate) abandon(ctx context.Context, waiting *ticket) *port.Error {
	g.mutex.Lock()
	g.queue.Cancel(waiting.request.ID)
	g.mutex.Unlock()
	select {
	case result := <-waiting.result:
		if result.grant != nil {
			result.grant.Release(Outcome{Abandoned: true})
		}
	default:
	}
	if ctx.Err() == context.DeadlineExceeded {
		return port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed in the queue")
	}
	return port.NewError(port.NotRun, port.CodeCancelled, "the caller gave up in the queue")
}

// Tick ends the requests whose deadline has passed and serves those that can be.
func (g *Gate) Tick(now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.index.Expire(now)
	g.dispatch(now)
}

// Drain refuses all that waits and all that comes, as NotRun. What runs goes on.
func (g *Gate) Drain() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.draining = true
	g.finish(g.queue.Drain())
}

// Load is what runs and waits on a replica.
type Load struct {
	Inflight int
	Limit    int
}

// Loads gives the load of every replica, and the number of requests that wait.
func (g *Gate) Loads() (loads map[port.ReplicaID]Load, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	loads = make(map[port.ReplicaID]Load, len(g.slots))
	for _, held := range g.slots {
		loads[held.replica.ID] = Load{Inflight: held.inflight, Limit: held.limiter.Limit()}
	}
	return loads, g.queue.Len()
}

func drainingError() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")
	refusal.RetryAfter = time.Second
	return refusal
}
