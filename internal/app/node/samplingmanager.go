package node

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Pacing of the search for pools without a coordinator.
const (
	managerInterval = 200 * time.Millisecond
	// rankDelay is how long a node waits for each node that goes before it in a
	// lease's rendezvous ranking.
	rankDelay = 500 * time.Millisecond
)

// samplingManager looks for leases that nobody holds and runs a worker under
// each one that this node acquires. There is a lease for each sampling pool, and
// for each engine pool whose engines serve one: weights are ordered under the
// lease of the pool that owns the engines.
type samplingManager struct {
	node *Node

	mutex    sync.Mutex
	workers  map[port.PoolName]*poolWorker
	free     map[port.PoolName]time.Time
	draining bool
	running  sync.WaitGroup
}

func newSamplingManager(node *Node) *samplingManager {
	return &samplingManager{
		node:    node,
		workers: make(map[port.PoolName]*poolWorker),
		free:    make(map[port.PoolName]time.Time),
	}
}

// run looks for free leases until the node stops.
func (m *samplingManager) run() {
	ticker := time.NewTicker(managerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if m.node.confirmed() {
				m.look(time.Now())
			}
		case <-m.node.background.Done():
			return
		}
	}
}

// leasedPools lists the pools that need a lease holder.
func leasedPools(view *port.View) map[port.PoolName]bool {
	wanted := make(map[port.PoolName]bool)
	for _, pool := range view.Configuration.Pools {
		if pool.Sampling != nil {
			wanted[pool.Name] = true
			wanted[pool.EnginePool()] = true
		}
	}
	return wanted
}

func (m *samplingManager) look(now time.Time) {
	current := m.node.snapshot.Load()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.draining {
		return
	}
	wanted := leasedPools(current.view)
	for pool := range m.free {
		if !wanted[pool] {
			delete(m.free, pool)
		}
	}
	for pool := range wanted {
		if m.workers[pool] == nil && m.mayAcquire(current, pool, now) {
			m.start(pool)
		}
	}
}

// mayAcquire says whether it is this node's turn to ask for a lease: it is free,
// and the nodes that go before had their chance.
func (m *samplingManager) mayAcquire(current *snapshot, pool port.PoolName, now time.Time) bool {
	name := port.CoordinatorLease(pool)
	lease, exists := viewLease(current.view, name)
	if exists && lease.Holder != m.node.config.ID && lease.Expires > now.UnixMilli() {
		delete(m.free, pool)
		return false
	}
	since, known := m.free[pool]
	if !known {
		since = now
		m.free[pool] = now
	}
	return now.Sub(since) >= time.Duration(m.rank(current, name))*rankDelay
}

// rank gives the number of nodes that go before this one for a lease.
func (m *samplingManager) rank(current *snapshot, lease string) int {
	var ids []port.NodeID
	for id, node := range current.nodes {
		if !node.Draining {
			ids = append(ids, id)
		}
	}
	for before := range len(ids) {
		first, _ := membership.NewAssigner(ids).HomeOf(lease)
		if first == m.node.config.ID {
			return before
		}
		ids = without(ids, first)
	}
	return len(current.nodes)
}

// start runs a worker; the caller holds the mutex.
func (m *samplingManager) start(pool port.PoolName) {
	worker := newPoolWorker(m.node, pool)
	m.workers[pool] = worker
	m.running.Go(func() {
		worker.run()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.workers, pool)
		// The next attempt waits its turn again.
		m.free[pool] = time.Now()
	})
}

// worker gives the running worker of a pool; nil if there is none.
func (m *samplingManager) worker(pool port.PoolName) *poolWorker {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.workers[pool]
}

// drain starts no more workers, and waits until those that run have given their
// leases back or ctx ends.
func (m *samplingManager) drain(ctx context.Context) {
	m.mutex.Lock()
	m.draining = true
	for _, worker := range m.workers {
		worker.drain()
	}
	m.mutex.Unlock()
	finished := make(chan struct{})
	go func() {
		m.running.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// wait waits for the workers after the node's background context ended.
func (m *samplingManager) wait() {
	m.mutex.Lock()
	m.draining = true
	m.mutex.Unlock()
	m.running.Wait()
}
