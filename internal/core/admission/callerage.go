package admission

import "time"

// patienceSpan is the span after which a longer patience of callers is forgotten, so that a
// changed deadline of theirs takes effect.
const patienceSpan = 30 * time.Second

// CallerAge estimates how long ago a caller sent the first attempt of a request. Callers name
// the time that they will still wait, so an attempt that names less than others of its route
// follows an earlier one. It is not safe for concurrent use.
type CallerAge struct {
	// longest and previous are the longest times named in the current span and the one
	// before.
	longest, previous time.Duration
	startedAt         time.Time
}

// Observe records the time that a caller will still wait, and returns the request's age: 0 for
// a first attempt.
func (c *CallerAge) Observe(now time.Time, remaining time.Duration) time.Duration {
	if c.startedAt.IsZero() || now.Sub(c.startedAt) > patienceSpan {
		c.previous, c.longest, c.startedAt = c.longest, 0, now
	}
	c.longest = max(c.longest, remaining)
	return max(c.longest, c.previous) - remaining
}

// RemainingAim returns the time in which a request of an age must be answered to be on time: 0
// without an aim, negative if it is late already.
func RemainingAim(aim, age time.Duration) time.Duration {
	if aim <= 0 {
		return 0
	}
	if remaining := aim - age; remaining > 0 {
		return remaining
	}
	return -1
}
