package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// PoolAggregate is what one zone tells the others of a pool. The zone's
// aggregator for the pool, by Assigner.HomeOf, sends it.
type PoolAggregate struct {
	Zone port.ZoneName `cbor:"1,keyasint"`
	Pool port.PoolName `cbor:"2,keyasint"`
	Node port.NodeID   `cbor:"3,keyasint"`
	// Incarnation and Sequence order the aggregates of a node.
	Incarnation uint64 `cbor:"4,keyasint"`
	Sequence    uint64 `cbor:"5,keyasint"`
	// Replicas counts all, Routable those that take requests.
	Replicas int `cbor:"6,keyasint"`
	Routable int `cbor:"7,keyasint"`
	// Free is the number of requests that would start at once.
	Free     int            `cbor:"8,keyasint"`
	Queued   int            `cbor:"9,keyasint,omitempty"`
	Versions []VersionCount `cbor:"10,keyasint,omitempty"`
	// Unhealthy counts the replicas that are ejected or probed.
	Unhealthy int `cbor:"11,keyasint,omitempty"`
}

// VersionCount counts the routable replicas of a version and their free places.
type VersionCount struct {
	Version  port.WeightVersion `cbor:"1,keyasint"`
	Replicas int                `cbor:"2,keyasint"`
	Free     int                `cbor:"3,keyasint"`
}

// Aggregate sums up a zone's replicas by pool, in order of pool and version.
// The caller adds the zone, the node and the numbers of the message.
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

// add counts one replica.
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

// Aggregates holds what other zones tell. It is not safe for concurrent use.
type Aggregates struct {
	held map[port.PoolName]*poolAggregates
}

// poolAggregates holds those of one pool. Sorted has the most free places first;
// it is nil after a change.
type poolAggregates struct {
	byZone map[port.ZoneName]heldAggregate
	sorted []heldAggregate
}

type heldAggregate struct {
	aggregate PoolAggregate
	received  time.Time
}

// NewAggregates makes an empty table.
func NewAggregates() *Aggregates {
	return &Aggregates{held: make(map[port.PoolName]*poolAggregates)}
}

// Apply takes an aggregate; false means that it is not newer than the one
// held. One from another aggregator of the zone takes the place of the held
// one: an aggregator that lost its office sends no more.
func (a *Aggregates) Apply(now time.Time, aggregate PoolAggregate) bool {
	pool := a.held[aggregate.Pool]
	if pool == nil {
		pool = &poolAggregates{byZone: make(map[port.ZoneName]heldAggregate)}
		a.held[aggregate.Pool] = pool
	}
	held, found := pool.byZone[aggregate.Zone]
	if found && held.aggregate.Node == aggregate.Node &&
		!newer(aggregate.Incarnation, aggregate.Sequence, held.aggregate.Incarnation, held.aggregate.Sequence) {
		return false
	}
	pool.byZone[aggregate.Zone] = heldAggregate{aggregate: aggregate, received: now}
	pool.sorted = nil
	return true
}

// Pool lists what the zones told of a pool within maxAge, the most free places
// first.
func (a *Aggregates) Pool(now time.Time, pool port.PoolName, maxAge time.Duration) []PoolAggregate {
	held := a.held[pool]
	if held == nil {
		return nil
	}
	found := make([]PoolAggregate, 0, len(held.byZone))
	for _, entry := range held.inOrder() {
		if now.Sub(entry.received) <= maxAge {
			found = append(found, entry.aggregate)
		}
	}
	return found
}

// inOrder gives the aggregates, the most free places first.
func (p *poolAggregates) inOrder() []heldAggregate {
	if p.sorted == nil {
		p.sorted = slices.SortedFunc(maps.Values(p.byZone), func(x, y heldAggregate) int {
			return cmp.Or(cmp.Compare(y.aggregate.Free, x.aggregate.Free), cmp.Compare(x.aggregate.Zone, y.aggregate.Zone))
		})
	}
	return p.sorted
}
