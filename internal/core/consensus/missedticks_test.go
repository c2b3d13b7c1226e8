package consensus

import "testing"

// missTicks makes members miss ticks: they do not run, and receive no messages until
// the next tick.
func (net *network) missTicks(ticks int, ids ...MemberID) {
	for _, id := range ids {
		net.node(id).TickMissed(ticks)
	}
}

// A leader that missed more ticks than an election timeout must not conclude that the
// other members timed out.
func TestLeaderKeepsLeadershipAfterMissedTicks(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	term := net.node(leader).Status().Term
	for range 20 {
		net.missTicks(2*testElectionTicks, net.order...)
		status := net.node(leader).Status()
		if status.QuorumActive || status.LeaseValid {
			t.Fatalf("%d ticks missed: quorum active %v, lease valid %v", 2*testElectionTicks, status.QuorumActive, status.LeaseValid)
		}
		net.tick(1)
		status = net.node(leader).Status()
		if status.Role != RoleLeader || status.Term != term {
			t.Fatalf("the leader of term %d became %v in term %d", term, status.Role, status.Term)
		}
		if !status.QuorumActive || !status.LeaseValid {
			t.Fatalf("after answers: quorum active %v, lease valid %v", status.QuorumActive, status.LeaseValid)
		}
	}
	net.checkNoViolations()
}

// A leader that missed ticks and is isolated serves no reads, and steps down after an
// election timeout of further ticks.
func TestIsolatedLeaderStepsDownAfterMissedTicks(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	net.isolate(leader, true)
	net.missTicks(3*testElectionTicks, leader)
	for ticks := 0; net.node(leader).Status().Role == RoleLeader; ticks++ {
		if ticks > testElectionTicks {
			t.Fatalf("still leader %d ticks later", ticks)
		}
		if _, answered := net.read(leader, uint64(ticks+1)); answered {
			t.Fatalf("a read was answered %d ticks later", ticks)
		}
		net.node(leader).Tick()
	}
	net.checkNoViolations()
}

// A follower that missed ticks must not start an election: its leader's messages are
// still queued. The missed ticks count for its votes.
func TestFollowerStartsNoElectionAfterMissedTicks(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	follower := net.others(leader)[0]
	net.missTicks(5*testElectionTicks, follower)
	if status := net.node(follower).Status(); status.QuorumActive || status.TicksSinceContact < 5*testElectionTicks {
		t.Errorf("quorum active %v, %d ticks since contact", status.QuorumActive, status.TicksSinceContact)
	}
	net.node(follower).Tick()
	if role := net.node(follower).Status().Role; role != RoleFollower {
		t.Errorf("follower became %v", role)
	}
	net.tick(testHeartbeatTicks)
	if !net.node(follower).Status().QuorumActive || net.leader() != leader {
		t.Error("follower does not follow its leader again")
	}
	net.checkNoViolations()
}

// Ticks that the leader missed must not make its peers look unreachable.
func TestMissedTicksDoNotTimeOutPeers(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	lost := net.others(leader)[0]
	net.isolate(lost, true)
	net.tick(testElectionTicks)
	net.missTicks(100*testElectionTicks, leader)
	progress := net.node(leader).Status().Progress
	if len(progress) != 2 {
		t.Fatalf("%d peers of a leader", len(progress))
	}
	for _, peer := range progress {
		elapsed := peer.TicksSinceContact
		if peer.ID == lost && (peer.Active || elapsed < testElectionTicks || elapsed > 2*testElectionTicks) {
			t.Errorf("the lost member: active %v, no contact for %d ticks", peer.Active, elapsed)
		}
		if peer.ID != lost && (!peer.Active || elapsed > testHeartbeatTicks) {
			t.Errorf("the other member: active %v, no contact for %d ticks", peer.Active, elapsed)
		}
	}
	net.checkNoViolations()
}
