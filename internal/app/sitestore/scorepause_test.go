package sitestore

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/proxy"
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

// A reward call under which replicas crashed must not be given up, must not stay away for longer
// than an item may, and must not take a replica down with each of many calls a second.
func TestFailedScorePause(t *testing.T) {
	for name, row := range map[string]struct {
		failure proxy.Failure
		crashes int
		want    time.Duration
	}{
		"no replica":                     {proxy.Failure{}, 0, scorePause},
		"cold replicas":                  {proxy.Failure{RetryAfter: 700 * time.Millisecond}, 0, 700 * time.Millisecond},
		"replicas cold for a minute":     {proxy.Failure{RetryAfter: time.Minute}, 0, maxFailedScorePause},
		"two crashes":                    {proxy.Failure{Crashed: true}, 2, scorePause},
		"three crashes":                  {proxy.Failure{Crashed: true}, 3, minCrashPause},
		"another failure, after crashes": {proxy.Failure{}, 10, scorePause},
		"a thousand crashes":             {proxy.Failure{Crashed: true}, 1000, maxCrashPause},
	} {
		if got := failedScorePause(&row.failure, row.crashes); got != row.want {
			t.Errorf("%s: pause %v, want %v", name, got, row.want)
		}
	}
}
