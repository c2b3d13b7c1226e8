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
// its normal rate (over all seeds), and recovers the full rate soon after.
func TestLeaderKeepsLeadershipUnderOverload(t *testing.T) {
	acknowledged, normal := 0, 0
	for seed := range uint64(40) {
		h := newHarness(t, seed, 3, 3)
		for range 100 {
			h.tick()
		}
		leader := h.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
		term := leader.member.Status().Term
		before := h.countAcknowledged(rateTicks)
		count := len(h.acknowledgedNumbers)
		for elapsed := 0; elapsed < overloadTicks; elapsed++ {
			if elapsed%(pausedTicks+runTicks) == 0 {
				h.pause(leader, pausedTicks)
			}
			h.tick()
		}
		acknowledged += len(h.acknowledgedNumbers) - count
		normal += before * overloadTicks / rateTicks
		h.heal(recoveryTicks)
		if now := h.leader(); now != leader || now.member.Status().Term != term {
			t.Errorf("seed %d: leader or term changed", seed)
			continue
		}
		if after := h.countAcknowledged(rateTicks); after < before*3/4 {
			t.Errorf("seed %d: %d acknowledged in %d ticks before, %d after", seed, before, rateTicks, after)
		}
		h.check()
	}
	t.Logf("%d acknowledged under overload, %d in the same time without", acknowledged, normal)
	if acknowledged < normal/4 {
		t.Errorf("%d acknowledged under overload, want at least a quarter of %d", acknowledged, normal)
	}
}

// countAcknowledged returns how many commands are acknowledged during the given ticks.
func (h *harness) countAcknowledged(ticks int) int {
	before := len(h.acknowledgedNumbers)
	for range ticks {
		h.tick()
	}
	return len(h.acknowledgedNumbers) - before
}
