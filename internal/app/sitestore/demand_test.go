package sitestore

import (
	"testing"
	"time"
)

func TestPeaksExpire(t *testing.T) {
	start := time.Now()
	meter := newDemandMeter(start)
	meter.recordPeak(map[string]int{"m": 9}, start)
	meter.recordPeak(map[string]int{"m": 2, "n": 1}, start.Add(time.Second))
	if peaks := meter.peaks(); peaks["m"] != 9 || peaks["n"] != 1 {
		t.Errorf("peaks %v, want m: 9, n: 1", peaks)
	}
	rotated := start.Add(peakInterval + time.Second)
	meter.recordPeak(map[string]int{"m": 2}, rotated)
	if peaks := meter.peaks(); peaks["m"] != 9 {
		t.Errorf("peaks %v one interval later, want m: 9", peaks)
	}
	meter.recordPeak(map[string]int{"m": 3}, rotated.Add(peakInterval+time.Second))
	if peaks := meter.peaks(); peaks["m"] != 3 {
		t.Errorf("peaks %v two intervals later, want m: 3", peaks)
	}
}
