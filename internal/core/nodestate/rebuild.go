package nodestate

import (
	"maps"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// rebuild updates gates, trackers and polls from the current state and creates a
// new snapshot.
func (s *State) rebuild(now time.Time) {
	s.changed = false
	view := s.observer.View()
	live := s.detector.Live()
	if !s.homes.matches(view.Nodes, live) {
		s.homes = NewHomeTable(s.config.Zone, view.Nodes, live)
	}
	viewChanged := s.tables == nil || !s.tables.matches(view)
	if viewChanged {
		s.tables = newTables(view)
	}
	next := s.emptySnapshot(view, live)
	owned := s.owned()
	s.setOwnedReplicas(owned.byID)
	s.applyOwnSummary(now)
	s.summaries.Retain(next.ZoneNodes)
	routes := s.mayRoute(now)
	for index := range view.Configuration.Pools {
		pool := view.Configuration.Pools[index]
		s.configureTracker(now, &pool, owned)
		s.configureGate(now, &pool, owned)
		if routes {
			next.Pools[pool.Name] = s.route(now, pool)
		}
	}
	if viewChanged {
		s.removeUnconfigured(now, poolNames(view.Configuration.Pools), next.Replicas)
	}
	s.snapshot = next
	s.output.Snapshot = next
	s.rebuiltAt = now
}

// emptySnapshot returns a snapshot of the view without pools.
func (s *State) emptySnapshot(view *port.View, live []port.NodeID) *Snapshot {
	return &Snapshot{
		View:      view,
		Pools:     make(map[port.PoolName]*PoolRoute, len(view.Configuration.Pools)),
		Replicas:  s.tables.replicas,
		Nodes:     s.tables.nodes,
		ZoneNodes: live,
		Homes:     s.homes,
	}
}

// Limits of the time between two rebuilds, so that frequent changes of a large
// configuration use a small share of a core.
const (
	rebuildCostFactor  = 30
	maxRebuildInterval = 100 * time.Millisecond
	// refreshInterval is the time between rebuilds without changes.
	refreshInterval = time.Second
)

// RebuildIfDue rebuilds the snapshot if it changed or is due for a refresh. It
// reports whether it did.
func (s *State) RebuildIfDue(now time.Time) bool {
	elapsed := now.Sub(s.rebuiltAt)
	due := elapsed >= min(rebuildCostFactor*s.rebuildCost, maxRebuildInterval)
	if !s.changed {
		due = elapsed >= refreshInterval
	}
	if due {
		s.rebuild(now)
	}
	return due
}

// SetRebuildCost sets the duration of the last rebuild, which paces the next ones.
func (s *State) SetRebuildCost(cost time.Duration) { s.rebuildCost = cost }

// gate returns the pool's gate, creating it on first use.
func (s *State) gate(pool *port.Pool) Gate {
	poolGate := s.gates[pool.Name]
	if poolGate == nil {
		poolGate = s.config.NewGate(pool)
		s.gates[pool.Name] = poolGate
	}
	return poolGate
}

// configureTracker configures the pool's ejection tracker with the pool's settings and
// the replicas that this node is the home of.
func (s *State) configureTracker(now time.Time, pool *port.Pool, owned *ownedReplicas) {
	tracker := s.trackers[pool.Name]
	settings := ejection.FromConfiguration(pool.Ejection)
	if tracker == nil {
		tracker = ejection.New(settings)
		s.trackers[pool.Name] = tracker
	}
	tracker.Configure(settings)
	own := owned.byPool[pool.Name]
	tracked := make([]port.ReplicaID, 0, len(own))
	for index := range own {
		tracked = append(tracked, own[index].ID)
	}
	tracker.SetReplicas(tracked)
	tracker.SetPool(ejection.Pool{Size: len(s.tables.byPool[pool.Name]), UnhealthyElsewhere: s.unhealthyElsewhere(now, pool, owned.byID)})
}

// unhealthyElsewhere counts the replicas of a pool that other homes eject or probe:
// those of this zone from its summaries, and for an engine pool those of other zones
// from their aggregates.
func (s *State) unhealthyElsewhere(now time.Time, pool *port.Pool, owned map[port.ReplicaID]ownedReplica) int {
	count := 0
	s.summaries.Pool(now, s.detector.Assigner(), pool.Name, func(_ port.NodeID, replica *membership.ReplicaSummary, _ time.Duration) {
		if _, own := owned[replica.Replica]; !own && (replica.Ejected || replica.Probing) {
			count++
		}
	})
	if pool.Kind == port.PoolApplication {
		return count
	}
	for _, aggregate := range s.aggregates.Pool(now, pool.Name, membership.MaxAggregateAge) {
		count += aggregate.Unhealthy
	}
	return count
}

// configureGate updates the replicas of the pool's gate: all replicas of an
// application pool, or the engines that this node is the home of.
func (s *State) configureGate(now time.Time, pool *port.Pool, owned *ownedReplicas) {
	if pool.Kind == port.PoolGeneration && s.gates[pool.Name] == nil {
		return
	}
	poolGate := s.gate(pool)
	settings := gate.Settings{
		MinInflight: pool.Admission.MinInflight,
		MaxInflight: pool.Admission.MaxInflight,
		QueueLength: pool.Admission.QueueLength,
	}
	all := s.tables.byPool[pool.Name]
	health := home.PoolHealth(now, s.summaries, s.detector.Assigner(), pool, len(all))
	if pool.Kind == port.PoolGeneration {
		all = owned.byPool[pool.Name]
	}
	gateReplicas := make([]gate.Replica, 0, len(all))
	for index := range all {
		gateReplicas = append(gateReplicas, s.gateReplica(now, &all[index], health[all[index].ID]))
	}
	poolGate.Configure(now, settings, gateReplicas)
}

func (s *State) gateReplica(now time.Time, replica *port.Replica, health home.Health) gate.Replica {
	return home.GateReplica(now, replica, s.config.Region, s.leaving.Has(replica.Address), health, s.records[replica.ID])
}

// route returns where requests of a pool can go.
func (s *State) route(now time.Time, pool port.Pool) *PoolRoute {
	enginePool := pool.EnginePool()
	route := &PoolRoute{Pool: pool, Gate: s.gates[enginePool]}
	if pool.Kind == port.PoolApplication {
		return route
	}
	s.summaries.Pool(now, s.detector.Assigner(), enginePool, func(homeNode port.NodeID, replica *membership.ReplicaSummary, age time.Duration) {
		route.Zone = append(route.Zone, s.zoneReplica(now, homeNode, s.tables.replicas[replica.Replica], replica, age))
	})
	for _, aggregate := range s.aggregates.Pool(now, enginePool, membership.MaxAggregateAge) {
		route.OtherZones = append(route.OtherZones, s.zoneCapacity(aggregate))
	}
	return route
}

func (s *State) zoneReplica(now time.Time, homeNode port.NodeID, configured port.Replica, replica *membership.ReplicaSummary, age time.Duration) ZoneReplica {
	counter := s.config.ReplicaCounter(replica.Replica)
	reported := now.Add(-age)
	counts := s.countsAtReport[replica.Replica].Update(reported, counter.Counts())
	s.countsAtReport[replica.Replica] = counts
	return ZoneReplica{
		Reported:       reported,
		Counter:        counter,
		countsAtReport: counts,
		Candidate: scheduling.Candidate{
			Replica:        replica.Replica,
			Zone:           configured.Zone,
			Region:         s.config.Region,
			Home:           homeNode,
			Version:        replica.Version,
			Staged:         replica.Staged,
			VersionUnknown: replica.VersionUnknown,
			Role:           replica.Role,
			Adapters:       replica.Adapters,
			Draining:       replica.Draining || configured.State == port.ReplicaDrain,
			Leaving:        replica.Leaving || s.leaving.Has(configured.Address),
			Ejected:        replica.Ejected,
			Probing:        replica.Probing,
			Running:        replica.Inflight,
			Waiting:        replica.Queued,
			KVUsed:         replica.KVUsed,
			KVTotal:        replica.KVTotal,
			Limit:          replica.Limit,
		},
	}
}

// zoneCapacity returns the capacity that another zone offers, with the number of
// requests that this node had sent there when the aggregate arrived.
func (s *State) zoneCapacity(aggregate membership.PoolAggregate) ZoneCapacity {
	key := ZonePool{aggregate.Zone, aggregate.Pool}
	counter := s.config.ZoneCounter(key)
	baseline, known := s.zoneBaselines[key]
	if !known || baseline.sequence != aggregate.Sequence {
		baseline = zoneBaseline{sequence: aggregate.Sequence, sent: counter.Counts().Sent}
		s.zoneBaselines[key] = baseline
	}
	return ZoneCapacity{Aggregate: aggregate, Nodes: s.tables.byZone[aggregate.Zone], Counter: counter, sentAtArrival: baseline.sent}
}

func poolNames(pools []port.Pool) map[port.PoolName]bool {
	names := make(map[port.PoolName]bool, len(pools))
	for index := range pools {
		names[pools[index].Name] = true
	}
	return names
}

// removeUnconfigured drops the state of pools and replicas that are no longer
// configured.
func (s *State) removeUnconfigured(now time.Time, pools map[port.PoolName]bool, replicas map[port.ReplicaID]port.Replica) {
	for _, name := range sortedKeys(s.gates) {
		if !pools[name] {
			s.gates[name].Configure(now, gate.Settings{}, nil)
			delete(s.gates, name)
		}
	}
	for _, name := range sortedKeys(s.trackers) {
		if !pools[name] {
			s.output.RemovedPools = append(s.output.RemovedPools, name)
			delete(s.trackers, name)
		}
	}
	maps.DeleteFunc(s.zoneBaselines, func(key ZonePool, _ zoneBaseline) bool { return !pools[key.Pool] })
	maps.DeleteFunc(s.countsAtReport, func(id port.ReplicaID, _ placement.CountsAtReport) bool {
		_, configured := replicas[id]
		return !configured
	})
}
