package controlmember

import "time"

// logClock gives the times that a leader stamps on commands, in milliseconds
// since 1970. Every member runs it: from the log's time that the member has
// seen it goes on with the ticks, also while there is no leader. A new leader
// takes its wall clock if that is later. Within its term the wall clock does
// not count.
//
// A leader tells with its first command how far its clock is ahead of what the
// log's time can have come to, so that no lease ends before its time has passed:
// that covers a wall clock that is wrong, and an earlier leader whose clock
// stood still while it was down.
type logClock struct {
	tick time.Duration
	time time.Duration // since 1970
	// seen is the log's time last seen, passed the ticks since then; together
	// they are a time that the last leader's clock must have reached by now.
	seen   int64
	passed time.Duration
	// jump is the advance that no command told of yet.
	jump  time.Duration
	leads bool
}

// start begins a leader's term.
func (c *logClock) start(wall time.Time) {
	c.time = max(c.time, sinceEpoch(wall))
	c.jump = c.time - time.Duration(c.seen)*time.Millisecond - c.passed
	c.leads = true
}

func (c *logClock) stop() { c.leads, c.jump = false, 0 }

// observe takes over the log's time if it moved.
func (c *logClock) observe(logTime int64) {
	if logTime == c.seen {
		return
	}
	c.seen, c.passed = logTime, 0
	c.time = max(c.time, time.Duration(logTime)*time.Millisecond)
}

// advance notes that so many ticks passed.
func (c *logClock) advance(ticks int) {
	c.time += time.Duration(ticks) * c.tick
	c.passed += time.Duration(ticks) * c.tick
}

func (c *logClock) now() int64 { return c.time.Milliseconds() }

// jumpMillis gives the advance to tell of, in milliseconds rounded up.
func (c *logClock) jumpMillis() int64 {
	return (c.jump + time.Millisecond - 1).Milliseconds()
}

func sinceEpoch(wall time.Time) time.Duration { return time.Duration(wall.UnixNano()) }
