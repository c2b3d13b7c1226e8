package controlmember

import "time"

// slewDivisor limits how fast log time catches up with the wall clock within a
// leader's term: by a quarter of the time that passed.
const slewDivisor = 4

// logClock gives the times that a leader stamps on commands, in milliseconds
// since 1970. A new leader starts at its wall clock, or at the log's time if
// that is later. From then on the clock follows the ticks, and closes a gap to
// the wall clock only slowly, so that a wall clock that jumps in the middle of
// a term takes no lease away from its holder.
type logClock struct {
	tick    time.Duration
	time    time.Duration // since 1970
	running bool
}

// start begins a leader's term.
func (c *logClock) start(wall time.Time, logTime int64) {
	c.time = max(sinceEpoch(wall), time.Duration(logTime)*time.Millisecond)
	c.running = true
}

func (c *logClock) stop() { c.running = false }

// advance notes that one tick passed.
func (c *logClock) advance(wall time.Time) {
	if !c.running {
		return
	}
	c.time += c.tick
	if behind := sinceEpoch(wall) - c.time; behind > 0 {
		c.time += min(behind, c.tick/slewDivisor)
	}
}

func (c *logClock) now() int64 { return c.time.Milliseconds() }

func sinceEpoch(wall time.Time) time.Duration { return time.Duration(wall.UnixNano()) }
