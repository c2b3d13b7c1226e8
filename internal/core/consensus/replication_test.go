package consensus

import (
	"errors"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// leaderOfThree returns member 1 as the leader of three in term 1, with its first Ready
// processed.
func leaderOfThree(t *testing.T, adjust func(*Config)) *Node {
	t.Helper()
	config := Config{ID: 1, ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks}
	if adjust != nil {
		adjust(&config)
	}
	node, err := New(config, Restored{Snapshot: Snapshot{Membership: Membership{Voters: []MemberID{1, 2, 3}}}})
	if err != nil {
		t.Fatal(err)
	}
	node.campaign(Message{})
	mustStep(t, node, Message{Kind: MessageVoteReply, From: 2, To: 1, Term: 1})
	node.Advance(node.Ready())
	return node
}

// acknowledge sends an append reply of a follower whose log is durable up to index.
func acknowledge(t *testing.T, node *Node, from MemberID, index uint64) {
	t.Helper()
	mustStep(t, node, Message{Kind: MessageAppendReply, From: from, To: 1, Term: 1, Index: index, SentTick: node.now})
}

// A leader's own copy counts only once it is durable, although its appends may be sent
// earlier.
func TestLeaderCountsItsCopyOnceDurable(t *testing.T) {
	node := leaderOfThree(t, nil)
	acknowledge(t, node, 2, 1)
	node.Advance(node.Ready())
	index, _, err := node.Propose([]byte("a"))
	if err != nil {
		t.Fatal(err)
	}
	ready := node.Ready()
	if len(ready.Messages) == 0 || !ready.MayPrecedeSync(ready.Messages[0]) {
		t.Error("append must wait for the leader's own sync")
	}
	acknowledge(t, node, 2, index)
	if node.Status().Commit >= index {
		t.Error("committed with one durable copy of three")
	}
	node.Advance(ready)
	if node.Status().Commit != index {
		t.Error("not committed with two durable copies")
	}
}

func TestVoteIsDurableBeforeItIsSent(t *testing.T) {
	node, err := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2}, Restored{Snapshot: Snapshot{Membership: Membership{Voters: []MemberID{1, 2, 3}}}})
	if err != nil {
		t.Fatal(err)
	}
	mustStep(t, node, Message{Kind: MessageVote, From: 2, To: 1, Term: 5, Transfer: true})
	ready := node.Ready()
	if ready.HardState == nil || ready.HardState.VotedFor != 2 || ready.HardState.Term != 5 || !ready.MustSync {
		t.Errorf("hard state %+v, must sync %v", ready.HardState, ready.MustSync)
	}
	if len(ready.Messages) != 1 || ready.Messages[0].Reject || ready.MayPrecedeSync(ready.Messages[0]) {
		t.Errorf("messages %+v", ready.Messages)
	}
	node.Advance(ready)
	mustStep(t, node, Message{Kind: MessageVote, From: 3, To: 1, Term: 5, Transfer: true})
	if reply := node.Ready().Messages[0]; !reply.Reject {
		t.Error("second vote in one term")
	}
}

// A candidate whose log is not up to date gets no vote (section 5.4.1).
func TestVoteNeedsUpToDateLog(t *testing.T) {
	cases := []struct {
		index, term uint64
		granted     bool
	}{{1, 1, false}, {3, 1, false}, {1, 2, false}, {2, 2, true}, {3, 2, true}, {1, 3, true}}
	for _, test := range cases {
		node, err := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2}, Restored{
			HardState: HardState{Term: 2}, Snapshot: Snapshot{Membership: Membership{Voters: []MemberID{1, 2, 3}}},
			Entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
		})
		if err != nil {
			t.Fatal(err)
		}
		mustStep(t, node, Message{Kind: MessageVote, From: 2, To: 1, Term: 9, Index: test.index, LogTerm: test.term, Transfer: true})
		if granted := !node.Ready().Messages[0].Reject; granted != test.granted {
			t.Errorf("log ends in (%d, term %d): granted %v", test.index, test.term, granted)
		}
	}
}

func TestLeaseEndsWithoutContact(t *testing.T) {
	node := leaderOfThree(t, nil)
	acknowledge(t, node, 2, 1)
	for elapsed := range testElectionTicks {
		if valid := node.Status().LeaseValid; valid != (uint64(elapsed) < node.config.leaseTicks()) {
			t.Errorf("%d ticks after contact: lease valid %v", elapsed, valid)
		}
		node.Tick()
	}
}

func TestWindowAndBatchesAreBounded(t *testing.T) {
	node := leaderOfThree(t, func(c *Config) { c.MaxInflight, c.MaxBatchBytes, c.MaxUncommitted = 4, 30, 100 })
	acknowledge(t, node, 2, 1)
	node.Advance(node.Ready())
	rejected := 0
	for range 200 {
		if _, _, err := node.Propose(make([]byte, 10)); errors.Is(err, ErrQueueFull) {
			rejected++
		}
	}
	if rejected != 100 {
		t.Errorf("%d proposals rejected, want 100", rejected)
	}
	sent, entries := 0, 0
	ready := node.Ready()
	for _, message := range ready.Messages {
		if message.Kind == MessageAppend && message.To == 2 {
			sent++
			entries += len(message.Entries)
		}
	}
	if sent != 4 || entries != 12 {
		t.Errorf("%d messages with %d entries, want 4 with 12", sent, entries)
	}
	if _, _, err := node.Propose(make([]byte, MaxEntryBytes+1)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("large entry: %v", err)
	}
}

