package consensus

import (
	"bytes"
	"fmt"
	"slices"
)

const (
	testElectionTicks  = 10
	testHeartbeatTicks = 2
)

// disk holds the state of a test member that survives a crash.
type disk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

// persist stores a Ready as the log storage does.
func (d *disk) persist(ready Ready) {
	if snapshot := ready.Snapshot; snapshot != nil {
		d.install(*snapshot)
	}
	for _, entry := range ready.Entries {
		if keep := entry.Index - d.snapshot.Index - 1; keep < uint64(len(d.entries)) {
			d.entries = d.entries[:keep:keep]
		}
		d.entries = append(d.entries, entry)
	}
	if ready.HardState != nil {
		d.hard = *ready.HardState
	}
}

func (d *disk) install(snapshot Snapshot) {
	offset := int(snapshot.Index - d.snapshot.Index)
	matches := offset > 0 && offset <= len(d.entries) && d.entries[offset-1].Term == snapshot.Term
	if matches {
		d.entries = slices.Clone(d.entries[offset:])
	} else {
		d.entries = nil
	}
	d.snapshot = snapshot
}

// testMember is a Node with its disk and a state machine that records the applied
// commands.
type testMember struct {
	node    *Node
	disk    disk
	state   []byte
	applied uint64
	reads   []ReadState
	// skipSync discards writes, as if the sync were missing.
	skipSync bool
	down     bool
}

// reporter is the common part of testing.TB and rapid.T that network uses.
type reporter interface {
	Helper()
	Error(arguments ...any)
	Errorf(format string, arguments ...any)
	Fatal(arguments ...any)
	Fatalf(format string, arguments ...any)
}

// network is a group of members in one process, driven by the test.
type network struct {
	t          reporter
	config     Config
	members    map[MemberID]*testMember
	order      []MemberID
	queue      []Message
	blocked    map[[2]MemberID]bool
	filter     func(Message) bool
	leaders    map[uint64]MemberID
	history    map[uint64]Entry
	violations []string
}

func newNetwork(t reporter, voters int, adjust func(*Config)) *network {
	t.Helper()
	net := &network{
		t: t, config: Config{ElectionTicks: testElectionTicks, HeartbeatTicks: testHeartbeatTicks, Seed: 42},
		members: map[MemberID]*testMember{}, blocked: map[[2]MemberID]bool{},
		leaders: map[uint64]MemberID{}, history: map[uint64]Entry{},
	}
	if adjust != nil {
		adjust(&net.config)
	}
	var membership Membership
	for id := MemberID(1); id <= MemberID(voters); id++ {
		membership.Voters = append(membership.Voters, id)
	}
	for _, id := range membership.Voters {
		net.add(id, Restored{Snapshot: Snapshot{Membership: membership}})
	}
	return net
}

func (net *network) add(id MemberID, restored Restored) *testMember {
	member := &testMember{disk: disk{snapshot: restored.Snapshot}}
	net.members[id] = member
	net.order = append(net.order, id)
	net.start(id)
	return member
}

func (net *network) start(id MemberID) {
	net.t.Helper()
	member := net.members[id]
	config := net.config
	config.ID = id
	node, err := New(config, Restored{HardState: member.disk.hard, Snapshot: member.disk.snapshot, Entries: member.disk.entries})
	if err != nil {
		net.reportViolation("start member %d: %v", id, err)
		return
	}
	member.node, member.down = node, false
	member.state, member.applied = bytes.Clone(member.disk.snapshot.Data), member.disk.snapshot.Index
	member.reads = nil
}

func (net *network) reportViolation(format string, arguments ...any) {
	net.violations = append(net.violations, fmt.Sprintf(format, arguments...))
}

func (net *network) crash(id MemberID) {
	net.members[id].down = true
}

func (net *network) isolate(id MemberID, isolated bool) {
	for _, other := range net.order {
		net.blocked[[2]MemberID{id, other}] = isolated
		net.blocked[[2]MemberID{other, id}] = isolated
	}
}

