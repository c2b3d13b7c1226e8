package node

import (
	"sync"
	"sync/atomic"

	"github.com/loomgrade/loomgrade/internal/core/placement"
)

// replicaCounters count what this node sent to a replica, through any home, or
// to another zone.
type replicaCounters struct {
	sent     atomic.Int64
	finished atomic.Int64
}

// Counts implements nodestate.Counter.
func (c *replicaCounters) Counts() placement.Counts {
	return placement.Counts{Sent: c.sent.Load(), Finished: c.finished.Load()}
}

// counterTable finds the counters of replicas, or of other zones.
type counterTable[K comparable] struct {
	mutex  sync.Mutex
	counts map[K]*replicaCounters
}

func newCounterTable[K comparable]() *counterTable[K] {
	return &counterTable[K]{counts: make(map[K]*replicaCounters)}
}

func (t *counterTable[K]) of(key K) *replicaCounters {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.counts[key]
	if known == nil {
		known = &replicaCounters{}
		t.counts[key] = known
	}
	return known
}

// retain forgets the counters that keep refuses.
func (t *counterTable[K]) retain(keep func(K) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.counts {
		if !keep(key) {
			delete(t.counts, key)
		}
	}
}
