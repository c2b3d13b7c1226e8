package ejection

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

var start = time.UnixMilli(1_700_000_000_000)

func ids(count int) []port.ReplicaID {
	replicas := make([]port.ReplicaID, count)
	for index := range replicas {
		replicas[index] = port.ReplicaID(fmt.Sprintf("lm-%d", index))
	}
	return replicas
}

func newTracker(count int, share float64) *Tracker {
	tracker := New(FromConfiguration(port.Ejection{
		ConsecutiveFailures: 3, LatencyFactor: 3, BaseDuration: port.Duration(time.Second), MaxShare: share,
	}))
	tracker.SetReplicas(ids(count))
	return tracker
}

func observeFailures(tracker *Tracker, now time.Time, replica port.ReplicaID, times int) (Change, bool) {
	for range times - 1 {
		tracker.Observe(now, replica, true, 0)
	}
	return tracker.Observe(now, replica, true, 0)
}

func TestConsecutiveFailuresEject(t *testing.T) {
	tests := map[string]struct {
		outcomes string // f: failure, o: success
		want     State
	}{
		"too few":            {"ff", Healthy},
		"enough":             {"fff", Ejected},
		"reset by a success": {"ffoff", Healthy},
		"after successes":    {"ooofff", Ejected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker(4, 0.5)
			for _, outcome := range test.outcomes {
				tracker.Observe(start, "lm-0", outcome == 'f', time.Millisecond)
			}
			if got := tracker.State("lm-0"); got != test.want {
				t.Errorf("state %s, want %s", got, test.want)
			}
		})
	}
}

func TestEjectionTimeDoublesUntilProbesSucceed(t *testing.T) {
	tracker := newTracker(4, 0.5)
	now := start
	change, _ := observeFailures(tracker, now, "lm-0", 3)
	for _, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		if got := change.Until.Sub(now); got != want {
			t.Fatalf("ejected for %v, want %v", got, want)
		}
		if changes := tracker.Tick(change.Until.Add(-time.Millisecond)); len(changes) != 0 {
			t.Fatalf("probed too early: %v", changes)
		}
		now = change.Until
		if changes := tracker.Tick(now); len(changes) != 1 || changes[0].State != Probing {
			t.Fatalf("changes %v at the end of the ejection", changes)
		}
		change, _ = tracker.Observe(now, "lm-0", true, 0)
		if change.Cause != CauseProbeFailed {
			t.Fatalf("change after a failed probe: %+v", change)
		}
	}
	now = change.Until
	tracker.Tick(now)
	if _, changed := tracker.Observe(now, "lm-0", false, time.Millisecond); changed {
		t.Error("one successful probe ended probing, want two")
	}
	if change, _ := tracker.Observe(now, "lm-0", false, time.Millisecond); change.State != Healthy || change.Cause != CauseProbesPassed {
		t.Errorf("change after two successful probes: %+v", change)
	}
}

func TestRepeatsDecayWithoutEjection(t *testing.T) {
	tracker := newTracker(4, 0.5)
	change, _ := observeFailures(tracker, start, "lm-0", 3)
	now := change.Until
	tracker.Tick(now)
	observeFailures(tracker, now, "lm-0", 1) // repeats: 2
	now = now.Add(2 * time.Second)
	tracker.Tick(now)
	tracker.Observe(now, "lm-0", false, 0)
	tracker.Observe(now, "lm-0", false, 0)
	for range 2 {
		now = now.Add(repeatDecayPeriods * time.Second)
		tracker.Tick(now)
	}
	if change, _ := observeFailures(tracker, now, "lm-0", 3); change.Until.Sub(now) != time.Second {
		t.Errorf("ejected for %v after a long time without ejection, want the base duration", change.Until.Sub(now))
	}
}

