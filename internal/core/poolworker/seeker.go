package poolworker

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// rankDelay is how long a node waits for each node that goes before it in a
// lease's rendezvous ranking.
const rankDelay = 500 * time.Millisecond

// Seeker finds the leases that are free and that it is a node's turn to ask for.
// There is a lease for each sampling pool, and for each engine pool whose engines
// serve one: weights are ordered under the lease of the pool that owns the
// engines. It is not safe for concurrent use.
type Seeker struct {
	node port.NodeID
	free map[port.PoolName]time.Time
}

// NewSeeker makes the seeker of a node.
func NewSeeker(node port.NodeID) *Seeker {
	return &Seeker{node: node, free: make(map[port.PoolName]time.Time)}
}

// Wanted lists the pools, in order, whose lease this node should ask for now.
// Running says for which pools a worker runs here already.
func (s *Seeker) Wanted(now time.Time, view *port.View, running func(port.PoolName) bool) []port.PoolName {
	leased := leasedPools(view)
	for pool := range s.free {
		if _, found := slices.BinarySearch(leased, pool); !found {
			delete(s.free, pool)
		}
	}
	var wanted []port.PoolName
	for _, pool := range leased {
		if !running(pool) && s.mayAcquire(now, view, pool) {
			wanted = append(wanted, pool)
		}
	}
	return wanted
}

// Ended notes that a worker of the pool ended here: the next attempt waits its
// turn again.
func (s *Seeker) Ended(now time.Time, pool port.PoolName) { s.free[pool] = now }

// leasedPools lists the pools that need a lease holder, in order.
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

// mayAcquire says whether it is this node's turn to ask for a lease: it is free,
// and the nodes that go before had their chance.
func (s *Seeker) mayAcquire(now time.Time, view *port.View, pool port.PoolName) bool {
	name := port.CoordinatorLease(pool)
	for _, lease := range view.Leases {
		if lease.Name == name && lease.Holder != s.node && lease.Expires > now.UnixMilli() {
			delete(s.free, pool)
			return false
		}
	}
	since, known := s.free[pool]
	if !known {
		since = now
		s.free[pool] = now
	}
	return now.Sub(since) >= time.Duration(s.rank(view, name))*rankDelay
}

// rank gives the number of nodes that go before this one for a lease.
func (s *Seeker) rank(view *port.View, lease string) int {
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
