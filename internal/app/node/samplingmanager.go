package node

import (
	"context"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/port"
)

// managerInterval is the interval of checks for pools without a coordinator.
const managerInterval = 200 * time.Millisecond

// samplingManager runs a worker for each pool whose coordinator lease this node may
// acquire.
type samplingManager struct {
	node *Node

	mutex    sync.Mutex
	workers  map[port.PoolName]*poolWorker
	selector *poolworker.LeaseSelector
	draining bool
	running  sync.WaitGroup
}

func newSamplingManager(node *Node) *samplingManager {
	return &samplingManager{
		node:     node,
		workers:  make(map[port.PoolName]*poolWorker),
		selector: poolworker.NewLeaseSelector(node.config.ID),
	}
}

// run checks for free leases until the node stops.
func (m *samplingManager) run() {
	ticker := time.NewTicker(managerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if m.node.confirmed() {
				m.startWorkers(time.Now())
			}
		case <-m.node.background.Done():
			return
		}
	}
}

func (m *samplingManager) startWorkers(now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.draining {
		return
	}
	running := func(pool port.PoolName) bool { return m.workers[pool] != nil }
	for _, pool := range m.selector.Acquirable(now, m.node.snapshot.Load().View, running) {
		m.start(pool)
	}
}

// start starts a worker. The caller holds the mutex.
func (m *samplingManager) start(pool port.PoolName) {
	worker := newPoolWorker(m.node, pool)
	m.workers[pool] = worker
	m.running.Go(func() {
		worker.run()
		m.mutex.Lock()
		defer m.mutex.Unlock()
		delete(m.workers, pool)
		m.selector.WorkerEnded(time.Now(), pool)
	})
}

// worker returns the running worker of a pool, or nil.
func (m *samplingManager) worker(pool port.PoolName) *poolWorker {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.workers[pool]
}

// drain prevents new workers, and waits until the running ones have released their
// leases or ctx ends.
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

// wait waits for the workers to end. The node's background context must have ended.
func (m *samplingManager) wait() {
	m.mutex.Lock()
	m.draining = true
	m.mutex.Unlock()
	m.running.Wait()
}
