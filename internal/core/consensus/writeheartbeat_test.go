package consensus

import (
	"slices"
	"testing"
)

// startWrite starts a write of a proposed entry at a leader and returns its Ready. The
// messages that may precede the sync are queued.
func (net *network) startWrite(leader MemberID) Ready {
	net.t.Helper()
	if _, _, err := net.node(leader).Propose([]byte("x")); err != nil {
		net.t.Fatal(err)
	}
	ready := net.node(leader).Ready()
	if len(ready.Entries) == 0 {
		net.t.Fatal("no entries to write")
	}
	for _, message := range ready.Messages {
		if ready.MayPrecedeSync(message) {
			net.queue = append(net.queue, message)
		}
	}
	return ready
}

// runDuringWrite runs the other members for the ticks of a leader's write. It returns the
// messages that the leader has to step after the write.
func (net *network) runDuringWrite(leader MemberID, ticks int) []Message {
	var held []Message
	for tick := range ticks {
		for _, id := range net.others(leader) {
			if !net.members[id].down {
				net.node(id).Tick()
			}
		}
		net.queue = append(net.queue, net.node(leader).HeartbeatsDuringWrite(tick+1)...)
		held = append(held, net.settleOthers(leader)...)
	}
	return held
}

// settleOthers processes Readys and delivers messages of all members but one. It returns the
// messages to that one.
func (net *network) settleOthers(writing MemberID) []Message {
	var held []Message
	for {
		for _, id := range net.others(writing) {
			for !net.members[id].down && net.node(id).HasReady() {
				net.processReady(id)
			}
		}
		if len(net.queue) == 0 {
			return held
		}
		message := net.queue[0]
		net.queue = net.queue[1:]
		if message.To == writing {
			held = append(held, message)
			continue
		}
		net.deliver(message)
	}
}

// endWrite ends a leader's write of the given ticks, passes the ticks and then the messages
// that arrived.
func (net *network) endWrite(leader MemberID, ready Ready, ticks int, held []Message) {
	net.finishReady(leader, ready)
	net.node(leader).TickMissed(ticks - 1)
	net.node(leader).Tick()
	for _, message := range held {
		net.deliver(message)
	}
}

// TestLeaderStaysDuringOwnSlowWrite guards against the election of another leader while the
// leader writes for two election timeouts, the longest randomized timeout of a follower.
func TestLeaderStaysDuringOwnSlowWrite(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	term := net.node(leader).Status().Term
	for range 5 {
		ready := net.startWrite(leader)
		held := net.runDuringWrite(leader, 2*testElectionTicks)
		net.endWrite(leader, ready, 2*testElectionTicks, held)
		net.settle()
		status := net.node(leader).Status()
		if status.Role != RoleLeader || status.Term != term || !status.QuorumActive {
			t.Fatalf("%v in term %d, led term %d; quorum active %v", status.Role, status.Term, term, status.QuorumActive)
		}
		if status.Commit < ready.Entries[len(ready.Entries)-1].Index {
			t.Errorf("commit index %d after the write of %d", status.Commit, ready.Entries[len(ready.Entries)-1].Index)
		}
	}
	net.checkNoViolations()
}

// TestLeaderWithHungWriteIsReplaced guards against a leader that never ends a write and keeps
// its followers from electing another. After the last heartbeat, followers wait for up to two
// election timeouts, and the election may take another one.
func TestLeaderWithHungWriteIsReplaced(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	ready := net.startWrite(leader)
	const ticks = (writeHeartbeatTimeouts + 3) * testElectionTicks
	held := net.runDuringWrite(leader, ticks)
	replaced := slices.ContainsFunc(net.others(leader), func(id MemberID) bool {
		return net.node(id).Status().Role == RoleLeader
	})
	if !replaced {
		t.Error("no other leader was elected")
	}
	net.endWrite(leader, ready, ticks, held)
	net.tick(testHeartbeatTicks)
	if role := net.node(leader).Status().Role; role != RoleFollower {
		t.Errorf("the old leader is %v after its write", role)
	}
	net.checkNoViolations()
}

