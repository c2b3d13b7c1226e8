package consensus

import (
	"errors"
	"math/rand/v2"
	"testing"
)

// others returns all members except id.
func (net *network) others(id MemberID) []MemberID {
	var others []MemberID
	for _, other := range net.order {
		if other != id {
			others = append(others, other)
		}
	}
	return others
}

func (net *network) read(id MemberID, requestID uint64) (ReadState, bool) {
	net.t.Helper()
	if err := net.node(id).ReadIndex(requestID); err != nil {
		net.t.Fatalf("read on %d: %v", id, err)
	}
	net.settle()
	for _, state := range net.members[id].reads {
		if state.RequestID == requestID {
			return state, true
		}
	}
	return ReadState{}, false
}

// A member that was isolated must not disrupt the leader when it returns.
func TestPreVotePreventsTermIncrease(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		net := newNetwork(t, 3, func(c *Config) { c.Safeguards.NoPreVote = disabled })
		leader := net.elect()
		term := net.node(leader).Status().Term
		isolated := net.others(leader)[0]
		net.isolate(isolated, true)
		net.tick(20 * testElectionTicks)
		net.isolate(isolated, false)
		net.tick(5 * testElectionTicks)
		increase := net.node(net.leader()).Status().Term - term
		if disabled && increase == 0 {
			t.Error("without pre-vote: the term did not increase, so the test proves nothing")
		}
		if !disabled && (increase != 0 || net.leader() != leader) {
			t.Errorf("term increased by %d, leader %d became %d", increase, leader, net.leader())
		}
		net.checkNoViolations()
	}
}

// staleReadAfterElection attempts to elect a second leader with the vote of a voter that
// has just had contact with the first one, then reads from the first under its lease. It
// reports whether the read misses an entry that the second leader committed.
func staleReadAfterElection(t *testing.T, safeguards Safeguards, restartVoter bool) bool {
	t.Helper()
	net := newNetwork(t, 3, func(c *Config) { c.Safeguards = safeguards })
	first := net.elect()
	voter, second := net.others(first)[0], net.others(first)[1]
	net.blocked[[2]MemberID{first, second}] = true
	// The second member's election timer expires; the voter still has contact with the first.
	for range 2*testElectionTicks + 1 {
		net.node(second).Tick()
	}
	net.node(first).Tick()
	net.node(first).Tick()
	net.blocked[[2]MemberID{second, voter}] = true
	net.settle()
	net.blocked = map[[2]MemberID]bool{}
	net.isolate(first, true)
	if restartVoter {
		net.start(voter)
	}
	for range 2*testElectionTicks + 1 {
		net.node(second).Tick()
		net.settle()
	}
	if net.node(second).Status().Role != RoleLeader {
		return false
	}
	committed := net.propose(second, "new")
	state, answered := net.read(first, 1)
	return answered && state.Index < committed
}

func TestCheckQuorumPreventsStaleLeaseReads(t *testing.T) {
	if !staleReadAfterElection(t, Safeguards{NoCheckQuorum: true}, false) {
		t.Error("without check-quorum: no stale read, so the test proves nothing")
	}
	if staleReadAfterElection(t, Safeguards{}, false) {
		t.Error("stale read under the lease")
	}
}

// A restarted voter no longer knows whether it had contact with a leader; it must wait.
func TestRestartedVoterKeepsLease(t *testing.T) {
	if staleReadAfterElection(t, Safeguards{}, true) {
		t.Error("stale read after a voter restarted")
	}
}

// staleReadAfterOwnWrite lets a leader write, and send heartbeats, until another leader is
// elected and commits an entry; it then reads from the first. Claimed is added to the ticks at
// which the first leader's heartbeats say that they were sent. It reports whether the read
// misses the entry.
func staleReadAfterOwnWrite(t *testing.T, claimed uint64) bool {
	t.Helper()
	net := newNetwork(t, 3, nil)
	first := net.elect()
	ready := net.startWrite(first)
	const ticks = 5 * testElectionTicks
	held := net.runDuringWrite(first, ticks)
	second := net.leader()
	if second == first {
		t.Fatal("no other leader was elected during the write")
	}
	committed, _, err := net.node(second).Propose([]byte("new"))
	if err != nil {
		t.Fatal(err)
	}
	net.settleOthers(first)
	net.isolate(first, true)
	net.finishReady(first, ready)
	net.node(first).TickMissed(ticks - 1)
	net.node(first).Tick()
	for _, message := range held {
		if message.Kind != MessageHeartbeatReply {
			continue
		}
		message.SentTick = min(message.SentTick+claimed, net.node(first).now)
		mustStep(t, net.node(first), message)
	}
	state, answered := net.read(first, 1)
	return answered && state.Index < committed
}

// The lease of a leader starts at SentTick, which must not be after the time of sending.
func TestHeartbeatsDuringWriteKeepLease(t *testing.T) {
	if !staleReadAfterOwnWrite(t, 5*testElectionTicks) {
		t.Error("with a later SentTick: no stale read, so the test proves nothing")
	}
	if staleReadAfterOwnWrite(t, 0) {
		t.Error("stale read after a write")
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		net := newNetwork(t, 3, func(c *Config) { c.Safeguards.NoCheckQuorum = disabled })
		leader := net.elect()
		net.isolate(leader, true)
		net.tick(testElectionTicks + 1)
		if leads := net.node(leader).Status().Role == RoleLeader; leads != disabled {
			t.Errorf("check-quorum disabled %v: isolated member leads %v", disabled, leads)
		}
	}
}

