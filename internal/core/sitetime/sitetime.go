// Package sitetime estimates the true time from the clocks of several machines, some of which
// may be wrong by seconds.
package sitetime

import (
	"slices"
	"time"
)

// Reading is a machine's wall clock time, read when the reader's monotonic clock was at Monotonic.
type Reading struct {
	Monotonic time.Duration
	Wall      time.Time
}

// Offset is the wall clock time at which the reader's monotonic clock was 0.
type Offset struct{ at time.Time }

// Estimate returns the median offset of the readings, which a minority of wrong clocks does not
// affect. It returns false if the readings are not from a majority of the machines.
func Estimate(readings []Reading, machines int) (Offset, bool) {
	if len(readings) == 0 || 2*len(readings) <= machines {
		return Offset{}, false
	}
	zeros := make([]time.Time, 0, len(readings))
	for _, reading := range readings {
		zeros = append(zeros, reading.Wall.Add(-reading.Monotonic))
	}
	slices.SortFunc(zeros, time.Time.Compare)
	return Offset{at: zeros[len(zeros)/2]}, true
}

// Time returns the wall clock time at a reading of the reader's monotonic clock.
func (o Offset) Time(monotonic time.Duration) time.Time { return o.at.Add(monotonic) }