// TestLeaderStepsDownAfterSlowWriteWithoutFollowers guards the check of the quorum: the ticks
// of a write are missed ticks, so the leader steps down neither during the write nor right
// after it, but after an election timeout without an answer.
func TestLeaderStepsDownAfterSlowWriteWithoutFollowers(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	ready := net.startWrite(leader)
	net.isolate(leader, true)
	held := net.runDuringWrite(leader, 2*testElectionTicks)
	net.endWrite(leader, ready, 2*testElectionTicks, held)
	if status := net.node(leader).Status(); status.Role != RoleLeader || status.QuorumActive || status.LeaseValid {
		t.Fatalf("after the write: %v, quorum active %v, lease valid %v", status.Role, status.QuorumActive, status.LeaseValid)
	}
	for range testElectionTicks {
		net.node(leader).Tick()
	}
	if status := net.node(leader).Status(); status.Role != RoleFollower || status.LastStepDown.Reason != StepDownQuorumLost {
		t.Errorf("%v an election timeout later, last step down %v", status.Role, status.LastStepDown.Reason)
	}
}

// TestHeartbeatsDuringWriteKeepInterval guards the number and the contents of a leader's
// heartbeats during a write, up to the bound and after the write.
func TestHeartbeatsDuringWriteKeepInterval(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	node := net.node(leader)
	node.heartbeatElapsed = 0
	before := node.Status()
	ready := net.startWrite(leader)
	var sentAt []uint64
	const ticks = 4 * testElectionTicks
	for tick := range ticks {
		for _, message := range node.HeartbeatsDuringWrite(tick + 1) {
			if message.Kind != MessageHeartbeat || message.From != leader || message.Term != before.Term || message.Commit > before.Commit {
				t.Errorf("%+v in term %d with commit index %d", message, before.Term, before.Commit)
			}
			sentAt = append(sentAt, message.SentTick-node.now)
		}
	}
	var want []uint64
	for tick := uint64(testHeartbeatTicks); tick <= 2*testElectionTicks; tick += testHeartbeatTicks {
		want = append(want, tick, tick) // two followers
	}
	if !slices.Equal(sentAt, want) {
		t.Errorf("heartbeats at ticks %v, want %v", sentAt, want)
	}
	if after := node.Status(); after.Commit != before.Commit || after.TicksSinceContact != before.TicksSinceContact {
		t.Errorf("the heartbeats changed %+v to %+v", before, after)
	}
	net.queue = nil
	net.endWrite(leader, ready, ticks, nil)
	heartbeats := 0
	for _, message := range node.Ready().Messages {
		if message.Kind == MessageHeartbeat {
			heartbeats++
		}
	}
	if heartbeats != 2 {
		t.Errorf("%d heartbeats at the first tick after the write, want 2", heartbeats)
	}
}

// TestNoHeartbeatsDuringWrite lists the states in which a heartbeat could claim a leadership
// that is not durable or not held.
func TestNoHeartbeatsDuringWrite(t *testing.T) {
	candidate := func(net *network) *Node {
		node := net.node(1)
		node.campaign(Message{})
		return node
	}
	elected := func(net *network) *Node {
		node := candidate(net)
		node.Advance(node.Ready())
		for _, id := range []MemberID{2, 3} {
			if err := node.Step(Message{Kind: MessageVoteReply, From: id, To: 1, Term: node.term}); err != nil {
				net.t.Fatal(err)
			}
		}
		return node
	}
	for _, row := range []struct {
		name    string
		writing func(*network) *Node
		due     int
	}{
		{"leader", func(net *network) *Node {
			node := net.node(net.elect())
			node.appendEntry(EntryNormal, nil)
			return node
		}, 2},
		{"term and vote not durable", candidate, 0},
		{"elected while the vote is not durable", func(net *network) *Node {
			node := candidate(net)
			node.becomeLeader()
			return node
		}, 0},
		{"leader change in the Ready", elected, 0},
		{"follower", func(net *network) *Node { return net.node(net.others(net.elect())[0]) }, 0},
		{"failed", func(net *network) *Node {
			node := net.node(net.elect())
			node.failed = ErrCommittedConflict
			return node
		}, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			node := row.writing(newNetwork(t, 3, nil))
			_ = node.Ready()
			if messages := node.HeartbeatsDuringWrite(testHeartbeatTicks); len(messages) != row.due {
				t.Errorf("%d heartbeats, want %d: %+v", len(messages), row.due, messages)
			}
		})
	}
}
