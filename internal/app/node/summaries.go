package node

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// tellOwn enters the state of the own home replicas among those of the zone.
func (c *controller) tellOwn(now time.Time) {
	c.sequence++
	c.summaries.Apply(now, c.ownSummary(now))
}

// ownSummary sums up the replicas that this node is the home of.
func (c *controller) ownSummary(now time.Time) membership.HomeSummary {
	summary := membership.HomeSummary{Node: c.node.config.ID, Incarnation: c.incarnation, Sequence: c.sequence}
	loads := make(map[port.PoolName]map[port.ReplicaID]gate.Load)
	waiting := make(map[port.PoolName]int)
	for id, held := range c.homes {
		pool := held.Replica.Pool
		owned := c.gates[pool]
		if owned != nil && loads[pool] == nil {
			loads[pool], waiting[pool] = owned.Loads()
		}
		summary.Replicas = append(summary.Replicas, c.replicaSummary(now, held, loads[pool][id], waiting[pool]))
	}
	return summary
}

func (c *controller) replicaSummary(now time.Time, held *ownReplica, load gate.Load, queued int) membership.ReplicaSummary {
	leaving := c.leaving.Has(held.Replica.Address)
	return held.Summary(now, leaving, load, queued, c.trackers[held.Replica.Pool])
}

// sendSummaries tells the zone of the own home replicas when it is time: at
// least as far apart as the budget of bytes asks for.
func (c *controller) sendSummaries(now time.Time) {
	if now.Sub(c.lastSummary) < c.summaryInterval {
		return
	}
	c.tellOwn(now)
	summary := c.ownSummary(now)
	sent := c.toZone(methodSummary, summary)
	body, err := wire.Marshal(summary)
	if err != nil {
		return
	}
	c.lastSummary = now
	c.summaryInterval = membership.SummaryInterval(c.node.config.Intervals.Summary, sent, len(body), membership.SummaryBudget)
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
	c.askForAggregates(view)
	homes := c.detector.Assigner()
	for _, aggregate := range c.summaries.Aggregate(now, homes) {
		if speaker, found := homes.HomeOf(string(aggregate.Pool)); !found || speaker != c.node.config.ID || !c.teller.Due(now, aggregate) {
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

// asksForAggregates is how often a node asks: its peers may learn of it a moment
// after the first time.
const asksForAggregates = 2

// askForAggregates lets a node that has just started hear soon what other zones
// told, of those that relay it: they tell it again only when it changes.
func (c *controller) askForAggregates(view *port.View) {
	if _, listed := viewNode(view, c.node.config.ID); !listed || c.asked == asksForAggregates {
		return
	}
	c.asked++
	c.toZone(methodAggregates, aggregatesMessage{Asker: c.node.config.ID})
}

// tellNewcomer tells a node that has just started what this one relays.
func (c *controller) tellNewcomer(asker port.NodeID) {
	target, known := viewNode(c.observer.View(), asker)
	relayed := c.aggregates.RelayedBy(c.node.config.ID, c.detector.Assigner())
	if known && len(relayed) > 0 {
		c.node.peers.send(target.PeerAddress, methodAggregates, aggregatesMessage{Aggregates: relayed, Relayed: true})
	}
}

// tellOtherZones sends a message to a node of each other zone, which relays it.
func (c *controller) tellOtherZones(view *port.View, pool port.PoolName, message aggregatesMessage) {
	for zone := range c.homeTable.byZone {
		if zone == c.node.config.Zone {
			continue
		}
		id, _ := c.homeTable.relay(zone, c.node.config.Zone, pool)
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
		c.observe(now, held.Replica.Pool, e.outcome)
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