func TestFollowerLogsConverge(t *testing.T) {
	// Figure 7 of the paper: followers that lack entries or have extra ones.
	terms := []uint64{1, 1, 1, 4, 4, 5, 5, 6, 6, 6}
	followers := map[string][]uint64{
		"a": {1, 1, 1, 4, 4, 5, 5, 6, 6}, "b": {1, 1, 1, 4}, "c": {1, 1, 1, 4, 4, 5, 5, 6, 6, 6, 6},
		"d": {1, 1, 1, 4, 4, 5, 5, 6, 6, 6, 7, 7}, "e": {1, 1, 1, 4, 4, 4, 4}, "f": {1, 1, 1, 2, 2, 2, 3, 3, 3, 3, 3},
	}
	membership := Membership{Voters: []MemberID{1, 2, 3}}
	build := func(terms []uint64) Restored {
		restored := Restored{HardState: HardState{Term: 7}, Snapshot: Snapshot{Membership: membership}}
		for i, term := range terms {
			restored.Entries = append(restored.Entries, Entry{Index: uint64(i) + 1, Term: term})
		}
		return restored
	}
	for name, followerTerms := range followers {
		net := newNetwork(t, 0, nil)
		for id, restored := range map[MemberID]Restored{1: build(terms), 2: build(followerTerms), 3: build(terms)} {
			member := net.add(id, Restored{Snapshot: restored.Snapshot})
			member.disk.hard, member.disk.entries = restored.HardState, restored.Entries
			net.start(id)
		}
		net.node(1).campaign(Message{Transfer: true})
		net.settle()
		if net.leader() != 1 {
			t.Errorf("follower %s: leader %d", name, net.leader())
			continue
		}
		net.propose(1, "x")
		if got, want := net.node(2).log.lastIndex(), net.node(1).log.lastIndex(); got != want || !net.node(2).log.matches(4, 4) {
			t.Errorf("follower %s: log ends at %d, leader's at %d", name, got, want)
		}
		net.checkNoViolations()
	}
}

func TestStepRefusesMalformedMessages(t *testing.T) {
	cases := map[string]Message{
		"other receiver": {Kind: MessageAppend, From: 2, To: 3, Term: 1},
		"no sender":      {Kind: MessageAppend, To: 1, Term: 1},
		"unknown kind":   {Kind: 99, From: 2, To: 1, Term: 1},
		"entries jump":   {Kind: MessageAppend, From: 2, To: 1, Term: 1, Entries: []Entry{{Index: 2, Term: 1}}},
		"entry of later term": {Kind: MessageAppend, From: 2, To: 1, Term: 1,
			Entries: []Entry{{Index: 1, Term: 2}}},
		"no chunk": {Kind: MessageSnapshotChunk, From: 2, To: 1, Term: 1},
		"chunk past its end": {Kind: MessageSnapshotChunk, From: 2, To: 1, Term: 1,
			Chunk: &SnapshotChunk{Index: 1, Term: 1, Data: []byte("x")}},
	}
	for name, message := range cases {
		node, err := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2}, Restored{Snapshot: Snapshot{Membership: Membership{Voters: []MemberID{1, 2, 3}}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := node.Step(message); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// FuzzStep passes arbitrary messages to a leader and a follower, which must reject or
// ignore invalid ones.
func FuzzStep(f *testing.F) {
	seeds := []Message{
		{Kind: MessageAppend, From: 2, To: 1, Term: 2, Entries: []Entry{{Index: 1, Term: 2, Data: []byte("x")}}},
		{Kind: MessageAppendReply, From: 2, To: 1, Term: 1, Index: 1},
		{Kind: MessageSnapshotChunk, From: 2, To: 1, Term: 2, Chunk: &SnapshotChunk{Index: 5, Term: 1, Membership: Membership{Voters: []MemberID{1, 2}}}},
		{Kind: MessageVote, From: 3, To: 1, Term: 3, Transfer: true},
		{Kind: MessageAppendReply, From: 3, To: 1, Term: 1, Reject: true, HintIndex: 9, HintTerm: 1},
	}
	for _, seed := range seeds {
		data, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
		f.Add(data, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, leads bool) {
		var message Message
		if cbor.Unmarshal(data, &message) != nil {
			return
		}
		node := leaderOfThree(t, nil)
		if !leads {
			node.becomeFollower(1, None)
		}
		_ = node.Step(message)
		for range 3 {
			if node.HasReady() {
				node.Advance(node.Ready())
			}
			node.Tick()
		}
	})
}

// A follower that lacks entries must report that it lags, as must a new leader that does
// not know the commit index yet.
func TestLaggingMembersReportLag(t *testing.T) {
	net := newNetwork(t, 3, nil)
	leader := net.elect()
	behind := net.others(leader)[0]
	net.filter = func(m Message) bool { return m.To != behind || m.Kind != MessageAppend }
	committed := net.propose(leader, "a")
	net.tick(testHeartbeatTicks)
	status := net.node(behind).Status()
	if !status.QuorumActive || status.Commit >= committed || status.Required < committed {
		t.Errorf("a follower without the entry at %d: %+v", committed, status)
	}
	net.filter = nil
	net.tick(testElectionTicks)
	if status := net.node(behind).Status(); status.Commit < status.Required {
		t.Errorf("not caught up: %+v", status)
	}
	net.crash(leader)
	net.filter = func(m Message) bool { return m.Kind != MessageAppendReply }
	for net.leader() == None || net.leader() == leader {
		net.tick(1)
	}
	if status := net.node(net.leader()).Status(); status.Required < committed+1 || status.Commit >= status.Required {
		t.Errorf("a leader before its first commit: %+v", status)
	}
}