// settle processes Readys and delivers messages until none are left.
func (net *network) settle() {
	for range 10000 {
		net.processAll()
		if len(net.queue) == 0 {
			return
		}
		message := net.queue[0]
		net.queue = net.queue[1:]
		net.deliver(message)
	}
	net.t.Fatal("network does not settle")
}

func (net *network) processAll() {
	for _, id := range net.order {
		for !net.members[id].down && net.members[id].node.HasReady() {
			net.processReady(id)
		}
	}
}

func (net *network) processReady(id MemberID) {
	member := net.members[id]
	net.finishReady(id, member.node.Ready())
}

// finishReady writes a Ready, sends its messages and applies it.
func (net *network) finishReady(id MemberID, ready Ready) {
	member := net.members[id]
	if !member.skipSync {
		member.disk.persist(ready)
	}
	net.queue = append(net.queue, ready.Messages...)
	if ready.Snapshot != nil {
		member.state, member.applied = bytes.Clone(ready.Snapshot.Data), ready.Snapshot.Index
	}
	for _, entry := range ready.Committed {
		net.apply(id, entry)
	}
	member.reads = append(member.reads, ready.ReadStates...)
	member.node.Advance(ready)
	net.checkLeader(id)
}

func (net *network) apply(id MemberID, entry Entry) {
	member := net.members[id]
	if entry.Index != member.applied+1 {
		net.reportViolation("member %d applied %d after %d", id, entry.Index, member.applied)
	}
	member.applied = entry.Index
	existing, ok := net.history[entry.Index]
	if ok && (existing.Term != entry.Term || !bytes.Equal(existing.Data, entry.Data)) {
		net.reportViolation("member %d committed entry (%d, term %d), another member one of term %d", id, entry.Index, entry.Term, existing.Term)
	}
	net.history[entry.Index] = entry
	if entry.Kind == EntryNormal {
		member.state = append(member.state, entry.Data...)
	}
}

func (net *network) checkLeader(id MemberID) {
	status := net.members[id].node.Status()
	if status.Role != RoleLeader {
		return
	}
	if other, ok := net.leaders[status.Term]; ok && other != id {
		net.reportViolation("members %d and %d both lead term %d", other, id, status.Term)
	}
	net.leaders[status.Term] = id
}

func (net *network) deliver(message Message) {
	member := net.members[message.To]
	if member == nil || member.down || net.blocked[[2]MemberID{message.From, message.To}] {
		return
	}
	if net.filter != nil && !net.filter(message) {
		return
	}
	if err := member.node.Step(message); err != nil {
		net.reportViolation("member %d, %v from %d: %v", message.To, message.Kind, message.From, err)
	}
}

func (net *network) tick(count int) {
	for range count {
		for _, id := range net.order {
			if !net.members[id].down {
				net.members[id].node.Tick()
			}
		}
		net.settle()
	}
}

// leader returns the leader of the highest term.
func (net *network) leader() MemberID {
	best, term := None, uint64(0)
	for _, id := range net.order {
		status := net.members[id].node.Status()
		if !net.members[id].down && status.Role == RoleLeader && status.Term >= term {
			best, term = id, status.Term
		}
	}
	return best
}

func (net *network) elect() MemberID {
	net.t.Helper()
	for range 20 * testElectionTicks {
		net.tick(1)
		if id := net.leader(); id != None {
			net.tick(testHeartbeatTicks)
			return id
		}
	}
	net.t.Fatal("no leader elected")
	return None
}

func (net *network) node(id MemberID) *Node {
	return net.members[id].node
}

func (net *network) propose(id MemberID, data string) uint64 {
	net.t.Helper()
	index, _, err := net.node(id).Propose([]byte(data))
	if err != nil {
		net.t.Fatalf("propose on %d: %v", id, err)
	}
	net.settle()
	return index
}

func (net *network) checkNoViolations() {
	net.t.Helper()
	for _, violation := range net.violations {
		net.t.Error(violation)
	}
}

func (net *network) checkState(want string, ids ...MemberID) {
	net.t.Helper()
	for _, id := range ids {
		if got := string(net.members[id].state); got != want {
			net.t.Errorf("member %d: state %q, want %q", id, got, want)
		}
	}
}
