package sitestore

import (
	"math"
	"time"
)

const (
	// recentWeight and baselineWeight are the weights of a finished run in the two means,
	// runningWeight that of a measurement of current runs in the recent one.
	recentWeight   = 0.2
	runningWeight  = 0.5
	baselineWeight = 0.02
	// recentHalfLife is the half-life of the difference between the recent pace and the
	// baseline, so that a slow replica is tried again.
	recentHalfLife = 3 * time.Second
)

// pace tracks the recent and the baseline time between events of runs. The zero value has no
// measurements.
type pace struct {
	recent, baseline time.Duration
	updatedAt        time.Time
}

// record records a finished run.
func (p *pace) record(pause time.Duration, now time.Time) {
	p.recent = blend(p.recent, pause, recentWeight)
	p.baseline = blend(p.baseline, pause, baselineWeight)
	p.updatedAt = now
}

// recordRunning records the pace of current runs.
func (p *pace) recordRunning(pause time.Duration, now time.Time) {
	p.recent = blend(p.recent, pause, runningWeight)
	p.updatedAt = now
}

// expected returns the expected pace of the next run, 0 if unknown.
func (p *pace) expected(now time.Time) time.Duration {
	if p.baseline == 0 {
		return p.recent
	}
	weight := math.Exp2(-now.Sub(p.updatedAt).Seconds() / recentHalfLife.Seconds())
	return p.baseline + time.Duration(float64(p.recent-p.baseline)*weight)
}

func blend(mean, sample time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(weight*float64(sample-mean))
}
