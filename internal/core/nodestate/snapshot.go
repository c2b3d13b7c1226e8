package nodestate

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Snapshot is what traffic knows. It is immutable; the gates and counters that
// it points to guard themselves.
type Snapshot struct {
	View     *port.View
	Pools    map[port.PoolName]*PoolRoute
	Replicas map[port.ReplicaID]port.Replica
	Nodes    map[port.NodeID]port.NodeAddress
	// ZoneNodes are the live nodes of the own zone, in order.
	ZoneNodes []port.NodeID
	// Homes says which node is the home of a replica.
	Homes *HomeTable
}

// EmptySnapshot is that of a node that knows nothing yet.
func EmptySnapshot(own port.ZoneName) *Snapshot {
	return &Snapshot{View: &port.View{}, Homes: NewHomeTable(own, nil, nil)}
}

// PoolRoute says where a pool's requests can go.
type PoolRoute struct {
	Pool port.Pool
	// Gate is that of an application pool, or of the own home replicas of an
	// engine pool; it may be nil for the latter.
	Gate Gate
	// Zone holds the zone's replicas of an engine pool.
	Zone []ZoneReplica
	// Elsewhere is what other zones tell of an engine pool.
	Elsewhere []ZoneOffer
}

// ZoneReplica is a replica of the own zone as its home tells of it.
type ZoneReplica struct {
	Candidate scheduling.Candidate
	Reported  time.Time
	Counter   Counter
	// mark is what the counter was when the report came.
	mark placement.Mark
}

// Now gives the candidate with this node's own counts of the moment.
func (r *ZoneReplica) Now(now time.Time) scheduling.Candidate {
	return r.mark.Correct(now, r.Reported, r.Candidate, r.Counter.Counts())
}

// ZoneOffer is another zone's aggregate with the nodes that take its requests.
type ZoneOffer struct {
	Aggregate membership.PoolAggregate
	Nodes     []port.NodeAddress
	Counter   Counter
	// sentMark is the count of what was sent there when the word came.
	sentMark int64
}

// Room gives the free places for each replica there, less what waits and what
// this node has sent since.
func (o *ZoneOffer) Room() float64 {
	sent := o.Counter.Counts().Sent - o.sentMark
	free := o.Aggregate.Free - o.Aggregate.Queued - int(max(sent, 0))
	return float64(free) / float64(max(o.Aggregate.Routable, 1))
}

// TenantShare gives the share of a queue that a tenant may fill; 0 means all.
func (s *Snapshot) TenantShare(name port.TenantName) float64 {
	for _, tenant := range s.View.Configuration.Tenants {
		if tenant.Name == name {
			return tenant.QueueShare
		}
	}
	return 0
}

// HomeOf gives the node that is the home of a replica, in any zone.
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
