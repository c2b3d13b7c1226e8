package node

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// summaryBudget bounds a node's summaries to its zone, in bytes per second.
const summaryBudget = 8000

// tellOwn enters the state of the own home replicas among those of the zone.
func (c *controller) tellOwn(now time.Time) {
	c.sequence++
	c.summaries.Apply(now, c.ownSummary())
}

// ownSummary sums up the replicas that this node is the home of.
func (c *controller) ownSummary() membership.HomeSummary {
	summary := membership.HomeSummary{Node: c.node.config.ID, Incarnation: c.incarnation, Sequence: c.sequence}
	loads := make(map[port.PoolName]map[port.ReplicaID]gate.Load)
	waiting := make(map[port.PoolName]int)
	for id, held := range c.homes {
		owned := c.gates[held.pool]
		if owned != nil && loads[held.pool] == nil {
			loads[held.pool], waiting[held.pool] = owned.Loads()
		}
		replica := c.replicaSummary(id, held)
		load := loads[held.pool][id]
		replica.Inflight = load.Inflight
		replica.Limit = load.Limit
		replica.Queued = waiting[held.pool]
		summary.Replicas = append(summary.Replicas, replica)
	}
	return summary
}

func (c *controller) replicaSummary(id port.ReplicaID, held *home) membership.ReplicaSummary {
	summary := membership.ReplicaSummary{
		Replica:        id,
		Pool:           held.pool,
		Version:        held.report.Version,
		Staged:         held.report.Staged,
		VersionUnknown: held.cancel != nil && c.versionUnknown(held),
		Role:           held.report.Role,
		KVUsed:         held.report.KVUsed,
		KVTotal:        held.report.KVTotal,
		Draining:       held.replica.State == port.ReplicaDrain,
		Leaving:        c.isLeaving(held.replica.Address),
	}
	for _, adapter := range held.report.Adapters {
		summary.Adapters = append(summary.Adapters, adapter.Name)
	}
	tracker := c.trackers[held.pool]
	if tracker == nil {
		return summary
	}
	state := tracker.State(id)
	summary.Ejected = state == ejection.Ejected
	summary.Probing = state == ejection.Probing
	summary.LatencyMicros = tracker.Latency(id).Microseconds()
	trackSince(held, &summary)
	return summary
}

// trackSince keeps the time at which a replica was first told as ejected.
func trackSince(held *home, summary *membership.ReplicaSummary) {
	if !summary.Ejected {
		held.ejectedSince = 0
		return
	}
	if held.ejectedSince == 0 {
		held.ejectedSince = time.Now().UnixMilli()
	}
	summary.EjectedSince = held.ejectedSince
}

// sendSummaries tells the zone of the own home replicas when it is time: at
// least as far apart as the budget of bytes asks for.
func (c *controller) sendSummaries(now time.Time) {
	if now.Sub(c.lastSummary) < c.summaryInterval {
		return
	}
	c.tellOwn(now)
	summary := c.ownSummary()
	sent := c.toZone(methodSummary, summary)
	body, err := wire.Marshal(summary)
	if err != nil {
		return
	}
	c.lastSummary = now
	c.summaryInterval = membership.SummaryInterval(c.node.config.Intervals.Summary, sent, len(body), summaryBudget)
}

// sendAggregates tells the other zones of the pools that this node speaks for.
func (c *controller) sendAggregates(now time.Time) {
	if now.Sub(c.lastAggregate) < c.node.config.Intervals.Aggregate {
		return
	}
	c.lastAggregate = now
	view := c.observer.View()
	if len(c.homeTable.byZone) < 2 {
		return
	}
	homes := c.detector.Assigner()
	for _, aggregate := range c.summaries.Aggregate(now, homes) {
		if speaker, found := homes.HomeOf(string(aggregate.Pool)); !found || speaker != c.node.config.ID {
			continue
		}
		c.sequence++
		aggregate.Zone = c.node.config.Zone
		aggregate.Node = c.node.config.ID
		aggregate.Incarnation = c.incarnation
		aggregate.Sequence = c.sequence
		message := aggregatesMessage{Aggregates: []membership.PoolAggregate{aggregate}}
		c.tellOtherZones(view, aggregate.Pool, message)
	}
}

// tellOtherZones sends a message to the node of each other zone that speaks for
// the pool there, which relays it.
func (c *controller) tellOtherZones(view *port.View, pool port.PoolName, message aggregatesMessage) {
	for zone := range c.homeTable.byZone {
		if zone == c.node.config.Zone {
			continue
		}
		id, _ := c.homeTable.aggregator(zone, pool)
		if target, known := viewNode(view, id); known {
			c.node.peers.send(target.PeerAddress, methodAggregates, message)
		}
	}
}

// sendOutcomes tells other homes how calls to their replicas ended.
func (c *controller) sendOutcomes() {
	view := c.observer.View()
	for home, outcomes := range c.outcomes {
		if target, known := viewNode(view, home); known {
			c.node.peers.send(target.PeerAddress, methodOutcomes, outcomesMessage{Outcomes: outcomes})
		}
		delete(c.outcomes, home)
	}
}

// maxOutcomes bounds the outcomes kept for one home between two ticks.
const maxOutcomes = 256

// callEnded is the end of an application call made by this node.
type callEnded struct{ outcome callOutcome }

func (e callEnded) apply(c *controller, now time.Time) {
	if held := c.homes[e.outcome.Replica]; held != nil {
		c.observe(now, held.pool, e.outcome)
		return
	}
	home, found := c.homeOf(e.outcome.Replica)
	if found && len(c.outcomes[home]) < maxOutcomes {
		c.outcomes[home] = append(c.outcomes[home], e.outcome)
	}
}

// homeOf gives the home of a replica, in any zone, as far as the view tells.
func (c *controller) homeOf(id port.ReplicaID) (port.NodeID, bool) {
	replica, configured := c.node.snapshot.Load().replicas[id]
	if !configured {
		return "", false
	}
	return c.homeTable.home(replica)
}
