package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	// SummaryBytesPerSecond limits a node's summaries to its zone, in bytes per second: a
	// quarter of a node's budget for control traffic.
	SummaryBytesPerSecond = 3000
	// AggregateRefresh is the maximum time between two aggregates of a pool.
	AggregateRefresh = 10 * time.Second
	// MaxAggregateAge is the age after which another zone's aggregate is ignored; two in a
	// row may be lost.
	MaxAggregateAge = 3 * AggregateRefresh
	// MinAggregateInterval is the minimum time between two aggregates of a pool of which
	// only the free slots changed.
	MinAggregateInterval = 3 * time.Second
	// minFreeChange is the change of free slots per replica that is sent before the
	// refresh. Requests are sent to another zone at a difference of this size.
	minFreeChange = 2
)

// AggregateScheduler decides when to send a zone's aggregates to the other zones:
// immediately if replicas or versions changed, after MinAggregateInterval if the free slots
// changed by minFreeChange, and every AggregateRefresh. It is not safe for concurrent use.
type AggregateScheduler struct {
	lastSent map[port.PoolName]sentAggregate
}

type sentAggregate struct {
	at        time.Time
	aggregate PoolAggregate
}

// NewAggregateScheduler returns a scheduler that has sent nothing.
func NewAggregateScheduler() *AggregateScheduler {
	return &AggregateScheduler{lastSent: make(map[port.PoolName]sentAggregate)}
}

// Due reports whether to send an aggregate now, and if so, records it as sent.
func (t *AggregateScheduler) Due(now time.Time, aggregate PoolAggregate) bool {
	last, found := t.lastSent[aggregate.Pool]
	if found && !last.due(now, &aggregate) {
		return false
	}
	t.lastSent[aggregate.Pool] = sentAggregate{at: now, aggregate: aggregate}
	return true
}

// due reports whether to send current after the last sent aggregate.
func (t *sentAggregate) due(now time.Time, current *PoolAggregate) bool {
	before := &t.aggregate
	if before.Routable != current.Routable || before.Unhealthy != current.Unhealthy || !sameVersions(before, current) {
		return true
	}
	elapsed := now.Sub(t.at)
	change := before.freePerReplica() - current.freePerReplica()
	significant := change >= minFreeChange || change <= -minFreeChange
	return elapsed >= AggregateRefresh || significant && elapsed >= MinAggregateInterval
}

func sameVersions(before, after *PoolAggregate) bool {
	return slices.EqualFunc(before.Versions, after.Versions, func(a, b VersionCount) bool { return a.Version == b.Version })
}

// freePerReplica returns the free slots minus the queued requests, per routable replica.
func (a *PoolAggregate) freePerReplica() float64 {
	return float64(a.Free-a.Queued) / float64(max(a.Routable, 1))
}

// Relay returns the node of this zone that receives another zone's aggregates of a pool
// and relays them. The zones of a pool are distributed over the nodes.
func (a *Assigner) Relay(from port.ZoneName, pool port.PoolName) (port.NodeID, bool) {
	return a.HomeOf(string(from) + "/" + string(pool))
}

// RelayedBy returns the aggregates that a node relays, in order of pool and zone.
func (a *Aggregates) RelayedBy(node port.NodeID, homes *Assigner) []PoolAggregate {
	var relayed []PoolAggregate
	for pool, zones := range a.byPool {
		for zone, latest := range zones.byZone {
			if relay, found := homes.Relay(zone, pool); found && relay == node {
				relayed = append(relayed, latest.aggregate)
			}
		}
	}
	slices.SortFunc(relayed, func(x, y PoolAggregate) int {
		return cmp.Or(cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Zone, y.Zone))
	})
	return relayed
}
