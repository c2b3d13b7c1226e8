package poolworker

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// rankDelay is how long a node waits for each node with a higher rendezvous rank for a
// lease.
const rankDelay = 500 * time.Millisecond

// LeaseSelector selects the free leases that a node should acquire. There is a lease for each
// sampling pool and for each engine pool that serves one, since the holder of the
// engine pool's lease sends the weight orders. It is not safe for concurrent use.
type LeaseSelector struct {
	node      port.NodeID
	freeSince map[port.PoolName]time.Time
}

// NewLeaseSelector returns the selector of a node.
func NewLeaseSelector(node port.NodeID) *LeaseSelector {
	return &LeaseSelector{node: node, freeSince: make(map[port.PoolName]time.Time)}
}

// Acquirable returns the pools, in order, whose lease this node should acquire now. running
// reports whether a worker of a pool already runs on this node.
func (s *LeaseSelector) Acquirable(now time.Time, view *port.View, running func(port.PoolName) bool) []port.PoolName {
	leased := leasedPools(view)
	for pool := range s.freeSince {
		if _, found := slices.BinarySearch(leased, pool); !found {
			delete(s.freeSince, pool)
		}
	}
	var acquirable []port.PoolName
	for _, pool := range leased {
		if !running(pool) && s.mayAcquire(now, view, pool) {
			acquirable = append(acquirable, pool)
		}
	}
	return acquirable
}

// WorkerEnded records that this node's worker of the pool ended. The next attempt waits by
// rank.
func (s *LeaseSelector) WorkerEnded(now time.Time, pool port.PoolName) { s.freeSince[pool] = now }

// leasedPools returns the pools that need a lease holder, in order.
func leasedPools(view *port.View) []port.PoolName {
	var pools []port.PoolName
	for index := range view.Configuration.Pools {
		if pool := &view.Configuration.Pools[index]; pool.Sampling != nil {
			pools = append(pools, pool.Name, pool.EnginePool())
		}
	}
	slices.Sort(pools)
	return slices.Compact(pools)
}

// mayAcquire reports whether the lease has been free for as long as the nodes with a
// higher rank may take to acquire it.
func (s *LeaseSelector) mayAcquire(now time.Time, view *port.View, pool port.PoolName) bool {
	name := port.CoordinatorLease(pool)
	for _, lease := range view.Leases {
		if lease.Name == name && lease.Holder != s.node && lease.Expires > now.UnixMilli() {
			delete(s.freeSince, pool)
			return false
		}
	}
	since, found := s.freeSince[pool]
	if !found {
		since = now
		s.freeSince[pool] = now
	}
	return now.Sub(since) >= time.Duration(s.rank(view, name))*rankDelay
}

// rank returns the number of nodes with a higher rank for a lease.
func (s *LeaseSelector) rank(view *port.View, lease string) int {
	var ids []port.NodeID
	for _, node := range view.Nodes {
		if !node.Draining {
			ids = append(ids, node.ID)
		}
	}
	if !slices.Contains(ids, s.node) {
		return len(view.Nodes)
	}
	return membership.Rank(lease, ids, s.node)
}
