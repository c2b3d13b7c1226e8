package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// PoolAggregate summarizes a pool in one zone for the other zones. The zone's aggregator
// for the pool, which Assigner.HomeOf selects, sends it.
type PoolAggregate struct {
	Zone port.ZoneName `cbor:"1,keyasint"`
	Pool port.PoolName `cbor:"2,keyasint"`
	Node port.NodeID   `cbor:"3,keyasint"`
	// Incarnation and Sequence order the aggregates of a node.
	Incarnation uint64 `cbor:"4,keyasint"`
	Sequence    uint64 `cbor:"5,keyasint"`
	// Replicas counts all replicas, Routable those that accept requests.
	Replicas int `cbor:"6,keyasint"`
	Routable int `cbor:"7,keyasint"`
	// Free is the number of requests that could start immediately.
	Free     int            `cbor:"8,keyasint"`
	Queued   int            `cbor:"9,keyasint,omitempty"`
	Versions []VersionCount `cbor:"10,keyasint,omitempty"`
	// Unhealthy counts the ejected and probed replicas.
	Unhealthy int `cbor:"11,keyasint,omitempty"`
}

// VersionCount counts the routable replicas of a version and their free request slots.
type VersionCount struct {
	Version  port.WeightVersion `cbor:"1,keyasint"`
	Replicas int                `cbor:"2,keyasint"`
	Free     int                `cbor:"3,keyasint"`
}

// Aggregate aggregates a zone's replicas by pool, sorted by pool and version. The caller
// sets Zone, Node, Incarnation and Sequence.
func (s *Summaries) Aggregate(now time.Time, homes *Assigner) []PoolAggregate {
	byPool := make(map[port.PoolName]*PoolAggregate)
	s.Each(now, homes, func(_ port.NodeID, replica *ReplicaSummary, _ time.Duration) {
		aggregate := byPool[replica.Pool]
		if aggregate == nil {
			aggregate = &PoolAggregate{Pool: replica.Pool}
			byPool[replica.Pool] = aggregate
		}
		aggregate.add(replica)
	})
	aggregates := make([]PoolAggregate, 0, len(byPool))
	for _, aggregate := range byPool {
		aggregates = append(aggregates, *aggregate)
	}
	slices.SortFunc(aggregates, func(a, b PoolAggregate) int { return cmp.Compare(a.Pool, b.Pool) })
	return aggregates
}

// add adds one replica.
func (a *PoolAggregate) add(replica *ReplicaSummary) {
	a.Replicas++
	a.Queued += replica.Queued
	if replica.Ejected || replica.Probing {
		a.Unhealthy++
	}
	if !replica.Routable() {
		return
	}
	free := max(replica.Limit-replica.Inflight, 0)
	a.Routable++
	a.Free += free
	position, found := slices.BinarySearchFunc(a.Versions, replica.Version,
		func(count VersionCount, version port.WeightVersion) int { return cmp.Compare(count.Version, version) })
	if !found {
		a.Versions = slices.Insert(a.Versions, position, VersionCount{Version: replica.Version})
	}
	a.Versions[position].Replicas++
	a.Versions[position].Free += free
}

// Aggregates holds the aggregates of other zones. It is not safe for concurrent use.
type Aggregates struct {
	byPool map[port.PoolName]*poolAggregates
}

// poolAggregates holds the aggregates of one pool. Field sorted is in descending order of
// free slots; it is nil after a change.
type poolAggregates struct {
	byZone map[port.ZoneName]receivedAggregate
	sorted []receivedAggregate
}

type receivedAggregate struct {
	aggregate PoolAggregate
	received  time.Time
}

// NewAggregates returns an empty table.
func NewAggregates() *Aggregates {
	return &Aggregates{byPool: make(map[port.PoolName]*poolAggregates)}
}

// Apply stores an aggregate and reports whether it did. It drops one that is not newer than
// the current one of the same node. One from another node always replaces the current one,
// as the zone's previous aggregator sends no more.
func (a *Aggregates) Apply(now time.Time, aggregate PoolAggregate) bool {
	pool := a.byPool[aggregate.Pool]
	if pool == nil {
		pool = &poolAggregates{byZone: make(map[port.ZoneName]receivedAggregate)}
		a.byPool[aggregate.Pool] = pool
	}
	current, found := pool.byZone[aggregate.Zone]
	if found && current.aggregate.Node == aggregate.Node &&
		!newer(aggregate.Incarnation, aggregate.Sequence, current.aggregate.Incarnation, current.aggregate.Sequence) {
		return false
	}
	pool.byZone[aggregate.Zone] = receivedAggregate{aggregate: aggregate, received: now}
	pool.sorted = nil
	return true
}

// Pool returns the aggregates of a pool received within maxAge, in descending order of
// free slots.
func (a *Aggregates) Pool(now time.Time, pool port.PoolName, maxAge time.Duration) []PoolAggregate {
	aggregates := a.byPool[pool]
	if aggregates == nil {
		return nil
	}
	found := make([]PoolAggregate, 0, len(aggregates.byZone))
	for _, entry := range aggregates.sortedByFree() {
		if now.Sub(entry.received) <= maxAge {
			found = append(found, entry.aggregate)
		}
	}
	return found
}

// sortedByFree returns the aggregates in descending order of free slots.
func (p *poolAggregates) sortedByFree() []receivedAggregate {
	if p.sorted == nil {
		p.sorted = slices.SortedFunc(maps.Values(p.byZone), func(x, y receivedAggregate) int {
			return cmp.Or(cmp.Compare(y.aggregate.Free, x.aggregate.Free), cmp.Compare(x.aggregate.Zone, y.aggregate.Zone))
		})
	}
	return p.sorted
}
