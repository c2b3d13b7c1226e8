package membership

import (
	"cmp"
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
	held map[port.PoolName]map[port.ZoneName]heldAggregate
}

type heldAggregate struct {
	aggregate PoolAggregate
	received  time.Time
}

// NewAggregates makes an empty table.
func NewAggregates() *Aggregates {
	return &Aggregates{held: make(map[port.PoolName]map[port.ZoneName]heldAggregate)}
}

// Apply takes an aggregate; false means that it is not newer than the one
// held. One from another aggregator of the zone takes the place of the held
// one: an aggregator that lost its office sends no more.
func (a *Aggregates) Apply(now time.Time, aggregate PoolAggregate) bool {
	zones := a.held[aggregate.Pool]
	if zones == nil {
		zones = make(map[port.ZoneName]heldAggregate)
		a.held[aggregate.Pool] = zones
	}
	held, found := zones[aggregate.Zone]
	if found && held.aggregate.Node == aggregate.Node &&
		!newer(aggregate.Incarnation, aggregate.Sequence, held.aggregate.Incarnation, held.aggregate.Sequence) {
		return false
	}
	zones[aggregate.Zone] = heldAggregate{aggregate: aggregate, received: now}
	return true
}

// Pool lists what the zones told of a pool within maxAge, the most free places
// first.
func (a *Aggregates) Pool(now time.Time, pool port.PoolName, maxAge time.Duration) []PoolAggregate {
	var found []PoolAggregate
	for _, held := range a.held[pool] {
		if now.Sub(held.received) <= maxAge {
			found = append(found, held.aggregate)
		}
	}
	slices.SortFunc(found, func(x, y PoolAggregate) int {
		return cmp.Or(cmp.Compare(y.Free, x.Free), cmp.Compare(x.Zone, y.Zone))
	})
	return found
}
