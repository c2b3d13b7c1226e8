package sitecontrol

import (
	"sync"
	"time"
)

// reporterCount counts the fronts that reported within reporterPeriod. It is safe for
// concurrent use.
type reporterCount struct {
	mutex    sync.Mutex
	since    time.Time
	seen     map[string]bool
	previous int
}

const reporterPeriod = 5 * time.Second

// pause records a reporter and returns how long it must wait before its next report.
func (c *reporterCount) pause(reporter string, now time.Time) time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if now.Sub(c.since) > reporterPeriod {
		c.previous, c.seen, c.since = len(c.seen), map[string]bool{}, now
	}
	c.seen[reporter] = true
	return time.Duration(max(c.previous, len(c.seen))) * time.Second / reportersPerSecond
}
