package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// tellOwn enters the state of the own home replicas among those of the zone.
func (s *State) tellOwn(now time.Time) {
	s.sequence++
	s.summaries.Apply(now, s.ownSummary(now))
}

// ownSummary sums up the replicas that this node is the home of.
func (s *State) ownSummary(now time.Time) membership.HomeSummary {
	summary := membership.HomeSummary{Node: s.config.Self, Incarnation: s.config.Incarnation, Sequence: s.sequence}
	loads := make(map[port.PoolName]map[port.ReplicaID]gate.Load)
	waiting := make(map[port.PoolName]int)
	for _, id := range sortedKeys(s.records) {
		held := s.records[id]
		pool := held.Replica.Pool
		owned := s.gates[pool]
		if owned != nil && loads[pool] == nil {
			loads[pool], waiting[pool] = owned.Loads()
		}
		summary.Replicas = append(summary.Replicas, s.replicaSummary(now, held, loads[pool][id], waiting[pool]))
	}
	return summary
}

func (s *State) replicaSummary(now time.Time, held *home.Record, load gate.Load, queued int) membership.ReplicaSummary {
	leaving := s.leaving.Has(held.Replica.Address)
	return held.Summary(now, leaving, load, queued, s.trackers[held.Replica.Pool])
}

// sendSummaries tells the zone of the own home replicas when it is time: at
// least as far apart as the budget of bytes asks for.
func (s *State) sendSummaries(now time.Time) {
	if now.Sub(s.lastSummary) < s.summaryInterval {
		return
	}
	s.tellOwn(now)
	summary := s.ownSummary(now)
	sent := s.tellZone(summary)
	s.lastSummary = now
	s.summaryInterval = membership.SummaryInterval(s.config.Summary, sent, s.config.MessageBytes(summary), membership.SummaryBudget)
}

// sendAggregates tells the other zones of the pools that this node speaks for.
func (s *State) sendAggregates(now time.Time) {
	if now.Sub(s.lastAggregate) < s.config.Aggregate {
		return
	}
	s.lastAggregate = now
	if len(s.homes.byZone) < 2 {
		return
	}
	s.askForAggregates()
	homes := s.detector.Assigner()
	for _, aggregate := range s.summaries.Aggregate(now, homes) {
		if speaker, found := homes.HomeOf(string(aggregate.Pool)); !found || speaker != s.config.Self || !s.teller.Due(now, aggregate) {
			continue
		}
		s.sequence++
		aggregate.Zone = s.config.Zone
		aggregate.Node = s.config.Self
		aggregate.Incarnation = s.config.Incarnation
		aggregate.Sequence = s.sequence
		message := AggregatesMessage{Aggregates: []membership.PoolAggregate{aggregate}}
		s.tellOtherZones(aggregate.Pool, message)
	}
}

// asksForAggregates is how often a node asks: its peers may learn of it a moment
// after the first time.
const asksForAggregates = 2

// askForAggregates lets a node that has just started hear soon what other zones
// told, of those that relay it: they tell it again only when it changes.
func (s *State) askForAggregates() {
	if _, listed := s.node(s.config.Self); !listed || s.asked == asksForAggregates {
		return
	}
	s.asked++
	s.tellZone(AggregatesMessage{Asker: s.config.Self})
}

// tellNewcomer tells a node that has just started what this one relays.
func (s *State) tellNewcomer(asker port.NodeID) {
	if relayed := s.aggregates.RelayedBy(s.config.Self, s.detector.Assigner()); len(relayed) > 0 {
		s.tell(asker, AggregatesMessage{Aggregates: relayed, Relayed: true})
	}
}

// tellOtherZones sends a message to a node of each other zone, which relays it.
func (s *State) tellOtherZones(pool port.PoolName, message AggregatesMessage) {
	for _, zone := range sortedKeys(s.homes.byZone) {
		if zone == s.config.Zone {
			continue
		}
		if id, found := s.homes.Relay(zone, s.config.Zone, pool); found {
			s.tell(id, message)
		}
	}
}
