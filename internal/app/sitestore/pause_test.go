package sitestore

import (
	"testing"
	"time"
)

func TestPaceIgnoresSingleLongPause(t *testing.T) {
	var meter pauseMeter
	at := bookTime
	meter.note(at)
	if meter.mean() != 0 || meter.pace() != 0 {
		t.Errorf("after one event: mean %v, pace %v", meter.mean(), meter.pace())
	}
	add := func(pauses ...time.Duration) {
		for _, pause := range pauses {
			at = at.Add(pause)
			meter.note(at)
		}
	}
	const usual, slow = 30 * time.Millisecond, 90 * time.Millisecond
	add(usual, usual)
	if meter.pace() != 0 {
		t.Errorf("pace %v after too few events", meter.pace())
	}
	add(usual, usual, time.Second)
	if got := meter.pace(); got != usual {
		t.Errorf("pace %v", got)
	}
	if got := meter.mean(); got != (4*usual+time.Second)/5 {
		t.Errorf("mean %v", got)
	}
	add(slow, slow, slow)
	if got := meter.pace(); got != slow {
		t.Errorf("pace %v once the replica has turned slow", got)
	}
}

func TestPaceOfStalledRun(t *testing.T) {
	const usual = 40 * time.Millisecond
	for name, row := range map[string]struct {
		pace, at, now, want time.Duration
		silent              bool
	}{
		"an event a moment ago":       {usual, time.Second, 1100 * time.Millisecond, usual, false},
		"silent":                      {usual, time.Second, 1300 * time.Millisecond, 300 * time.Millisecond, true},
		"slow, so silence is usual":   {3 * usual, time.Second, 1300 * time.Millisecond, 3 * usual, false},
		"no longer than anything may": {time.Millisecond, time.Second, 1200 * time.Millisecond, time.Millisecond, false},
		"waits for its first event":   {0, time.Second, 1300 * time.Millisecond, 0, false},
		"waits long for it":           {0, time.Second, 2 * time.Second, time.Second, true},
	} {
		var shown progress
		shown.show(row.pace, row.at)
		if pace, silent := shown.lately(row.now, usual); pace != row.want || silent != row.silent {
			t.Errorf("%s: %v, %v", name, pace, silent)
		}
	}
	var shown progress
	if pace, silent := shown.lately(time.Hour, 0); pace != 0 || silent {
		t.Errorf("nothing is known of any pace: %v, %v", pace, silent)
	}
}

func TestRemainingLength(t *testing.T) {
	learnt := lengths{}
	item := func(expected, events int) *work {
		w := &work{model: "m", events: events}
		w.item.Expected = expected
		return w
	}
	if got := learnt.left(item(1000, 8)); got != 4 {
		t.Errorf("nothing is known: %v", got)
	}
	for range 500 {
		learnt.whole(item(1000, 20))
	}
	for _, row := range []struct {
		expected, made int
		want           float64
	}{{1000, 0, 20}, {1000, 5, 15}, {5000, 10, 90}, {1000, 100, 50}, {0, 0, 20}} {
		if got := learnt.left(item(row.expected, row.made)); got < row.want-0.1 || got > row.want+0.1 {
			t.Errorf("%+v: %v", row, got)
		}
	}
}
