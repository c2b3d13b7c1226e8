package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// SummaryBudget bounds the bodies of a node's summaries to its zone, in bytes
	// per second: a quarter of what a node may spend on control.
	SummaryBudget = 3000
	// AggregateRefresh is the longest time between two aggregates of a pool.
	AggregateRefresh = 10 * time.Second
	// MaxAggregateAge is the age after which another zone's word no longer
	// counts: two may be lost.
	MaxAggregateAge = 3 * AggregateRefresh
	// AggregateLeast is the least time between two aggregates of a pool of which
	// only the room changed.
	AggregateLeast = 3 * time.Second
	// aggregateMargin is the change of room for each replica that is told before
	// the refresh. A request crosses zones for two places more for each replica, so
	// that a smaller change seldom moves one.
	aggregateMargin = 2
)

// AggregateTeller decides when a zone's aggregates go to the other zones: at once
// when replicas or versions came or went, after AggregateLeast when the room
// changed so that it moves requests, and every AggregateRefresh. It is not safe
// for concurrent use.
type AggregateTeller struct {
	told map[port.PoolName]toldAggregate
}

type toldAggregate struct {
	at        time.Time
	aggregate PoolAggregate
}

// NewAggregateTeller makes a teller that has told nothing.
func NewAggregateTeller() *AggregateTeller {
	return &AggregateTeller{told: make(map[port.PoolName]toldAggregate)}
}

// Due says whether to tell of an aggregate now, and takes it as told if so.
func (t *AggregateTeller) Due(now time.Time, aggregate PoolAggregate) bool {
	last, known := t.told[aggregate.Pool]
	if known && !last.due(now, &aggregate) {
		return false
	}
	t.told[aggregate.Pool] = toldAggregate{at: now, aggregate: aggregate}
	return true
}

// due says whether what is told last should be told anew.
func (t *toldAggregate) due(now time.Time, present *PoolAggregate) bool {
	before := &t.aggregate
	if before.Routable != present.Routable || before.Unhealthy != present.Unhealthy || !sameVersions(before, present) {
		return true
	}
	passed := now.Sub(t.at)
	change := before.room() - present.room()
	moved := change >= aggregateMargin || change <= -aggregateMargin
	return passed >= AggregateRefresh || moved && passed >= AggregateLeast
}

func sameVersions(before, after *PoolAggregate) bool {
	return slices.EqualFunc(before.Versions, after.Versions, func(a, b VersionCount) bool { return a.Version == b.Version })
}

// room gives the free places for each replica, less what waits.
func (a *PoolAggregate) room() float64 {
	return float64(a.Free-a.Queued) / float64(max(a.Routable, 1))
}

// Relay gives the node of a zone that takes what another zone tells of a pool,
// and relays it. The zones of a pool fall to different nodes, so that none
// relays them all.
func (a *Assigner) Relay(from port.ZoneName, pool port.PoolName) (port.NodeID, bool) {
	return a.HomeOf(string(from) + "/" + string(pool))
}

// RelayedBy lists what the zones told of the pools that a node relays, in order of
// pool and zone.
func (a *Aggregates) RelayedBy(node port.NodeID, homes *Assigner) []PoolAggregate {
	var relayed []PoolAggregate
	for pool, zones := range a.held {
		for zone, held := range zones.byZone {
			if relay, found := homes.Relay(zone, pool); found && relay == node {
				relayed = append(relayed, held.aggregate)
			}
		}
	}
	slices.SortFunc(relayed, func(x, y PoolAggregate) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Zone, y.Zone))
	})
	return relayed
}
