// Package boottime reads a clock that also counts the time for which the machine was
// suspended. The steady clock behind time.Now stands still then on Linux, so that a process
// that wakes up believes that no time has passed.
package boottime

import "time"

// Clock gives the time since some fixed moment before the process started. It never goes
// back, does not follow changes of the time of day, and counts suspended time.
type Clock func() time.Duration

// OrSystem gives the clock, or that of the machine if it is nil.
func (c Clock) OrSystem() Clock {
	if c == nil {
		return Now
	}
	return c
}

// start is what the steady clock is counted from where there is no other.
var start = time.Now()

// steady is the steady clock, which stands still in suspension.
func steady() time.Duration { return time.Since(start) }
