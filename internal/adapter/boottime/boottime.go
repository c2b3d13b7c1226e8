// Package boottime reads a clock that includes the time for which the machine was
// suspended. On Linux the monotonic clock behind time.Now stops during suspension, so a
// resumed process would believe that no time has passed.
package boottime

import "time"

// Clock returns the time since a fixed moment before the process started. It is
// monotonic, independent of the wall clock, and includes suspended time.
type Clock func() time.Duration

// OrSystem returns the clock, or the system's if it is nil.
func (c Clock) OrSystem() Clock {
	if c == nil {
		return Now
	}
	return c
}

// start is the origin of the monotonic clock.
var start = time.Now()

// monotonic returns the monotonic clock's time, which excludes suspension.
func monotonic() time.Duration { return time.Since(start) }
