package sitestore

import (
	"math"
	"time"
)

const (
	// recentWeight and usualWeight are the weights of a new run in the two means,
	// watchWeight that of a look at runs that go on.
	recentWeight = 0.2
	watchWeight  = 0.5
	usualWeight  = 0.02
	// paceFades is how long it takes until half of what was lately seen beyond the
	// usual is forgotten: a replica that was slow is tried again.
	paceFades = 3 * time.Second
)

// pace is the time between the events of runs, lately and usually. The zero value
// knows nothing.
type pace struct {
	recent, usual time.Duration
	at            time.Time
}

// note takes a run in.
func (p *pace) note(pause time.Duration, now time.Time) {
	p.recent = blend(p.recent, pause, recentWeight)
	p.usual = blend(p.usual, pause, usualWeight)
	p.at = now
}

// watch takes in how runs get on that have not ended.
func (p *pace) watch(pause time.Duration, now time.Time) {
	p.recent = blend(p.recent, pause, watchWeight)
	p.at = now
}

// expected gives what the next run is expected to have, 0 if nothing is known.
func (p *pace) expected(now time.Time) time.Duration {
	if p.usual == 0 {
		return p.recent
	}
	left := math.Exp2(-now.Sub(p.at).Seconds() / paceFades.Seconds())
	return p.usual + time.Duration(float64(p.recent-p.usual)*left)
}

func blend(held, sample time.Duration, weight float64) time.Duration {
	if held == 0 {
		return sample
	}
	return held + time.Duration(weight*float64(sample-held))
}
