package sitestore

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// paceWindow is the number of latest pauses between events that determine the pace.
	paceWindow = 5
	// minPaceSamples is the minimum number of pauses that determine it.
	minPaceSamples = 3
	// stallPauses is the number of usual pauses without an event after which a run counts
	// as stalled, firstEventStallPauses that before its first event; minStall is the
	// minimum time for both, which tolerates short delays of processes and networks.
	stallPauses           = 4
	firstEventStallPauses = 12
	minStall              = 250 * time.Millisecond
)

// pauseMeter measures the pauses between the events of a run.
type pauseMeter struct {
	count       int
	first, last time.Time
	// window is a ring of the latest pauses.
	window [paceWindow]time.Duration
}

// record records an event.
func (m *pauseMeter) record(at time.Time) {
	if m.count == 0 {
		m.first = at
	} else {
		m.window[(m.count-1)%paceWindow] = at.Sub(m.last)
	}
	m.last = at
	m.count++
}

// mean returns the mean pause, 0 before the second event.
func (m *pauseMeter) mean() time.Duration {
	if m.count < 2 {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(m.count-1)
}

// pace returns the median of the latest pauses, which ignores single long ones; 0 if there are
// too few.
func (m *pauseMeter) pace() time.Duration {
	pauses := min(m.count-1, paceWindow)
	if pauses < minPaceSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.window[:pauses]))
	return sorted[pauses/2]
}

// progress shares the progress of a run with the runner's goroutine.
type progress struct {
	// pace is the recent time between events in nanoseconds, 0 while unknown; at is the
	// time of the last event or the start of the run, since the runner's base time.
	pace, at atomic.Int64
}

// set publishes the pace and the time of the last event.
func (p *progress) set(pace, at time.Duration) {
	p.pace.Store(int64(pace))
	p.at.Store(int64(at))
}

// currentPace returns the run's pace and whether it is stalled; a stalled run is as slow as the
// time since its last event. now counts from the runner's base time; baseline is the usual pace.
func (p *progress) currentPace(now, baseline time.Duration) (pace time.Duration, stalled bool) {
	pace = time.Duration(p.pace.Load())
	sinceEvent := now - time.Duration(p.at.Load())
	timeout := stallPauses * max(pace, baseline)
	if pace == 0 {
		timeout = firstEventStallPauses * baseline
	}
	if baseline > 0 && sinceEvent > max(timeout, minStall) {
		return sinceEvent, true
	}
	return pace, false
}