// Figure 8 of the paper: an entry of an earlier term on a majority is not
// committed until one of the leader's own term is.
func TestOnlyOwnTermIsCommittedByCounting(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		restored := Restored{
			HardState: HardState{Term: 3},
			Snapshot:  Snapshot{Membership: Membership{Voters: []MemberID{1, 2, 3, 4, 5}}},
			Entries:   []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
		}
		node, err := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2, Safeguards: Safeguards{NoTermCommitRule: disabled}}, restored)
		if err != nil {
			t.Fatal(err)
		}
		node.campaign(Message{})
		for _, id := range []MemberID{2, 3} {
			mustStep(t, node, Message{Kind: MessageVoteReply, From: id, To: 1, Term: 4})
			mustStep(t, node, Message{Kind: MessageAppendReply, From: id, To: 1, Term: 4, Index: 2})
		}
		// Member 2 answered before the election was won.
		mustStep(t, node, Message{Kind: MessageAppendReply, From: 2, To: 1, Term: 4, Index: 2})
		if committed := node.Status().Commit == 2; committed != disabled {
			t.Errorf("term rule disabled %v: commit index %d", disabled, node.Status().Commit)
		}
	}
}

func mustStep(t *testing.T, node *Node, message Message) {
	t.Helper()
	if err := node.Step(message); err != nil {
		t.Fatalf("%v: %v", message.Kind, err)
	}
}

// With skipped writes a restart loses votes and entries; the checks must detect it.
func TestChecksDetectSkippedWrites(t *testing.T) {
	found := 0
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 11))
		net := newNetwork(t, 3, nil)
		for range 6 {
			leader := net.elect()
			net.propose(leader, string(rune('a'+random.IntN(26))))
			follower := net.others(leader)[random.IntN(2)]
			net.members[follower].skipSync = true
			net.isolate(net.others(leader)[0]+net.others(leader)[1]-follower, true)
			net.propose(leader, string(rune('A'+random.IntN(26))))
			net.crash(leader)
			net.start(follower)
			net.blocked = map[[2]MemberID]bool{}
			net.propose(net.elect(), "other")
			net.start(leader)
			net.tick(3 * testElectionTicks)
			if len(net.violations) > 0 {
				found++
				break
			}
		}
	}
	if found == 0 {
		t.Error("no violation found without writes")
	}
}

func TestReadsNeedProofOfLeadership(t *testing.T) {
	net := newNetwork(t, 3, func(c *Config) { c.NoLeaseReads = true })
	leader := net.elect()
	committed := net.propose(leader, "a")
	if state, answered := net.read(leader, 1); !answered || state.Index < committed {
		t.Errorf("read with a quorum: %+v, answered %v", state, answered)
	}
	net.isolate(leader, true)
	if _, answered := net.read(leader, 2); answered {
		t.Error("read answered without a quorum")
	}
	net.tick(testElectionTicks + 1)
	lost := false
	for _, state := range net.members[leader].reads {
		lost = lost || state.RequestID == 2 && state.Lost
	}
	if !lost {
		t.Error("read was not reported lost")
	}
	if err := net.node(leader).ReadIndex(3); !errors.Is(err, ErrNotLeader) {
		t.Errorf("read on a follower: %v", err)
	}
}

// A new leader does not know the commit index until it has committed an entry
// of its term.
func TestNewLeaderReadsAfterItsFirstCommit(t *testing.T) {
	net := newNetwork(t, 3, nil)
	first := net.elect()
	net.filter = func(m Message) bool { return m.Commit == 0 || m.Kind != MessageHeartbeat }
	committed := net.propose(first, "a")
	net.crash(first)
	net.filter = func(m Message) bool { return m.Kind != MessageAppend }
	for net.leader() == None {
		net.tick(1)
	}
	second := net.leader()
	if _, answered := net.read(second, 1); answered {
		t.Error("read answered before the first commit")
	}
	net.filter = nil
	net.tick(testElectionTicks)
	for _, state := range net.members[second].reads {
		if state.Index < committed {
			t.Errorf("read index %d, want at least %d", state.Index, committed)
		}
	}
	if len(net.members[second].reads) != 1 {
		t.Errorf("%d answers, want 1", len(net.members[second].reads))
	}
}

func TestTransferRevokesLease(t *testing.T) {
	net := newNetwork(t, 3, nil)
	first := net.elect()
	to := net.others(first)[1]
	if !net.node(first).Status().LeaseValid {
		t.Fatal("no lease before the transfer")
	}
	if err := net.node(first).TransferLeadership(to); err != nil {
		t.Fatal(err)
	}
	if _, _, err := net.node(first).Propose(nil); !errors.Is(err, ErrTransferring) {
		t.Errorf("propose during a transfer: %v", err)
	}
	if net.node(first).Status().LeaseValid {
		t.Error("lease still valid after leadership was offered")
	}
	net.settle()
	if net.leader() != to {
		t.Errorf("leader %d, want %d", net.leader(), to)
	}
	net.checkNoViolations()
}
