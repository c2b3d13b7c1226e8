package admission

import "time"

const (
	// patienceSpan is the span after which a time that callers no longer name is forgotten, so
	// that a changed deadline of theirs takes effect.
	patienceSpan = 30 * time.Second
	// patienceStep is the resolution of the times: first attempts of callers with the same
	// patience differ by what is lost on the way.
	patienceStep = 10 * time.Millisecond
	// minNamed and minNamedShare are the number and the share of the requests that must name a
	// time for it to be the patience of first attempts. The times of attempts that follow a
	// refusal are spread.
	minNamed      = 3
	minNamedShare = 0.1
	// maxPatiences limits the memory of a span.
	maxPatiences = 256
)

// CallerAge estimates how long ago a caller sent the first attempt of a request. Callers name
// the time that they will still wait, and first attempts name one of few values. An attempt that
// names another time follows an earlier one, of a caller with the next longer patience. It is
// not safe for concurrent use.
type CallerAge struct {
	current, previous patiences
	startedAt         time.Time
}

// patiences counts how often callers named a time, in steps.
type patiences struct {
	named map[time.Duration]int
	total int
}

// Observe records the time that a caller will still wait, and returns the request's age: 0 for
// a first attempt, and while the patience of first attempts is not known.
func (c *CallerAge) Observe(now time.Time, remaining time.Duration) time.Duration {
	if c.startedAt.IsZero() || now.Sub(c.startedAt) > patienceSpan {
		c.previous, c.current, c.startedAt = c.current, patiences{}, now
	}
	age := c.age(remaining)
	c.current.add(stepOf(remaining))
	return age
}

// age returns the time to the shortest patience of first attempts that is not below remaining.
func (c *CallerAge) age(remaining time.Duration) time.Duration {
	own := stepOf(remaining)
	if c.common(own) {
		return 0
	}
	var patience time.Duration
	for _, span := range []patiences{c.current, c.previous} {
		for named := range span.named {
			if named > own && (patience == 0 || named < patience) && c.common(named) {
				patience = named
			}
		}
	}
	return max(patience-remaining, 0)
}

// common reports whether so many requests name a time that it is one of first attempts.
func (c *CallerAge) common(named time.Duration) bool {
	count := c.current.named[named] + c.previous.named[named]
	return count >= minNamed && float64(count) >= minNamedShare*float64(c.current.total+c.previous.total)
}

func (p *patiences) add(named time.Duration) {
	if p.named == nil || len(p.named) >= maxPatiences {
		*p = patiences{named: map[time.Duration]int{}}
	}
	p.named[named]++
	p.total++
}

// stepOf rounds a time to a step.
func stepOf(remaining time.Duration) time.Duration { return remaining.Round(patienceStep) }

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
