package node

import (
	"sync"
	"sync/atomic"

	"github.com/loomgrade/loomgrade/internal/port"
)

// replicaCounters count what this node sent to a replica, through any home.
type replicaCounters struct {
	sent     atomic.Int64
	finished atomic.Int64
}

// counterTable finds the counters of replicas.
type counterTable struct {
	mutex  sync.Mutex
	counts map[port.ReplicaID]*replicaCounters
}

func newCounterTable() *counterTable {
	return &counterTable{counts: make(map[port.ReplicaID]*replicaCounters)}
}

func (t *counterTable) of(replica port.ReplicaID) *replicaCounters {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.counts[replica]
	if known == nil {
		known = &replicaCounters{}
		t.counts[replica] = known
	}
	return known
}

// retain forgets the counters of replicas that are no longer configured.
func (t *counterTable) retain(keep map[port.ReplicaID]port.Replica) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for id := range t.counts {
		if _, configured := keep[id]; !configured {
			delete(t.counts, id)
		}
	}
}
