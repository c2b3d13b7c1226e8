package node

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// rebuild brings gates, trackers and pollers in line with what is known, and
// publishes a new snapshot.
func (c *controller) rebuild(now time.Time) {
	began := time.Now()
	c.changed = false
	view := c.observer.View()
	live := c.detector.Live()
	if !c.homeTable.holds(view.Nodes, live) {
		c.homeTable = newHomeTable(c.node.config.Zone, view.Nodes, live)
	}
	next := &snapshot{
		view:      view,
		pools:     make(map[port.PoolName]*poolRoute, len(view.Configuration.Pools)),
		replicas:  make(map[port.ReplicaID]port.Replica, len(view.Configuration.Replicas)),
		nodes:     make(map[port.NodeID]port.NodeAddress, len(view.Nodes)),
		zoneNodes: live,
		homes:     c.homeTable,
	}
	for _, node := range view.Nodes {
		next.nodes[node.ID] = node
	}
	byPool := make(map[port.PoolName][]port.Replica)
	for _, replica := range view.Configuration.Replicas {
		next.replicas[replica.ID] = replica
		byPool[replica.Pool] = append(byPool[replica.Pool], replica)
	}
	owned := c.owned(view, byPool)
	c.setHomes(owned)
	c.tellOwn(now)
	c.summaries.Retain(next.zoneNodes)
	for index := range view.Configuration.Pools {
		pool := view.Configuration.Pools[index]
		c.configureTracker(pool, byPool[pool.Name], owned)
		c.configureGate(now, pool, byPool[pool.Name], owned)
		next.pools[pool.Name] = c.route(now, view, pool, next.replicas)
	}
	c.dropUnused(next)
	c.node.counters.retain(func(id port.ReplicaID) bool { _, configured := next.replicas[id]; return configured })
	c.node.crossing.retain(func(key zonePool) bool { return next.pools[key.pool] != nil })
	c.node.snapshot.Store(next)
	c.rebuiltAt = now
	c.rebuildCost = time.Since(began)
}

// Bounds of the time between two rebuilds, so that a large configuration under
// steady news takes a small share of a core.
const (
	rebuildShare       = 30
	maxRebuildInterval = 100 * time.Millisecond
	// refreshInterval is the time between rebuilds without news.
	refreshInterval = time.Second
)

// rebuildDue says whether there is something to rebuild and whether it is time.
func (c *controller) rebuildDue(now time.Time) bool {
	passed := now.Sub(c.rebuiltAt)
	if !c.changed {
		return passed >= refreshInterval
	}
	return passed >= min(rebuildShare*c.rebuildCost, maxRebuildInterval)
}

// owned lists the replicas that this node is the home of.
func (c *controller) owned(view *port.View, byPool map[port.PoolName][]port.Replica) map[port.ReplicaID]ownedReplica {
	owned := make(map[port.ReplicaID]ownedReplica)
	for _, pool := range view.Configuration.Pools {
		for _, replica := range byPool[pool.Name] {
			if c.homeTable.caretaker(replica.Zone) != c.node.config.Zone {
				continue
			}
			if home, found := c.homeTable.home(replica); found && home == c.node.config.ID {
				owned[replica.ID] = ownedReplica{replica: replica, kind: pool.Kind, gate: c.gate(pool)}
			}
		}
	}
	return owned
}

// gate gives the pool's gate and makes it when it is first needed.
func (c *controller) gate(pool port.Pool) *gate.Gate {
	known := c.gates[pool.Name]
	if known == nil {
		profile := scheduling.Generation()
		if pool.Kind == port.PoolApplication {
			profile = scheduling.Application()
		}
		known = gate.New(profile, c.node.config.Seed)
		c.gates[pool.Name] = known
	}
	return known
}

// configureTracker tells the pool's judge which replicas it judges: those this
// node is the home of, and of an application pool also those of other zones,
// whose homes this node doesn't hear of.
func (c *controller) configureTracker(pool port.Pool, replicas []port.Replica, owned map[port.ReplicaID]ownedReplica) {
	tracker := c.trackers[pool.Name]
	settings := ejection.FromConfiguration(pool.Ejection)
	if tracker == nil {
		tracker = ejection.New(settings)
		c.trackers[pool.Name] = tracker
	}
	tracker.Configure(settings)
	var judged []port.ReplicaID
	for _, replica := range replicas {
		if _, own := owned[replica.ID]; own {
			judged = append(judged, replica.ID)
		}
	}
	tracker.SetReplicas(judged)
	tracker.SetPool(ejection.Pool{Size: len(replicas), OutElsewhere: c.outElsewhere(pool, owned)})
}

// outElsewhere counts the replicas of a pool that other homes hold out, of this
// zone and, by the word of their aggregators, of the others. Those of an
// application pool in other zones are judged here.
func (c *controller) outElsewhere(pool port.Pool, owned map[port.ReplicaID]ownedReplica) int {
	count := 0
	c.summaries.Each(time.Now(), c.detector.Assigner(), func(_ port.NodeID, replica *membership.ReplicaSummary, _ time.Duration) {
		if _, own := owned[replica.Replica]; !own && replica.Pool == pool.Name && (replica.Ejected || replica.Probing) {
			count++
		}
	})
	if pool.Kind == port.PoolApplication {
		return count
	}
	for _, aggregate := range c.aggregates.Pool(time.Now(), pool.Name, membership.MaxAggregateAge) {
		count += aggregate.Unhealthy
	}
	return count
}

