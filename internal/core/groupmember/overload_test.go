package groupmember_test

import "testing"

// Durations of the overload test; a tick is 60 ms.
const (
	// overloadTicks is 5 s.
	overloadTicks = 83
	// pausedTicks and runTicks alternate, so that the machine runs for a third of the time.
	// Each pause is almost as long as the minimum election timeout.
	pausedTicks = 6
	runTicks    = 3
	// recoveryTicks is the time until the previous rate is restored: 0.6 s.
	recoveryTicks = 10
	rateTicks     = 200
)

// A leader that runs for a third of the time remains leader, commits at least a quarter of
// its usual rate (over all seeds), and recovers the full rate soon after.
func TestLeaderKeepsLeadershipUnderOverload(t *testing.T) {
	acknowledged, usual := 0, 0
	for seed := range uint64(40) {
		w := newWorld(t, seed, 3, 3)
		for range 100 {
			w.tick()
		}
		leader := w.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		term := leader.member.Status().Term
		before := w.countAcknowledged(rateTicks)
		count := len(w.acknowledgedNumbers)
		for passed := 0; passed < overloadTicks; passed++ {
			if passed%(pausedTicks+runTicks) == 0 {
				w.pause(leader, pausedTicks)
			}
			w.tick()
		}
		acknowledged += len(w.acknowledgedNumbers) - count
		usual += before * overloadTicks / rateTicks
		w.heal(recoveryTicks)
		if now := w.leader(); now != leader || now.member.Status().Term != term {
			t.Errorf("seed %d: leader or term changed", seed)
			continue
		}
		if after := w.countAcknowledged(rateTicks); after < before*3/4 {
			t.Errorf("seed %d: %d acknowledged in %d ticks before, %d after", seed, before, rateTicks, after)
		}
		w.check()
	}
	t.Logf("%d acknowledged under overload, %d in the same time without", acknowledged, usual)
	if acknowledged < usual/4 {
		t.Errorf("%d acknowledged under overload, want at least a quarter of %d", acknowledged, usual)
	}
}

// countAcknowledged returns how many commands are acknowledged during the given ticks.
func (w *world) countAcknowledged(ticks int) int {
	before := len(w.acknowledgedNumbers)
	for range ticks {
		w.tick()
	}
	return len(w.acknowledgedNumbers) - before
}
