package controlmember

import "time"

// logClock returns the times that a leader stamps on commands, in Unix milliseconds.
// Every member advances it with its ticks from the last log time it observed. A new
// leader starts from its wall clock if that is later, and does not read the wall clock
// again in its term.
//
// The leader's first command reports the jump: how far the clock is ahead of the time
// that the last leader's clock must have reached. Leases are extended by it, so that
// neither a wrong wall clock nor an earlier leader whose clock stopped makes them expire
// early.
type logClock struct {
	tick time.Duration
	time time.Duration // since 1970
	// observed is the log time last observed, and elapsed the ticks since then. Their sum is
	// a time that the last leader's clock must have reached.
	observed int64
	elapsed  time.Duration
	// jump is the advance that no command has reported yet.
	jump    time.Duration
	leading bool
}

// start starts a leader's term.
func (c *logClock) start(wall time.Time) {
	c.time = max(c.time, sinceEpoch(wall))
	c.jump = c.time - time.Duration(c.observed)*time.Millisecond - c.elapsed
	c.leading = true
}

func (c *logClock) stop() { c.leading, c.jump = false, 0 }

// observe updates the clock from the log time.
func (c *logClock) observe(logTime int64) {
	if logTime == c.observed {
		return
	}
	c.observed, c.elapsed = logTime, 0
	c.time = max(c.time, time.Duration(logTime)*time.Millisecond)
}

// advance advances the clock by a number of ticks.
func (c *logClock) advance(ticks int) {
	c.time += time.Duration(ticks) * c.tick
	c.elapsed += time.Duration(ticks) * c.tick
}

func (c *logClock) now() int64 { return c.time.Milliseconds() }

// jumpMillis returns the unreported jump, in milliseconds rounded up.
func (c *logClock) jumpMillis() int64 {
	return (c.jump + time.Millisecond - 1).Milliseconds()
}

func sinceEpoch(wall time.Time) time.Duration { return time.Duration(wall.UnixNano()) }
