package sitestore

import (
	"maps"
	"math"
	"time"
)

const (
	// demandInterval is the time between two updates of the rates.
	demandInterval = 500 * time.Millisecond
	// demandTimeConstant is the time constant of the smoothed rates.
	demandTimeConstant = 8 * time.Second
	// backlogDrainTime is the time over which open items count as demand.
	backlogDrainTime = 4 * time.Second
	// defaultLength is the assumed length of a text in events until the first one is complete.
	defaultLength   = 16
	newLengthWeight = 0.05
	// peakInterval is the minimum time for which a peak of open items is reported.
	peakInterval = 8 * time.Second
)

// demandMeter measures the demand of jobs in events per second, by model: generated events
// and open items.
type demandMeter struct {
	measuredAt time.Time
	// events counts events since measuredAt, by model.
	events map[string]int
	// lengths are the mean lengths of complete texts in events, by model.
	lengths  map[string]float64
	smoothed map[string]float64
	// peak and previousPeak are the maximum numbers of open items in the current and the
	// previous peakInterval, by model; peakStart is the start of the current one.
	peak         map[string]int
	previousPeak map[string]int
	peakStart    time.Time
}

func newDemandMeter(now time.Time) *demandMeter {
	return &demandMeter{
		measuredAt: now, events: map[string]int{}, lengths: map[string]float64{}, smoothed: map[string]float64{},
		peak: map[string]int{}, peakStart: now,
	}
}

// recordPeak records the numbers of open items, by model.
func (d *demandMeter) recordPeak(open map[string]int, now time.Time) {
	if now.Sub(d.peakStart) > peakInterval {
		d.previousPeak, d.peak, d.peakStart = d.peak, map[string]int{}, now
	}
	for model, items := range open {
		d.peak[model] = max(d.peak[model], items)
	}
}

// peaks returns the recent maximum numbers of open items, by model.
func (d *demandMeter) peaks() map[string]int {
	peaks := maps.Clone(d.peak)
	for model, items := range d.previousPeak {
		peaks[model] = max(peaks[model], items)
	}
	return peaks
}

// recordText records the length of a complete text.
func (d *demandMeter) recordText(model string, events int) {
	d.events[model] += events
	if mean := d.lengths[model]; mean > 0 {
		d.lengths[model] = mean + newLengthWeight*(float64(events)-mean)
		return
	}
	d.lengths[model] = float64(events)
}

// rates returns the smoothed demand by model, if an update is due. open has the numbers of
// open items by model.
func (d *demandMeter) rates(open map[string]int, now time.Time) (rates map[string]float64, due bool) {
	elapsed := now.Sub(d.measuredAt)
	if elapsed < demandInterval {
		return nil, false
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	models := maps.Clone(d.smoothed)
	for model := range open {
		models[model] += 0
	}
	for model := range d.events {
		models[model] += 0
	}
	for model := range models {
		length := d.lengths[model]
		if length == 0 {
			length = defaultLength
		}
		rate := float64(d.events[model])/elapsed.Seconds() + float64(open[model])*length/backlogDrainTime.Seconds()
		d.smoothed[model] += weight * (rate - d.smoothed[model])
	}
	d.measuredAt = now
	clear(d.events)
	return maps.Clone(d.smoothed), true
}
