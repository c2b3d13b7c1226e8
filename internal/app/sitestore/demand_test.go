package sitestore

import (
	"testing"
	"time"
)

func TestPeaksExpire(t *testing.T) {
	began := time.Now()
	meter := newDemandMeter(began)
	meter.notePeak(map[string]int{"m": 9}, began)
	meter.notePeak(map[string]int{"m": 2, "n": 1}, began.Add(time.Second))
	if peaks := meter.peaks(); peaks["m"] != 9 || peaks["n"] != 1 {
		t.Errorf("peaks %v", peaks)
	}
	turned := began.Add(peakInterval + time.Second)
	meter.notePeak(map[string]int{"m": 2}, turned)
	if peaks := meter.peaks(); peaks["m"] != 9 {
		t.Errorf("peaks %v one interval later", peaks)
	}
	meter.notePeak(map[string]int{"m": 3}, turned.Add(peakInterval+time.Second))
	if peaks := meter.peaks(); peaks["m"] != 3 {
		t.Errorf("peaks %v two intervals later", peaks)
	}
}