// configureGate tells the pool's gate of its replicas: all of an application
// pool, and those that this node is the home of for an engine pool.
func (c *controller) configureGate(now time.Time, pool port.Pool, replicas []port.Replica, owned map[port.ReplicaID]ownedReplica) {
	if pool.Kind == port.PoolGeneration && c.gates[pool.Name] == nil {
		return
	}
	held := c.gate(pool)
	settings := gate.Settings{
		MinInflight: pool.Admission.MinInflight,
		MaxInflight: pool.Admission.MaxInflight,
		QueueLength: pool.Admission.QueueLength,
	}
	standings := home.Standings(now, c.summaries, c.detector.Assigner(), &pool, len(replicas))
	var told []gate.Replica
	for index := range replicas {
		replica := &replicas[index]
		_, own := owned[replica.ID]
		if pool.Kind == port.PoolGeneration && !own {
			continue
		}
		told = append(told, c.gateReplica(now, replica, standings[replica.ID]))
	}
	held.Configure(now, settings, told)
}

func (c *controller) gateReplica(now time.Time, replica *port.Replica, standing home.Standing) gate.Replica {
	var record *home.Record
	if held := c.homes[replica.ID]; held != nil {
		record = &held.Record
	}
	return home.ForGate(now, replica, c.node.config.Region, c.leaving.Has(replica.Address), standing, record)
}

// route gives where a pool's requests can go.
func (c *controller) route(now time.Time, view *port.View, pool port.Pool, configured map[port.ReplicaID]port.Replica) *poolRoute {
	enginePool := pool.EnginePool()
	route := &poolRoute{pool: pool, gate: c.gates[enginePool]}
	if pool.Kind == port.PoolApplication {
		return route
	}
	c.summaries.Each(now, c.detector.Assigner(), func(homeNode port.NodeID, replica *membership.ReplicaSummary, age time.Duration) {
		if replica.Pool == enginePool {
			route.zone = append(route.zone, c.zoneReplica(now, homeNode, configured[replica.Replica], replica, age))
		}
	})
	for _, aggregate := range c.aggregates.Pool(now, enginePool, membership.MaxAggregateAge) {
		route.elsewhere = append(route.elsewhere, c.zoneOffer(view, aggregate))
	}
	return route
}

func (c *controller) zoneReplica(now time.Time, homeNode port.NodeID, configured port.Replica, replica *membership.ReplicaSummary, age time.Duration) zoneReplica {
	counters := c.node.counters.of(replica.Replica)
	reported := now.Add(-age)
	mark := c.marks[replica.Replica].Follow(reported, counters.counts())
	c.marks[replica.Replica] = mark
	return zoneReplica{
		home:     homeNode,
		reported: reported,
		counters: counters,
		mark:     mark,
		candidate: scheduling.Candidate{
			Replica:        replica.Replica,
			Zone:           configured.Zone,
			Region:         c.node.config.Region,
			Home:           homeNode,
			Version:        replica.Version,
			Staged:         replica.Staged,
			VersionUnknown: replica.VersionUnknown,
			Role:           replica.Role,
			Adapters:       replica.Adapters,
			Draining:       replica.Draining || configured.State == port.ReplicaDrain,
			Leaving:        replica.Leaving || c.leaving.Has(configured.Address),
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

// zoneOffer gives what another zone offers, with this node's count of what it
// sent there when the word came.
func (c *controller) zoneOffer(view *port.View, aggregate membership.PoolAggregate) zoneOffer {
	key := zonePool{aggregate.Zone, aggregate.Pool}
	counters := c.node.crossing.of(key)
	mark, known := c.zoneMarks[key]
	if !known || mark.sequence != aggregate.Sequence {
		mark = zoneMark{sequence: aggregate.Sequence, sent: counters.sent.Load()}
		c.zoneMarks[key] = mark
	}
	return zoneOffer{aggregate: aggregate, nodes: zoneNodes(view, aggregate.Zone), counters: counters, sentMark: mark.sent}
}

func zoneNodes(view *port.View, zone port.ZoneName) []port.NodeAddress {
	var nodes []port.NodeAddress
	for _, node := range view.Nodes {
		if node.Zone == zone && !node.Draining {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// dropUnused forgets the pools and replicas that are no longer configured.
func (c *controller) dropUnused(next *snapshot) {
	for name, held := range c.gates {
		if next.pools[name] == nil {
			held.Configure(time.Now(), gate.Settings{}, nil)
			delete(c.gates, name)
		}
	}
	for name := range c.trackers {
		if next.pools[name] == nil {
			c.node.metrics.Forget(name)
			delete(c.trackers, name)
		}
	}
	for key := range c.zoneMarks {
		if next.pools[key.pool] == nil {
			delete(c.zoneMarks, key)
		}
	}
	for id := range c.marks {
		if _, configured := next.replicas[id]; !configured {
			delete(c.marks, id)
		}
	}
}
