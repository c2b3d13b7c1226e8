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
		net.checkState("ab", net.order...)
		net.checkNoViolations()
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
	net.checkState("ab", net.order...)
	net.checkNoViolations()
}

// Entries appended by an isolated leader are replaced by committed ones.
func TestUncommittedEntriesAreReplaced(t *testing.T) {
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
	net.checkState("kept", net.order...)
	net.checkNoViolations()
}

func TestNewRefusesInconsistentState(t *testing.T) {
	three := Membership{Voters: []MemberID{1, 2, 3}}
	entry := func(index, term uint64) Entry { return Entry{Index: index, Term: term} }
	cases := map[string]Restored{
		"gap":              {HardState: HardState{Term: 1}, Snapshot: Snapshot{Membership: three}, Entries: []Entry{entry(2, 1)}},
		"term decreases":   {HardState: HardState{Term: 2}, Snapshot: Snapshot{Membership: three}, Entries: []Entry{entry(1, 2), entry(2, 1)}},
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

// newLaggingNetwork returns a network whose leader has compacted entries that the crashed
// member behind lacks. Snapshot chunks have 7 bytes.
func newLaggingNetwork(t *testing.T, configure func(*Config)) (net *network, leader, behind MemberID) {
	net = newNetwork(t, 3, func(c *Config) {
		c.SnapshotChunkBytes = 7
		configure(c)
	})
	leader = net.elect()
	behind = net.order[0]
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
	return net, leader, behind
}

func TestSnapshotInChunksAfterCompaction(t *testing.T) {
	third := func(chunk int) bool { return chunk%3 == 0 }
	// With a large window, dropping every third chunk might always hit the same one.
	scattered := func(chunk int) bool { return uint32(chunk)*2654435761>>16%3 == 0 }
	for window, lost := range map[int]func(chunk int) bool{0: third, 1: third, 2: third, 100: scattered} {
		net, leader, behind := newLaggingNetwork(t, func(c *Config) { c.SnapshotWindow = window })
		chunks := 0
		net.filter = func(m Message) bool {
			if m.Kind == MessageSnapshotChunk {
				chunks++
				return !lost(chunks)
			}
			return true
		}
		net.start(behind)
		net.tick(20 * testElectionTicks)
		net.checkState(string(net.members[leader].state), net.order...)
		if chunks < 8 {
			t.Errorf("window %d: %d chunks, want at least 8", window, chunks)
		}
		if !strings.HasSuffix(string(net.members[behind].state), "!") {
			t.Errorf("window %d: state %q lacks the entry after the snapshot", window, net.members[behind].state)
		}
		net.checkNoViolations()
	}
}

// The leader sends no more chunks than the window before the first acknowledgement, and
// none twice unless one is lost.
func TestChunksAreSentAheadWithinTheWindow(t *testing.T) {
	for _, window := range []int{1, 3} {
		net, leader, behind := newLaggingNetwork(t, func(c *Config) { c.SnapshotWindow = window })
		total := uint64(len(net.members[leader].node.snapshot.Data))
		sentEnd, maxPending, sent := uint64(0), uint64(0), map[uint64]int{}
		net.filter = func(m Message) bool {
			switch m.Kind {
			case MessageSnapshotChunk:
				sent[m.Chunk.Offset]++
				sentEnd = max(sentEnd, m.Chunk.Offset+uint64(len(m.Chunk.Data)))
			case MessageSnapshotReply:
				if !m.Done {
					maxPending = max(maxPending, sentEnd-min(sentEnd, m.Offset))
				}
			}
			return true
		}
		net.start(behind)
		net.tick(4 * testElectionTicks)
		if maxPending > uint64(window*7) {
			t.Errorf("window %d: %d unacknowledged bytes", window, maxPending)
		}
		if parts := int(total+6) / 7; len(sent) != parts {
			t.Errorf("window %d: %d chunks, want %d", window, len(sent), parts)
		}
		for offset, times := range sent {
			if times != 1 {
				t.Errorf("window %d: chunk at offset %d was sent %d times", window, offset, times)
			}
		}
	}
}
