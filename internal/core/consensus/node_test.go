package consensus

import (
	"errors"
	"strings"
	"testing"
)

func TestElectsOneLeaderAndReplicates(t *testing.T) {
	for _, voters := range []int{1, 2, 3, 5} {
		net := newNetwork(t, voters, nil)
		leader := net.elect()
		net.propose(leader, "a")
		net.propose(leader, "b")
		net.tick(testHeartbeatTicks)
		net.sameState("ab", net.order...)
		net.noFaults()
	}
}

func TestNewLeaderAfterCrash(t *testing.T) {
	net := newNetwork(t, 3, nil)
	first := net.elect()
	net.propose(first, "a")
	net.crash(first)
	second := net.elect()
	if second == first {
		t.Fatalf("crashed member %d leads", first)
	}
	net.propose(second, "b")
	net.start(first)
	net.tick(3 * testElectionTicks)
	net.sameState("ab", net.order...)
	net.noFaults()
}

// A member cut off appends entries that never commit; they give way to the
// ones that did.
func TestUncommittedEntriesGiveWay(t *testing.T) {
	net := newNetwork(t, 3, nil)
	old := net.elect()
	net.isolate(old, true)
	net.propose(old, "lost")
	next := None
	for next == None || next == old {
		net.tick(1)
		next = net.leader()
	}
	net.propose(next, "kept")
	net.isolate(old, false)
	net.tick(3 * testElectionTicks)
	net.sameState("kept", net.order...)
	net.noFaults()
}

func TestNewRefusesInconsistentState(t *testing.T) {
	three := Membership{Voters: []MemberID{1, 2, 3}}
	entry := func(index, term uint64) Entry { return Entry{Index: index, Term: term} }
	cases := map[string]Restored{
		"gap":              {HardState: HardState{Term: 1}, Snapshot: Snapshot{Membership: three}, Entries: []Entry{entry(2, 1)}},
		"term falls":       {HardState: HardState{Term: 2}, Snapshot: Snapshot{Membership: three}, Entries: []Entry{entry(1, 2), entry(2, 1)}},
		"term behind log":  {HardState: HardState{Term: 1}, Snapshot: Snapshot{Membership: three}, Entries: []Entry{entry(1, 2)}},
		"commit past end":  {HardState: HardState{Term: 1, Commit: 2}, Snapshot: Snapshot{Membership: three}, Entries: []Entry{entry(1, 1)}},
		"vote, no term":    {HardState: HardState{VotedFor: 2}, Snapshot: Snapshot{Membership: three}},
		"duplicate member": {Snapshot: Snapshot{Membership: Membership{Voters: []MemberID{1, 1}}}},
		"no voters":        {HardState: HardState{Term: 1}, Snapshot: Snapshot{Index: 4, Term: 1}},
		"learners only":    {Snapshot: Snapshot{Membership: Membership{Learners: []MemberID{1}}}},
		"bad membership entry": {HardState: HardState{Term: 1}, Snapshot: Snapshot{Membership: three},
			Entries: []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Data: []byte{0xff}}}},
	}
	for name, restored := range cases {
		_, err := New(Config{ID: 1, ElectionTicks: 10, HeartbeatTicks: 2}, restored)
		var typed *InconsistentError
		if !errors.Is(err, ErrInconsistent) || !errors.As(err, &typed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := New(Config{ElectionTicks: 10, HeartbeatTicks: 2}, Restored{}); !errors.Is(err, ErrConfig) {
		t.Errorf("config without id: error %v", err)
	}
}

func TestSnapshotInChunksAfterCompaction(t *testing.T) {
	net := newNetwork(t, 3, func(c *Config) { c.SnapshotChunkBytes = 7 })
	leader := net.elect()
	behind := net.order[0]
	if behind == leader {
		behind = net.order[1]
	}
	net.crash(behind)
	for i := range 50 {
		net.propose(leader, string(rune('a'+i%26)))
	}
	member := net.members[leader]
	snapshot, err := member.node.BuildSnapshot(member.applied, append([]byte(nil), member.state...))
	if err != nil {
		t.Fatal(err)
	}
	member.disk.install(snapshot)
	if err := member.node.Compact(snapshot); err != nil {
		t.Fatal(err)
	}
	net.propose(leader, "!")
	chunks := 0
	net.oneHop = func(m Message) bool {
		if m.Kind == MessageSnapshotChunk {
			chunks++
			return chunks%3 != 0 // every third chunk is lost
		}
		return true
	}
	net.start(behind)
	net.tick(20 * testElectionTicks)
	net.sameState(string(member.state), net.order...)
	if chunks < 8 {
		t.Errorf("%d chunks, want at least 8", chunks)
	}
	if !strings.HasSuffix(string(net.members[behind].state), "!") {
		t.Errorf("state %q lacks the entry after the snapshot", net.members[behind].state)
	}
	net.noFaults()
}
