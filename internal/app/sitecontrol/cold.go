package sitecontrol

import (
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// coldNews is by how much longer a replica has to say that it stays cold than is known to be
// worth an entry: its reports come at different delays.
const coldNews = 500 * time.Millisecond

// coldReplicas is until when replicas are cold by what this member has committed as the
// leader. It is safe for concurrent use.
type coldReplicas struct {
	mutex sync.Mutex
	until map[string]time.Time
}

// note takes in what was committed of a replica.
func (c *coldReplicas) note(id string, millis uint32, now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.until == nil {
		c.until = map[string]time.Time{}
	}
	if millis > 0 {
		c.until[id] = now.Add(time.Duration(millis) * time.Millisecond)
	}
}

// news reports whether a report tells something new of whether its replica is cold. That it
// is warm is told to those that begin to watch once all that know it as cold are past that.
func (c *coldReplicas) news(held, report sitestate.Replica, now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	left := c.until[held.ID].Sub(now)
	if report.ColdMillis == 0 {
		return held.ColdMillis > 0 && left <= 0
	}
	return time.Duration(report.ColdMillis)*time.Millisecond > max(0, left)+coldNews
}

// forget drops what is past.
func (c *coldReplicas) forget(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for id, until := range c.until {
		if !until.After(now) {
			delete(c.until, id)
		}
	}
}
