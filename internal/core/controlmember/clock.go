package controlmember

import "time"

// slewDivisor limits how fast log time catches up with the wall clock within a
// leader's term: by a quarter of the time that passed.
const slewDivisor = 4

// logClock gives the times that a leader stamps on commands, in milliseconds
// since 1970. Every member runs it: from the log's time that the member has
// seen it goes on with the ticks, also while there is no leader. A new leader
// takes its wall clock if that is later. Within the leader's term the clock
// closes a gap to the wall clock only slowly, so that a wall clock that jumps
// takes no lease away from its holder.
type logClock struct {
	tick  time.Duration
	time  time.Duration // since 1970
	leads bool
}

// start begins a leader's term.
func (c *logClock) start(wall time.Time) {
	c.time = max(sinceEpoch(wall), c.time)
	c.leads = true
}

func (c *logClock) stop() { c.leads = false }

// observe takes over the log's time if it is later.
func (c *logClock) observe(logTime int64) {
	c.time = max(c.time, time.Duration(logTime)*time.Millisecond)
}

// advance notes that one tick passed.
func (c *logClock) advance(wall time.Time) {
	c.time += c.tick
	if behind := sinceEpoch(wall) - c.time; c.leads && behind > 0 {
		c.time += min(behind, c.tick/slewDivisor)
	}
}

func (c *logClock) now() int64 { return c.time.Milliseconds() }

func sinceEpoch(wall time.Time) time.Duration { return time.Duration(wall.UnixNano()) }
