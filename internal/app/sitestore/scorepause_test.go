package sitestore

import (
	"testing"
	"time"
)

// A reward call that is refused for the whole of a burst must not be repeated in a tight loop,
// and must not stay away for longer than a step can bear.
func TestRefusedScorePause(t *testing.T) {
	const burst = 15 * time.Second
	calls, spent := 0, time.Duration(0)
	for spent < burst {
		calls++
		pause := refusedScorePause(calls, 0, 0)
		if pause < scorePause || pause > maxScorePause {
			t.Errorf("pause %v after %d refusals", pause, calls)
		}
		spent += pause
	}
	if calls > 53 {
		t.Errorf("%d calls in %v", calls, burst)
	}
	if got := refusedScorePause(1, time.Second, 0); got != time.Second {
		t.Errorf("pause %v although the refusal names 1 s", got)
	}
	if got := refusedScorePause(1, time.Second, 0.5); got != 1250*time.Millisecond {
		t.Errorf("pause %v with jitter", got)
	}
}
