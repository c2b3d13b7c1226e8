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

// TestMembersThatAllRestartElectAtOnce: none of them leads, and none has heard a leader
// since it started, so none waits for an election timeout.
func TestMembersThatAllRestartElectAtOnce(t *testing.T) {
	// most is two pauses between pre-votes: that of the first to stand, and one more if
	// several stood at once.
	const most = 2 * 2 * (testElectionTicks / 4)
	for _, voters := range []int{1, 3, 5, 9} {
		for seed := range uint64(50) {
			net := newNetwork(t, voters, func(config *Config) { config.Seed = seed })
			leader := net.elect()
			term := net.node(leader).Status().Term
			for _, id := range net.order {
				net.crash(id)
				net.start(id)
			}
			ticks := 0
			for ; net.leader() == None && ticks <= most; ticks++ {
				net.tick(1)
			}
			if net.leader() == None {
				t.Errorf("%d voters, seed %d: no leader after %d ticks", voters, seed, ticks)
			} else if grown := net.node(net.leader()).Status().Term - term; grown > 2 {
				t.Errorf("%d voters, seed %d: the term grew by %d", voters, seed, grown)
			}
			net.noFaults()
		}
	}
}

// TestAMemberThatRestartedWaitsIfOneIsMissing: the missing one may lead, under a lease
// that those which restarted gave it.
func TestAMemberThatRestartedWaitsIfOneIsMissing(t *testing.T) {
	for seed := range uint64(50) {
		net := newNetwork(t, 3, func(config *Config) { config.Seed = seed })
		leader := net.elect()
		term := net.node(leader).Status().Term
		net.isolate(leader, true)
		for _, id := range net.others(leader) {
			net.crash(id)
			net.start(id)
		}
		for range testElectionTicks - 1 {
			net.tick(1)
			if net.leader() != leader || !net.node(leader).leaseValid() {
				break
			}
			for _, id := range net.others(leader) {
				if status := net.node(id).Status(); status.Term != term {
					t.Fatalf("seed %d: member %d went to term %d under another's lease", seed, id, status.Term)
				}
			}
		}
		net.tick(3 * testElectionTicks)
		if net.leader() == leader || net.leader() == None {
			t.Errorf("seed %d: leader %d after %d ticks", seed, net.leader(), 4*testElectionTicks)
		}
		net.noFaults()
	}
}

// TestALeaderIsNotVotedOutByThoseThatRestart: they ask early, and it answers.
func TestALeaderIsNotVotedOutByThoseThatRestart(t *testing.T) {
	for seed := range uint64(50) {
		net := newNetwork(t, 5, func(config *Config) { config.Seed = seed })
		leader := net.elect()
		term := net.node(leader).Status().Term
		for _, id := range net.others(leader) {
			net.crash(id)
			net.start(id)
			// The leader's messages take a while, so that they stand before.
			net.cut[[2]MemberID{leader, id}] = true
		}
		net.tick(testElectionTicks / 2)
		net.cut = map[[2]MemberID]bool{}
		net.tick(testElectionTicks)
		if status := net.node(leader).Status(); status.Role != RoleLeader || status.Term != term {
			t.Errorf("seed %d: the leader of term %d became %v in term %d", seed, term, status.Role, status.Term)
		}
		net.noFaults()
	}
}
