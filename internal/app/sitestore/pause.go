package sitestore

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// paceWindow is how many pauses between events the pace of late is taken from.
	paceWindow = 5
	// leastForPace is how many of them there must be.
	leastForPace = 3
	// silentPauses is after how many pauses without an event a run counts as
	// silent, silentAtFirst the same before its first event; leastSilence is the
	// least time for both, as processes and networks hold up anything for a moment.
	silentPauses  = 4
	silentAtFirst = 12
	leastSilence  = 250 * time.Millisecond
)

// pauseMeter measures the pauses between the events of a run.
type pauseMeter struct {
	count       int
	first, last time.Time
	// window holds the newest pauses, in a ring.
	window [paceWindow]time.Duration
}

// note takes an event in.
func (m *pauseMeter) note(at time.Time) {
	if m.count == 0 {
		m.first = at
	} else {
		m.window[(m.count-1)%paceWindow] = at.Sub(m.last)
	}
	m.last = at
	m.count++
}

// mean gives the mean pause, 0 before there was one.
func (m *pauseMeter) mean() time.Duration {
	if m.count < 2 {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(m.count-1)
}

// pace gives the median of the newest pauses, so that a single long one does not
// count; 0 before there were enough.
func (m *pauseMeter) pace() time.Duration {
	pauses := min(m.count-1, paceWindow)
	if pauses < leastForPace {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.window[:pauses]))
	return sorted[pauses/2]
}

// progress is how a run gets on, as its goroutine shows it to the runner's.
type progress struct {
	// pace is the time between its events of late in nanoseconds, 0 while it is not
	// known; at is when the last event came, or the run began, since the runner's
	// base time.
	pace, at atomic.Int64
}

// show publishes what a meter holds.
func (p *progress) show(pace, at time.Duration) {
	p.pace.Store(int64(pace))
	p.at.Store(int64(at))
}

// lately gives the pace, given the time since the base: a run that has been silent
// for several pauses is as slow as it is silent. Usual is the pace expected of it.
func (p *progress) lately(now, usual time.Duration) (pace time.Duration, silent bool) {
	pace = time.Duration(p.pace.Load())
	quiet := now - time.Duration(p.at.Load())
	patience := silentPauses * max(pace, usual)
	if pace == 0 {
		patience = silentAtFirst * usual
	}
	if usual > 0 && quiet > max(patience, leastSilence) {
		return quiet, true
	}
	return pace, false
}
