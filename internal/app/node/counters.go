package node

import (
	"sync"
	"sync/atomic"

	"github.com/loomgrade/loomgrade/internal/core/placement"
)

// requestCounters count the requests that this node sent to a replica, through any
// home, or to another zone.
type requestCounters struct {
	sent     atomic.Int64
	finished atomic.Int64
}

// Counts implements nodestate.Counter.
func (c *requestCounters) Counts() placement.Counts {
	return placement.Counts{Sent: c.sent.Load(), Finished: c.finished.Load()}
}

// counterTable holds the counters of replicas or of other zones.
type counterTable[K comparable] struct {
	mutex  sync.Mutex
	counts map[K]*requestCounters
}

func newCounterTable[K comparable]() *counterTable[K] {
	return &counterTable[K]{counts: make(map[K]*requestCounters)}
}

func (t *counterTable[K]) of(key K) *requestCounters {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	counters := t.counts[key]
	if counters == nil {
		counters = &requestCounters{}
		t.counts[key] = counters
	}
	return counters
}

// retain drops the counters for which keep returns false.
func (t *counterTable[K]) retain(keep func(K) bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for key := range t.counts {
		if !keep(key) {
			delete(t.counts, key)
		}
	}
}
