package sitestore

import (
	"testing"
	"time"
)

func TestPaceIgnoresSingleLongPause(t *testing.T) {
	var meter pauseMeter
	at := testTime
	meter.record(at)
	if meter.mean() != 0 || meter.pace() != 0 {
		t.Errorf("after one event: mean %v, pace %v", meter.mean(), meter.pace())
	}
	add := func(pauses ...time.Duration) {
		for _, pause := range pauses {
			at = at.Add(pause)
			meter.record(at)
		}
	}
	const baseline, slow = 30 * time.Millisecond, 90 * time.Millisecond
	add(baseline, baseline)
	if meter.pace() != 0 {
		t.Errorf("pace %v after too few events", meter.pace())
	}
	add(baseline, baseline, time.Second)
	if got := meter.pace(); got != baseline {
		t.Errorf("pace %v", got)
	}
	if got := meter.mean(); got != (4*baseline+time.Second)/5 {
		t.Errorf("mean %v", got)
	}
	add(slow, slow, slow)
	if got := meter.pace(); got != slow {
		t.Errorf("pace %v after slow events", got)
	}
}

func TestPaceOfStalledRun(t *testing.T) {
	const baseline = 40 * time.Millisecond
	for name, row := range map[string]struct {
		pace, at, now, want time.Duration
		stalled             bool
	}{
		"recent event":                {baseline, time.Second, 1100 * time.Millisecond, baseline, false},
		"stalled":                     {baseline, time.Second, 1300 * time.Millisecond, 300 * time.Millisecond, true},
		"pause normal for a slow run": {3 * baseline, time.Second, 1300 * time.Millisecond, 3 * baseline, false},
		"pause below the minimum":     {time.Millisecond, time.Second, 1200 * time.Millisecond, time.Millisecond, false},
		"no event yet":                {0, time.Second, 1300 * time.Millisecond, 0, false},
		"stalled before any event":    {0, time.Second, 2 * time.Second, time.Second, true},
	} {
		var run progress
		run.set(row.pace, row.at)
		if pace, stalled := run.currentPace(row.now, baseline); pace != row.want || stalled != row.stalled {
			t.Errorf("%s: %v, %v", name, pace, stalled)
		}
	}
	var run progress
	if pace, stalled := run.currentPace(time.Hour, 0); pace != 0 || stalled {
		t.Errorf("without a baseline: %v, %v", pace, stalled)
	}
}

func TestRemainingLength(t *testing.T) {
	estimates := lengths{}
	item := func(expected, events int) *itemState {
		w := &itemState{model: "m", events: events}
		w.spec.Expected = expected
		return w
	}
	if got := estimates.remaining(item(1000, 8)); got != 4 {
		t.Errorf("without estimates: %v", got)
	}
	for range 500 {
		estimates.record(item(1000, 20))
	}
	for _, row := range []struct {
		expected, current int
		want              float64
	}{{1000, 0, 20}, {1000, 5, 15}, {5000, 10, 90}, {1000, 100, 50}, {0, 0, 20}} {
		if got := estimates.remaining(item(row.expected, row.current)); got < row.want-0.1 || got > row.want+0.1 {
			t.Errorf("%+v: %v", row, got)
		}
	}
}
