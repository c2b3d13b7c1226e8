package consensus

import "testing"

// A pre-candidate rejected by members that have just started must retry before a full
// election timeout has passed.
func TestStaggeredRestartElectsWithinBound(t *testing.T) {
	const (
		startSpread = testElectionTicks / 2
		// maxTicks covers the time after the last start in which the member grants no vote,
		// and the delay before a repeated pre-vote.
		maxTicks = testElectionTicks + testElectionTicks/2 + 1
	)
	for seed := range uint64(50) {
		net := newNetwork(t, 3, func(config *Config) { config.Seed = seed })
		net.elect()
		for _, id := range net.order {
			net.crash(id)
		}
		for _, id := range net.order {
			net.start(id)
			net.tick(startSpread / len(net.order))
		}
		ticks := 0
		for ; net.leader() == None && ticks <= maxTicks; ticks++ {
			net.tick(1)
		}
		if net.leader() == None {
			t.Errorf("seed %d: no leader %d ticks after the last start", seed, ticks)
		}
		net.checkNoViolations()
	}
}

// If all members restart, there is no leader to wait for.
func TestFullRestartElectsWithoutDelay(t *testing.T) {
	// maxTicks covers two pre-vote delays: that of the first pre-candidate, and one more if
	// there are several concurrent ones.
	const maxTicks = 2 * 2 * (testElectionTicks / 4)
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
			for ; net.leader() == None && ticks <= maxTicks; ticks++ {
				net.tick(1)
			}
			if net.leader() == None {
				t.Errorf("%d voters, seed %d: no leader after %d ticks", voters, seed, ticks)
			} else if increase := net.node(net.leader()).Status().Term - term; increase > 2 {
				t.Errorf("%d voters, seed %d: the term increased by %d", voters, seed, increase)
			}
			net.checkNoViolations()
		}
	}
}

// A member that is missing after the others restarted may still lead under a lease that
// they granted.
func TestRestartedMembersRespectLeaseOfMissingLeader(t *testing.T) {
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
					t.Fatalf("seed %d: member %d is in term %d while the leader's lease is valid", seed, id, status.Term)
				}
			}
		}
		net.tick(3 * testElectionTicks)
		if net.leader() == leader || net.leader() == None {
			t.Errorf("seed %d: leader %d after %d ticks", seed, net.leader(), 4*testElectionTicks)
		}
		net.checkNoViolations()
	}
}

// A leader answers the pre-votes of restarted members and stays leader.
func TestRestartedMembersDoNotDeposeLeader(t *testing.T) {
	for seed := range uint64(50) {
		net := newNetwork(t, 5, func(config *Config) { config.Seed = seed })
		leader := net.elect()
		term := net.node(leader).Status().Term
		for _, id := range net.others(leader) {
			net.crash(id)
			net.start(id)
			// Delay the leader's messages until the members have sent pre-votes.
			net.blocked[[2]MemberID{leader, id}] = true
		}
		net.tick(testElectionTicks / 2)
		net.blocked = map[[2]MemberID]bool{}
		net.tick(testElectionTicks)
		if status := net.node(leader).Status(); status.Role != RoleLeader || status.Term != term {
			t.Errorf("seed %d: the leader of term %d became %v in term %d", seed, term, status.Role, status.Term)
		}
		net.checkNoViolations()
	}
}
