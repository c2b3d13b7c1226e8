package sitecontrol

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// minColdIncrease is the smallest extension of a replica's cold period that is committed.
// It covers the jitter of report delays.
const minColdIncrease = 500 * time.Millisecond

// coldReplicas records the ends of the cold periods that this member committed as the leader.
// It is safe for concurrent use.
type coldReplicas struct {
	mutex sync.Mutex
	until map[string]time.Time
}

// record stores the committed cold period of a replica.
func (c *coldReplicas) record(id string, millis uint32, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.until == nil {
		c.until = map[string]time.Time{}
	}
	if millis > 0 {
		c.until[id] = now.Add(time.Duration(millis) * time.Millisecond)
	}
}

// changed reports whether to commit a report's cold period. A warm replica is committed only
// after its committed period: only watchers that connect later need that change.
func (c *coldReplicas) changed(committed, report sitestate.Replica, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	remaining := c.until[committed.ID].Sub(now)
	if report.ColdMillis == 0 {
		return committed.ColdMillis > 0 && remaining <= 0
	}
	return time.Duration(report.ColdMillis)*time.Millisecond > max(0, remaining)+minColdIncrease
}

// expire removes cold periods that have ended.
func (c *coldReplicas) expire(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, until := range c.until {
		if !until.After(now) {
			delete(c.until, id)
		}
	}
}
