package node

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// snapshot is what traffic goroutines know. It is immutable; the gates that it
// points to guard themselves.
type snapshot struct {
	view     *port.View
	pools    map[port.PoolName]*poolRoute
	replicas map[port.ReplicaID]port.Replica
	nodes    map[port.NodeID]port.NodeAddress
	// zoneNodes are the live nodes of the own zone, in order.
	zoneNodes []port.NodeID
	// homes says which node is the home of a replica.
	homes *homeTable
}

// poolRoute says where a pool's requests can go.
type poolRoute struct {
	pool port.Pool
	// gate is that of an application pool, or of the own home replicas of an
	// engine pool; it may be nil for the latter.
	gate *gate.Gate
	// zone holds the zone's replicas of an engine pool.
	zone []zoneReplica
	// elsewhere is what other zones tell of an engine pool.
	elsewhere []zoneOffer
}

// zoneReplica is a replica of the own zone as its home tells of it.
type zoneReplica struct {
	candidate scheduling.Candidate
	home      port.NodeID
	reported  time.Time
	counters  *replicaCounters
	// mark is what the counters were when the report came.
	mark placement.Mark
}

// zoneOffer is another zone's aggregate with the nodes that take its requests.
type zoneOffer struct {
	aggregate membership.PoolAggregate
	nodes     []port.NodeAddress
	counters  *replicaCounters
	// sentMark is the count of what was sent there when the word came.
	sentMark int64
}

// room gives the free places for each replica there, less what waits and what
// this node has sent since.
func (o *zoneOffer) room() float64 {
	sent := o.counters.sent.Load() - o.sentMark
	free := o.aggregate.Free - o.aggregate.Queued - int(max(sent, 0))
	return float64(free) / float64(max(o.aggregate.Routable, 1))
}

// tenantShare gives the share of a queue that a tenant may fill; 0 means all.
func (s *snapshot) tenantShare(name port.TenantName) float64 {
	for _, tenant := range s.view.Configuration.Tenants {
		if tenant.Name == name {
			return tenant.QueueShare
		}
	}
	return 0
}
