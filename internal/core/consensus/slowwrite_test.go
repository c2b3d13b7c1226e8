package consensus

import "testing"

// writeDuring starts a write of entries at a follower, and returns its Ready after the given
// ticks, in which every heartbeat to the follower is answered at once.
func (net *network) writeDuring(leader, follower MemberID, ticks int) Ready {
	net.t.Helper()
	if _, _, err := net.node(leader).Propose([]byte("x")); err != nil {
		net.t.Fatal(err)
	}
	net.processReady(leader)
	for _, message := range net.queue {
		if message.To == follower && message.Kind == MessageAppend {
			net.deliver(message)
		}
	}
	net.queue = nil
	ready := net.node(follower).Ready()
	if len(ready.Entries) == 0 {
		net.t.Fatal("no entries to write")
	}
	for range ticks {
		net.node(follower).TickMissed(1)
		net.node(leader).Tick()
		net.processAll()
		queue := net.queue
		net.queue = nil
		for _, message := range queue {
			if message.To != follower {
				continue
			}
			if reply, answered := net.node(follower).AnswerHeartbeat(message); answered {
				net.deliver(reply)
			}
		}
	}
	return ready
}

// TestLeaderStaysDuringSlowWriteOfFollower guards against the loss of a leader whose only
// running follower writes for longer than an election timeout.
func TestLeaderStaysDuringSlowWriteOfFollower(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	follower, lost := net.others(leader)[0], net.others(leader)[1]
	net.crash(lost)
	term := net.node(leader).Status().Term
	ready := net.writeDuring(leader, follower, 5*testElectionTicks)
	status := net.node(leader).Status()
	if status.Role != RoleLeader || status.Term != term || !status.QuorumActive {
		t.Fatalf("%v in term %d, quorum active %v", status.Role, status.Term, status.QuorumActive)
	}
	commit := status.Commit
	net.finishReady(follower, ready)
	net.tick(2 * testHeartbeatTicks)
	if status = net.node(leader).Status(); status.Commit <= commit {
		t.Errorf("commit index %d after the write, %d during it", status.Commit, commit)
	}
	net.checkNoViolations()
}

// TestAnsweredHeartbeatHoldsVote checks that a follower grants no vote for an election timeout
// after a heartbeat that it answered during a write: the leader's lease relies on it.
func TestAnsweredHeartbeatHoldsVote(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	follower, candidate := net.others(leader)[0], net.others(leader)[1]
	net.crash(candidate)
	ready := net.writeDuring(leader, follower, 2*testElectionTicks)
	net.finishReady(follower, ready)
	node := net.node(follower)
	request := Message{
		Kind: MessageVote, From: candidate, To: follower, Term: node.Status().Term + 1,
		Index: node.log.lastIndex(), LogTerm: node.log.lastTerm(),
	}
	if err := node.Step(request); err != nil {
		t.Fatal(err)
	}
	if node.Status().Term == request.Term {
		t.Error("the follower adopted a candidate's term")
	}
	node.TickMissed(testElectionTicks)
	if err := node.Step(request); err != nil {
		t.Fatal(err)
	}
	if node.votedFor != candidate {
		t.Errorf("voted for %d an election timeout later", node.votedFor)
	}
}

// TestHeartbeatsNotAnsweredDuringWrite lists the messages that wait for Advance.
func TestHeartbeatsNotAnsweredDuringWrite(t *testing.T) {
	for _, row := range []struct {
		name   string
		adjust func(*Message)
		saving bool
	}{
		{"term not durable", func(*Message) {}, true},
		{"other sender", func(m *Message) { m.From = 3 }, false},
		{"other receiver", func(m *Message) { m.To = 3 }, false},
		{"higher term", func(m *Message) { m.Term++ }, false},
		{"lower term", func(m *Message) { m.Term-- }, false},
		{"append", func(m *Message) { m.Kind = MessageAppend }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			net := newNetwork(t, 3, nil)
			node := net.node(2)
			heartbeat := Message{Kind: MessageHeartbeat, From: 1, To: 2, Term: 5}
			if err := node.Step(heartbeat); err != nil {
				t.Fatal(err)
			}
			if !row.saving {
				node.Advance(node.Ready())
			}
			_ = node.Ready()
			row.adjust(&heartbeat)
			if reply, answered := node.AnswerHeartbeat(heartbeat); answered {
				t.Errorf("answered %+v", reply)
			}
		})
	}
}
