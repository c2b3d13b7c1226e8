package sitecontrol

import (
	"sync"
	"time"
)

// reporterCount counts the fronts that reported within reporterPeriod. It is safe for
// concurrent use.
type reporterCount struct {
	mutex  sync.Mutex
	since  time.Time
	seen   map[string]bool
	before int
}

const reporterPeriod = 5 * time.Second

// pause notes a reporter and gives the time that it is to leave between two reports.
func (c *reporterCount) pause(reporter string, now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.since) > reporterPeriod {
		c.before, c.seen, c.since = len(c.seen), map[string]bool{}, now
	}
	c.seen[reporter] = true
	return time.Duration(max(c.before, len(c.seen))) * time.Second / reportersPerSecond
}
