package consensus

import "testing"

// TestMembersThatRestartApartElectSoon: after all processes were killed they are
// back within a part of an election timeout of each other. The first to stand is
// refused by those that have just started, and is not to wait a whole timeout more.
func TestMembersThatRestartApartElectSoon(t *testing.T) {
	const (
		apart = testElectionTicks / 2
		// most is counted from the start of the last one: the time in which it
		// grants nothing, and a pause between two pre-votes.
		most = testElectionTicks + testElectionTicks/2 + 1
	)
	for seed := range uint64(50) {
		net := newNetwork(t, 3, func(config *Config) { config.Seed = seed })
		net.elect()
		for _, id := range net.order {
			net.crash(id)
		}
		for _, id := range net.order {
			net.start(id)
			net.tick(apart / len(net.order))
		}
		ticks := 0
		for ; net.leader() == None && ticks <= most; ticks++ {
			net.tick(1)
		}
		if net.leader() == None {
			t.Errorf("seed %d: no leader %d ticks after the last start", seed, ticks)
		}
		net.noFaults()
	}
}
