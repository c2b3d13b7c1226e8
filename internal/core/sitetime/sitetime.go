// Package sitetime estimates the true time from the clocks of several machines, of which
// some may be wrong by seconds.
package sitetime

import (
	"slices"
	"time"
)

// Reading is a machine's time of day when the reader's steady clock, counted from a base
// of its own, stood at Steady.
type Reading struct {
	Steady time.Duration
	Wall   time.Time
}

// Offset is the time of day at which the reader's steady clock was 0.
type Offset struct{ at time.Time }

// Estimate gives the offset that the middle reading shows, so that a minority of wrong
// clocks does not move it. It reports false with fewer readings than a majority of the
// machines.
func Estimate(readings []Reading, machines int) (Offset, bool) {
	if len(readings) == 0 || 2*len(readings) <= machines {
		return Offset{}, false
	}
	zeros := make([]time.Time, 0, len(readings))
	for _, reading := range readings {
		zeros = append(zeros, reading.Wall.Add(-reading.Steady))
	}
	slices.SortFunc(zeros, time.Time.Compare)
	return Offset{at: zeros[len(zeros)/2]}, true
}

// Time gives the time of day at a moment of the reader's steady clock.
func (o Offset) Time(steady time.Duration) time.Time { return o.at.Add(steady) }
