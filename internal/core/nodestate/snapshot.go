package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Snapshot is the routing state used by requests. It is immutable; its gates and
// counters do their own locking.
type Snapshot struct {
	View     *port.View
	Pools    map[port.PoolName]*PoolRoute
	Replicas map[port.ReplicaID]port.Replica
	Nodes    map[port.NodeID]port.NodeAddress
	// ZoneNodes are the live nodes of this node's zone, sorted.
	ZoneNodes []port.NodeID
	// Homes maps each replica to its home.
	Homes *HomeTable
}

// EmptySnapshot returns the snapshot of a node before its first view.
func EmptySnapshot(own port.ZoneName) *Snapshot {
	return &Snapshot{View: &port.View{}, Homes: NewHomeTable(own, nil, nil)}
}

// PoolRoute lists where requests of a pool can go.
type PoolRoute struct {
	Pool port.Pool
	// Gate is the pool's gate. It is nil for an engine pool without replicas that
	// this node is the home of.
	Gate Gate
	// Zone holds the engine pool's replicas in this node's zone.
	Zone []ZoneReplica
	// OtherZones holds the aggregates of the engine pool in other zones.
	OtherZones []ZoneCapacity
}

// ZoneReplica is a replica of this node's zone as reported by its home.
type ZoneReplica struct {
	Candidate scheduling.Candidate
	Reported  time.Time
	Counter   Counter
	// countsAtReport holds the counter's values at the time of the report.
	countsAtReport placement.CountsAtReport
}

// CurrentCandidate returns the candidate corrected by the requests counted since the report.
func (r *ZoneReplica) CurrentCandidate(now time.Time) scheduling.Candidate {
	return r.countsAtReport.Apply(now, r.Reported, r.Candidate, r.Counter.Counts())
}

// ZoneCapacity is the aggregate of another zone with the nodes that accept its requests.
type ZoneCapacity struct {
	Aggregate membership.PoolAggregate
	Nodes     []port.NodeAddress
	Counter   Counter
	// sentAtArrival is the number of requests sent there when the aggregate arrived.
	sentAtArrival int64
}

// FreePerReplica returns the free slots per replica of the zone, less the queued requests and
// those that this node has sent since the aggregate.
func (o *ZoneCapacity) FreePerReplica() float64 {
	sent := o.Counter.Counts().Sent - o.sentAtArrival
	free := o.Aggregate.Free - o.Aggregate.Queued - int(max(sent, 0))
	return float64(free) / float64(max(o.Aggregate.Routable, 1))
}

// TenantShare returns the share of a queue that a tenant may fill; 0 means no limit.
func (s *Snapshot) TenantShare(name port.TenantName) float64 {
	for _, tenant := range s.View.Configuration.Tenants {
		if tenant.Name == name {
			return tenant.QueueShare
		}
	}
	return 0
}

// HomeOf returns the node that is the home of a replica, in any zone.
func (s *Snapshot) HomeOf(id port.ReplicaID) (port.NodeAddress, bool) {
	replica, configured := s.Replicas[id]
	if !configured {
		return port.NodeAddress{}, false
	}
	home, found := s.Homes.Home(replica)
	if !found {
		return port.NodeAddress{}, false
	}
	address, known := s.Nodes[home]
	return address, known
}
