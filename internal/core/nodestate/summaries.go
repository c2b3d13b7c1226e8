package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// applyOwnSummary adds the summary of this node's replicas to those of the zone.
func (s *State) applyOwnSummary(now time.Time) {
	s.sequence++
	s.summaries.Apply(now, s.ownSummary(now))
}

// ownSummary summarizes the replicas that this node is the home of.
func (s *State) ownSummary(now time.Time) membership.HomeSummary {
	summary := membership.HomeSummary{Node: s.config.Self, Incarnation: s.config.Incarnation, Sequence: s.sequence}
	loads := make(map[port.PoolName]map[port.ReplicaID]gate.Load)
	waiting := make(map[port.PoolName]int)
	for _, id := range sortedKeys(s.records) {
		record := s.records[id]
		pool := record.Replica.Pool
		poolGate := s.gates[pool]
		if poolGate != nil && loads[pool] == nil {
			loads[pool], waiting[pool] = poolGate.Loads()
		}
		summary.Replicas = append(summary.Replicas, s.replicaSummary(now, record, loads[pool][id], waiting[pool]))
	}
	return summary
}

func (s *State) replicaSummary(now time.Time, record *home.Record, load gate.Load, queued int) membership.ReplicaSummary {
	leaving := s.leaving.Has(record.Replica.Address)
	return record.Summary(now, leaving, load, queued, s.trackers[record.Replica.Pool])
}

// sendSummaries sends this node's summary to the zone when it is due. The interval
// grows with the size of the message and of the zone, to stay within the byte budget.
func (s *State) sendSummaries(now time.Time) {
	if now.Sub(s.lastSummary) < s.summaryInterval {
		return
	}
	s.applyOwnSummary(now)
	summary := s.ownSummary(now)
	sent := s.sendToZone(summary)
	s.lastSummary = now
	s.summaryInterval = membership.SummaryInterval(s.config.Summary, sent, s.config.MessageBytes(summary), membership.SummaryBytesPerSecond)
}

// sendAggregates sends the other zones the aggregates that this node is responsible
// for.
func (s *State) sendAggregates(now time.Time) {
	if now.Sub(s.lastAggregate) < s.config.Aggregate {
		return
	}
	s.lastAggregate = now
	if len(s.homes.byZone) < 2 {
		return
	}
	s.requestAggregates()
	homes := s.detector.Assigner()
	for _, aggregate := range s.summaries.Aggregate(now, homes) {
		if sender, found := homes.HomeOf(string(aggregate.Pool)); !found || sender != s.config.Self || !s.aggregatePacer.Due(now, aggregate) {
			continue
		}
		s.sequence++
		aggregate.Zone = s.config.Zone
		aggregate.Node = s.config.Self
		aggregate.Incarnation = s.config.Incarnation
		aggregate.Sequence = s.sequence
		message := AggregatesMessage{Aggregates: []membership.PoolAggregate{aggregate}}
		s.sendToOtherZones(aggregate.Pool, message)
	}
}

// maxAggregateRequests is the number of requests for aggregates after a start: the
// peers may not know the node yet when the first one arrives.
const maxAggregateRequests = 2

// requestAggregates requests the aggregates that the peers relay, which they
// otherwise send only when they change.
func (s *State) requestAggregates() {
	if _, listed := s.node(s.config.Self); !listed || s.aggregateRequests == maxAggregateRequests {
		return
	}
	s.aggregateRequests++
	s.sendToZone(AggregatesMessage{Requester: s.config.Self})
}

// sendRelayedAggregates sends a node that has just started the aggregates that this
// one relays.
func (s *State) sendRelayedAggregates(requester port.NodeID) {
	if relayed := s.aggregates.RelayedBy(s.config.Self, s.detector.Assigner()); len(relayed) > 0 {
		s.sendTo(requester, AggregatesMessage{Aggregates: relayed, Relayed: true})
	}
}

// sendToOtherZones sends a message to the relay of each other zone.
func (s *State) sendToOtherZones(pool port.PoolName, message AggregatesMessage) {
	for _, zone := range sortedKeys(s.homes.byZone) {
		if zone == s.config.Zone {
			continue
		}
		if id, found := s.homes.Relay(zone, s.config.Zone, pool); found {
			s.sendTo(id, message)
		}
	}
}
