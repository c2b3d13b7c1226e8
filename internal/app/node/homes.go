package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/port"
)

// ownReplica is a replica that this node is the home of.
type ownReplica struct {
	home.Record
	// cancel ends the poller of an engine.
	cancel context.CancelFunc
}

// loadReported is the outcome of one question to an engine.
type loadReported struct {
	replica port.ReplicaID
	askedAt time.Time
	report  port.LoadReport
	err     *port.Error
}

func (e loadReported) apply(c *controller, now time.Time) {
	held := c.homes[e.replica]
	if held == nil {
		return
	}
	c.changed = true
	if e.err != nil {
		if held.Unanswered() {
			c.observe(now, held.Replica.Pool, callOutcome{Replica: e.replica, Failed: true})
		}
		return
	}
	_, restarted := held.Reported(now, e.askedAt, e.report)
	if owned := c.gates[held.Replica.Pool]; restarted && owned != nil {
		owned.ResetCache(e.replica)
	}
}

// setHomes starts and stops the pollers so that they match the replicas that
// this node is the home of.
func (c *controller) setHomes(owned map[port.ReplicaID]ownedReplica) {
	for id, held := range c.homes {
		wanted, keep := owned[id]
		if keep && wanted.replica.Address == held.Replica.Address {
			held.Replica = wanted.replica
			continue
		}
		if held.cancel != nil {
			held.cancel()
		}
		delete(c.homes, id)
	}
	for id, wanted := range owned {
		if c.homes[id] != nil {
			continue
		}
		held := &ownReplica{Record: home.Record{Replica: wanted.replica, Polled: wanted.kind == port.PoolGeneration}}
		c.homes[id] = held
		if held.Polled {
			var ctx context.Context
			ctx, held.cancel = context.WithCancel(c.node.background)
			c.node.work.Go(func() { c.node.pollEngine(ctx, wanted.replica, wanted.gate) })
		}
	}
}

// ownedReplica is a replica that this node is the home of, with its gate.
type ownedReplica struct {
	replica port.Replica
	kind    port.PoolKind
	gate    *gate.Gate
}

func (c *controller) stopHomes() {
	for _, held := range c.homes {
		if held.cancel != nil {
			held.cancel()
		}
	}
}

// pollEngine asks an engine for its load and cache events until ctx ends.
func (n *Node) pollEngine(ctx context.Context, replica port.Replica, owned *gate.Gate) {
	engine := n.backEnds.engine(replica.Address)
	ticker := time.NewTicker(n.config.Intervals.Load)
	defer ticker.Stop()
	for {
		n.pollOnce(ctx, engine, replica.ID, owned)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) pollOnce(ctx context.Context, engine port.Engine, replica port.ReplicaID, owned *gate.Gate) {
	asking, cancel := context.WithTimeout(ctx, n.config.Intervals.CallTimeout)
	defer cancel()
	askedAt := time.Now()
	report, err := engine.Load(asking)
	if ctx.Err() != nil {
		return
	}
	n.post(loadReported{replica: replica, askedAt: askedAt, report: report, err: port.AsError(err)})
	if err != nil {
		return
	}
	events, gap, err := engine.CacheEvents(asking, owned.NextCacheEvent(replica))
	if err == nil {
		owned.CacheEvents(replica, events, gap)
	}
}

// outcomesTaken brings the outcomes of calls to replicas.
type outcomesTaken struct{ outcomes []callOutcome }

func (e outcomesTaken) apply(c *controller, now time.Time) {
	for _, outcome := range e.outcomes {
		if held := c.homes[outcome.Replica]; held != nil {
			c.observe(now, held.Replica.Pool, outcome)
		}
	}
}

// observe judges a replica by the outcome of one call.
func (c *controller) observe(now time.Time, pool port.PoolName, outcome callOutcome) {
	tracker := c.trackers[pool]
	if tracker == nil {
		return
	}
	latency := time.Duration(outcome.LatencyMicros) * time.Microsecond
	if change, happened := tracker.Observe(now, outcome.Replica, outcome.Failed, latency); happened {
		c.healthChanged(pool, change)
	}
}

func (c *controller) tickTrackers(now time.Time) {
	for pool, tracker := range c.trackers {
		for _, change := range tracker.Tick(now) {
			c.healthChanged(pool, change)
		}
	}
}

// healthChanged records a change of health and lets it be told at once.
func (c *controller) healthChanged(pool port.PoolName, change ejection.Change) {
	c.changed = true
	c.lastSummary = time.Time{}
	kind := port.DecisionReturned
	if change.State == ejection.Ejected {
		kind = port.DecisionEjected
	}
	if change.State == ejection.Probing {
		return
	}
	c.node.recorder.record(port.Decision{
		Kind: kind, Subject: replicaSubject(change.Replica), Pool: pool, Replica: change.Replica,
		Revision: c.observer.View().Revision, Detail: string(change.Cause),
	})
}