func TestSlowReplicaIsEjected(t *testing.T) {
	tests := map[string]struct {
		replicas int
		pool     Pool
		want     State
	}{
		"against the tracked replicas":    {4, Pool{}, Ejected},
		"too few to compare":              {2, Pool{}, Healthy},
		"against the pool's median":       {2, Pool{Size: 8, MedianLatency: 10 * time.Millisecond}, Ejected},
		"as slow as the rest of the pool": {4, Pool{Size: 8, MedianLatency: 90 * time.Millisecond}, Healthy},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			tracker := newTracker(test.replicas, 0.5)
			tracker.SetPool(test.pool)
			for range 2 * minLatencySamples {
				for _, replica := range ids(test.replicas)[1:] {
					tracker.Observe(start, replica, false, 10*time.Millisecond)
				}
				tracker.Observe(start, "lm-0", false, 100*time.Millisecond)
			}
			if got := tracker.State("lm-0"); got != test.want {
				t.Errorf("state %s, want %s", got, test.want)
			}
		})
	}
}

func TestLimitCountsOtherHomes(t *testing.T) {
	tracker := newTracker(2, 0.25)
	tracker.SetPool(Pool{Size: 8, UnhealthyElsewhere: 2})
	if _, changed := observeFailures(tracker, start, "lm-0", 10); changed {
		t.Error("ejected a third replica of eight at a maximum share of a quarter")
	}
	tracker.SetPool(Pool{Size: 8, UnhealthyElsewhere: 1})
	if change, _ := observeFailures(tracker, start, "lm-0", 1); change.State != Ejected {
		t.Error("a replica was not ejected once the limit allowed it")
	}
}

func TestMaxEjected(t *testing.T) {
	for _, test := range []struct {
		size  int
		share float64
		want  int
	}{{0, 0.5, 0}, {1, 1, 0}, {3, 0.3, 0}, {3, 0.34, 1}, {8, 0.5, 4}, {8, 1, 7}, {8, 0, 0}, {8, 9, 7}} {
		if got := MaxEjected(test.size, test.share); got != test.want {
			t.Errorf("MaxEjected(%d, %v) = %d, want %d", test.size, test.share, got, test.want)
		}
	}
}

// The share of ejected replicas never exceeds the limit.
func TestEjectedShareStaysWithinBound(t *testing.T) {
	testkit.Check(t, 61, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		tracker := newTracker(size, share)
		now := start
		for range 150 {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pass")) * time.Millisecond)
			replica := rapid.SampledFrom(ids(size)).Draw(t, "replica")
			tracker.Observe(now, replica, rapid.IntRange(0, 3).Draw(t, "outcome") > 0, time.Millisecond)
			tracker.Tick(now)
			if tracker.Unhealthy() > MaxEjected(size, share) {
				t.Fatalf("%d of %d ejected or probed, share %v", tracker.Unhealthy(), size, share)
			}
		}
	})
}

func TestAcceptedClaimsAreBoundedAndDeterministic(t *testing.T) {
	claims := []Claim{{"c", start}, {"a", start.Add(time.Second)}, {"b", start}, {"d", start.Add(-time.Second)}}
	want := []port.ReplicaID{"d", "b"}
	if got := AcceptedClaims(claims, 8, 0.25); !slices.Equal(got, want) {
		t.Errorf("accepted %v, want %v", got, want)
	}
	slices.Reverse(claims)
	if got := AcceptedClaims(claims, 8, 0.25); !slices.Equal(got, want) {
		t.Errorf("accepted %v in another order, want %v", got, want)
	}
	if got := AcceptedClaims(claims[:1], 8, 1); len(got) != 1 {
		t.Errorf("accepted %v of one claim", got)
	}
}

func TestRemovedReplicaLosesState(t *testing.T) {
	tracker := newTracker(4, 0.5)
	observeFailures(tracker, start, "lm-0", 3)
	tracker.SetReplicas(ids(4)[1:])
	tracker.SetReplicas(ids(4))
	if tracker.State("lm-0") != Healthy || tracker.Unhealthy() != 0 {
		t.Error("the state of a removed replica was not dropped")
	}
	if _, changed := tracker.Observe(start, "foreign", true, 0); changed {
		t.Error("a replica that is not tracked changed state")
	}
}
