package groupmember_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/core/groupmember"
)

// The simulation runs a group in virtual time over a network that drops and delays
// messages. Machines crash, lose power or their disks, are isolated, paused, replaced and
// drained. Every acknowledged command must be in every later state, once, in one order.

const (
	electionTicks      = 8
	heartbeatTicks     = 2
	replaceTicks       = 58
	freeSlotTicks      = 25
	removeLearnerTicks = 333
)

// commandLog is a state machine that records the numbers of the applied commands.
type commandLog struct{ numbers []uint64 }

func (r *commandLog) Apply(_ uint64, command []byte) any {
	number := binary.BigEndian.Uint64(command)
	if slices.Contains(r.numbers, number) {
		return false
	}
	r.numbers = append(r.numbers, number)
	return true
}

func (r *commandLog) Snapshot() groupmember.Encoder {
	captured := slices.Clone(r.numbers)
	return func(into *bytes.Buffer) error { return cbor.NewEncoder(into).Encode(captured) }
}

func (r *commandLog) Restore(data []byte) error {
	r.numbers = nil
	return cbor.Unmarshal(data, &r.numbers)
}

// disk holds the durable state of a machine.
type disk struct {
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
}

func (d *disk) persist(ready consensus.Ready) {
	if ready.HardState != nil {
		d.hard = *ready.HardState
	}
	if ready.Snapshot != nil {
		d.snapshot = *ready.Snapshot
		d.entries = nil
	}
	for _, entry := range ready.Entries {
		keep := 0
		for keep < len(d.entries) && d.entries[keep].Index < entry.Index {
			keep++
		}
		d.entries = append(slices.Clone(d.entries[:keep]), entry)
	}
	d.hard.Commit = min(d.hard.Commit, d.last())
}

func (d *disk) last() uint64 {
	if count := len(d.entries); count > 0 {
		return d.entries[count-1].Index
	}
	return d.snapshot.Index
}

func (d *disk) compact(snapshot consensus.Snapshot) {
	d.snapshot = snapshot
	d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(entry consensus.Entry) bool { return entry.Index <= snapshot.Index })
}

// machine is a simulated machine that runs at most one member.
type machine struct {
	name          string
	incarnation   int
	id            consensus.MemberID // 0 while it has none
	founders      []groupmember.Record
	disk          *disk
	member        *groupmember.Member
	state         *commandLog
	downUntil     int
	isolatedUntil int
	// pausedUntil ends a pause, during which the machine does not run and its incoming
	// messages wait. missedTicks counts its member's ticks during the pause.
	pausedUntil   int
	missedTicks   int
	leaving       bool
	removed       bool
	changePending bool
	wiped         int
	// pendingSnapshot is a snapshot whose write finishes at snapshotDoneAt.
	pendingSnapshot *groupmember.Capture
	snapshotDoneAt  int
}

type delivery struct {
	at      int
	message consensus.Message
}

// reporter is the part of testing.T that the harness uses. A test that expects a violation
// passes its own.
type reporter interface {
	Helper()
	Logf(format string, arguments ...any)
	Fatalf(format string, arguments ...any)
}

type harness struct {
	t          reporter
	random     *rand.Rand
	now        int
	machines   []*machine
	inFlight   []delivery
	loss       float64
	lastNumber uint64
	// pending holds the unacknowledged numbers by member and token.
	pending             map[consensus.MemberID]map[uint64]uint64
	acknowledgedNumbers []uint64
	limits              groupmember.Limits
	lastWipe            int
	// snapshotEntries is the SnapshotEntries setting of members that start.
	snapshotEntries uint64
	// saveTicks is the duration of a snapshot write; staleSnapshots counts those discarded
	// because the leader had sent a later one.
	saveTicks      int
	staleSnapshots int
	// releaseData makes members release the data of their snapshots; provided counts how
	// often it was provided again.
	releaseData bool
	provided    int
	// chunkBytes is the snapshot chunk size, 0 the default. snapshotsWhileSending counts
	// the snapshots that a leader started while it was sending one.
	chunkBytes            int
	snapshotsWhileSending int
	// batchBytes is the MaxBatchBytes setting; 0 is the default.
	batchBytes int
	// connections deliver the messages in order, if set; otherwise each message may be lost,
	// and overtake others.
	connections *connections
	// safeguards are those of the members. With ignoreLog, the leader plans as if all learners
	// had the log; with awaitLog, it promotes none that lacks it.
	safeguards          consensus.Safeguards
	ignoreLog, awaitLog bool
}

func newHarness(t reporter, seed uint64, count, voters int) *harness {
	h := &harness{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), pending: map[consensus.MemberID]map[uint64]uint64{}, lastWipe: -1000, snapshotEntries: 40,
		limits: groupmember.Limits{Voters: voters, MinVoters: 3, Learners: groupmember.UnlimitedLearners, ReplaceTicks: replaceTicks, FreeSlotTicks: freeSlotTicks, RemoveLearnerTicks: removeLearnerTicks},
	}
	var founders []groupmember.Record
	for i := range 3 {
		founders = append(founders, groupmember.Record{ID: consensus.MemberID(i + 1), Address: fmt.Sprintf("m%d", i), Name: fmt.Sprintf("m%d", i)})
	}
	for i := range count {
		added := &machine{name: fmt.Sprintf("m%d", i), disk: &disk{}}
		if i < 3 {
			added.id, added.founders = founders[i].ID, founders
			added.disk.snapshot.Membership = consensus.Membership{Voters: []consensus.MemberID{1, 2, 3}}
		}
		h.machines = append(h.machines, added)
	}
	return h
}

func (h *harness) start(m *machine) {
	m.state = &commandLog{}
	member, err := groupmember.New(groupmember.Config{
		Consensus: consensus.Config{ID: m.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: h.random.Uint64(), RetainEntries: 8, MaxBatchBytes: h.batchBytes, SnapshotChunkBytes: h.chunkBytes, Safeguards: h.safeguards},
		Founders:  m.founders, SnapshotEntries: h.snapshotEntries,
	}, consensus.Restored{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}, m.state)
	if err != nil {
		h.t.Fatalf("tick %d: %s does not start: %v", h.now, m.name, err)
	}
	m.member = member
}

// stop stops the member, which loses all state that is not on its disk.
func (h *harness) stop(m *machine, ticks int) {
	m.member = nil
	if h.connections != nil {
		h.connections.reset(m.id)
	}
	m.pausedUntil, m.missedTicks = 0, 0
	m.changePending = false
	m.pendingSnapshot = nil
	m.downUntil = max(m.downUntil, h.now+ticks)
	delete(h.pending, m.id)
}

func (h *harness) wipe(m *machine) {
	m.disk = &disk{}
	m.id = 0
	m.founders = nil
	m.incarnation++
	m.wiped = h.now
	h.lastWipe = h.now
}

func (h *harness) up(m *machine) bool { return !m.removed && h.now >= m.downUntil }

func (h *harness) paused(m *machine) bool { return h.now < m.pausedUntil }

func (h *harness) leader() *machine {
	var leader *machine
	for _, m := range h.machines {
		if m.member != nil && !h.paused(m) && m.member.LeaderReady() && (leader == nil || m.member.Status().Term > leader.member.Status().Term) {
			leader = m
		}
	}
	return leader
}

// join makes a machine without an id a learner, or returns the id that it already has.
func (h *harness) join(m *machine) {
	leader := h.leader()
	if leader == nil || leader.isolatedUntil > h.now || m.isolatedUntil > h.now || m.leaving {
		return
	}
	status := leader.member.Status()
	incarnation := fmt.Sprint(m.incarnation)
	for _, existing := range leader.member.Directory() {
		if existing.Address == m.name && existing.Incarnation == incarnation && status.Membership.Contains(existing.ID) {
			m.id = existing.ID
			return
		}
	}
	if leader.changePending {
		return
	}
	if !groupmember.AcceptsLearner(status, leader.member.Directory(), h.leaving(), m.name, h.limits) {
		return
	}
	leader.changePending = true
	leader.member.ChangeMembership(0, consensus.AddLearner, groupmember.Record{
		ID: status.Membership.HighestID + 1, Address: m.name, Name: m.name, Incarnation: incarnation,
	})
}

func (h *harness) process(m *machine) {
	for m.member.HasReady() {
		ready := m.member.Ready()
		m.disk.persist(ready)
		for _, message := range ready.Messages {
			h.send(message)
		}
		if err := m.member.Advance(ready); err != nil {
			h.t.Fatalf("tick %d: %s: %v", h.now, m.name, err)
		}
	}
	for _, reply := range m.member.TakeReplies() {
		h.handleReply(m, reply)
	}
	h.save(m)
	if h.releaseData {
		h.releaseSnapshotData(m)
	}
	if m.member.Status().Role == consensus.RoleRemoved {
		h.stop(m, 1)
		m.disk, m.id, m.founders = &disk{}, 0, nil
		m.incarnation++
	}
}

func (h *harness) send(message consensus.Message) {
	switch {
	case h.connections != nil:
		h.connections.send(h.now, message)
	case h.random.Float64() >= h.loss:
		h.inFlight = append(h.inFlight, delivery{at: h.now + 1 + h.random.IntN(2), message: message})
	}
}

// save captures a snapshot once one is due, and compacts the log once the
// snapshot is written, unless the leader has sent a later one.
func (h *harness) save(m *machine) {
	if m.pendingSnapshot == nil && m.member.SnapshotDue() {
		capture, err := m.member.CaptureSnapshot()
		if err != nil {
			h.t.Fatalf("%v", err)
		}
		m.pendingSnapshot = &capture
		if m.member.SendingSnapshot() {
			h.snapshotsWhileSending++
		}
		m.snapshotDoneAt = h.now + h.saveTicks
	}
	if m.pendingSnapshot == nil || h.now < m.snapshotDoneAt {
		return
	}
	snapshot, err := m.pendingSnapshot.Encode()
	if err != nil {
		h.t.Fatalf("%v", err)
	}
	m.pendingSnapshot = nil
	if snapshot.Index <= m.disk.snapshot.Index {
		h.staleSnapshots++
		return
	}
	m.disk.compact(snapshot)
	if err := m.member.Compact(snapshot); err != nil {
		h.t.Fatalf("%v", err)
	}
}

// releaseSnapshotData releases the data of the member's newest snapshot, and provides it
// again some ticks after it is wanted.
func (h *harness) releaseSnapshotData(m *machine) {
	switch {
	case !m.member.SnapshotWanted():
		m.member.ReleaseSnapshot()
	case h.now%3 == 0:
		h.provided++
		m.member.ProvideSnapshot(m.disk.snapshot)
	}
}

func (h *harness) handleReply(m *machine, reply groupmember.Reply) {
	if reply.Token == 0 {
		m.changePending = false
		return
	}
	number := h.pending[m.id][reply.Token]
	delete(h.pending[m.id], reply.Token)
	if reply.Err == nil && number != 0 {
		h.acknowledgedNumbers = append(h.acknowledgedNumbers, number)
	}
}

func (h *harness) propose(m *machine) {
	h.lastNumber++
	if h.pending[m.id] == nil {
		h.pending[m.id] = map[uint64]uint64{}
	}
	h.pending[m.id][h.lastNumber] = h.lastNumber
	m.member.Propose(h.lastNumber, binary.BigEndian.AppendUint64(nil, h.lastNumber))
}

func (h *harness) plan(m *machine) {
	m.member.ProposeDirectory()
	if m.changePending {
		return
	}
	status := m.member.Status()
	for i := range status.Progress {
		peer := &status.Progress[i]
		peer.CaughtUp = peer.CaughtUp || h.ignoreLog && peer.Answered
		peer.Answered = peer.Answered && (peer.CaughtUp || !h.awaitLog)
	}
	change, due := groupmember.Plan(status, m.member.Directory(), h.leaving(), h.limits)
	if !due {
		return
	}
	if change.Transfer {
		for _, peer := range m.member.Status().Progress {
			if !peer.Learner && peer.Active {
				_ = m.member.TransferTo(peer.ID)
				return
			}
		}
		return
	}
	m.changePending = true
	m.member.ChangeMembership(0, change.Kind, groupmember.Record{ID: change.Member})
}

// leaving returns the names of the machines that are being drained.
func (h *harness) leaving() map[string]bool {
	leaving := map[string]bool{}
	for _, m := range h.machines {
		if m.leaving {
			leaving[m.name] = true
		}
	}
	return leaving
}

func (h *harness) machineOf(id consensus.MemberID) *machine {
	for _, m := range h.machines {
		if m.id == id && m.member != nil {
			return m
		}
	}
	return nil
}

func (h *harness) tick() {
	h.now++
	for _, m := range h.machines {
		switch {
		case !h.up(m):
		case h.paused(m):
			m.missedTicks++
		case m.member != nil:
			m.member.TickMissed(m.missedTicks)
			m.missedTicks = 0
			m.member.Tick()
			h.process(m)
		case m.id == 0:
			h.join(m)
		default:
			h.start(m)
			h.process(m)
		}
	}
	h.deliver()
	if leader := h.leader(); leader != nil {
		h.plan(leader)
		if h.random.IntN(2) == 0 {
			h.propose(leader)
		}
		h.process(leader)
	}
}

func (h *harness) deliver() {
	due := h.inFlight
	h.inFlight = nil
	h.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	if h.connections != nil {
		due = append(due, h.connections.receive(h.now)...)
	}
	for _, next := range due {
		if next.at > h.now {
			h.inFlight = append(h.inFlight, next)
			continue
		}
		from, to := h.machineOf(next.message.From), h.machineOf(next.message.To)
		if to == nil || to.isolatedUntil > h.now || (from != nil && from.isolatedUntil > h.now) {
			continue
		}
		if h.paused(to) {
			h.inFlight = append(h.inFlight, delivery{at: to.pausedUntil, message: next.message})
			continue
		}
		if err := to.member.Step(next.message); err != nil && to.member != nil {
			h.t.Logf("tick %d: %s: %v", h.now, to.name, err)
		}
		h.process(to)
	}
}

// injectFault injects a random fault. Disks are lost only while the group is healthy.
func (h *harness) injectFault() {
	m := h.machines[h.random.IntN(len(h.machines))]
	if m.removed {
		return
	}
	switch h.random.IntN(11) {
	case 0, 1:
		h.stop(m, 1+h.random.IntN(40))
	case 2:
		m.isolatedUntil = h.now + 10 + h.random.IntN(60)
	case 3:
		for _, each := range h.machines {
			h.stop(each, 1+h.random.IntN(12))
		}
	case 4:
		h.loss = h.random.Float64() * 0.2
	case 5:
		h.loss = 0
	case 6:
		if h.healthy() {
			h.stop(m, 5+h.random.IntN(20))
			h.wipe(m)
		}
	case 7:
		if h.healthy() && len(h.machines) < 9 {
			h.stop(m, 1)
			m.removed = true
			h.lastWipe = h.now
			h.machines = append(h.machines, &machine{name: fmt.Sprintf("m%d", len(h.machines)), disk: &disk{}})
		}
	case 8:
		if leader := h.leader(); leader != nil && leader.isolatedUntil <= h.now {
			h.stop(leader, 3)
			if h.healthy() {
				h.wipe(leader)
			}
		}
	case 9:
		h.pause(m, 1+h.random.IntN(60))
	case 10:
		ticks := 1 + h.random.IntN(30)
		for _, each := range h.machines {
			h.pause(each, ticks)
		}
	}
}

// pause pauses a machine that runs a member.
func (h *harness) pause(m *machine, ticks int) {
	if m.member != nil {
		m.pausedUntil = h.now + 1 + ticks
	}
}

// healthy reports whether the group has enough voters, all active and caught up: only
// then may another disk be lost.
func (h *harness) healthy() bool {
	leader := h.leader()
	if leader == nil {
		return false
	}
	status := leader.member.Status()
	if len(status.Membership.Voters) < 3 {
		return false
	}
	for _, peer := range status.Progress {
		if !peer.Learner && (!peer.Active || peer.Match < status.Commit) {
			return false
		}
	}
	return true
}

// check compares all states with each other and with the acknowledged commands.
func (h *harness) check() {
	var longest []uint64
	for _, m := range h.machines {
		if m.member != nil && len(m.state.numbers) > len(longest) {
			longest = m.state.numbers
		}
	}
	for _, m := range h.machines {
		if m.member == nil {
			continue
		}
		if !slices.Equal(m.state.numbers, longest[:len(m.state.numbers)]) {
			h.t.Fatalf("tick %d: %s has a different order", h.now, m.name)
		}
	}
	found := make(map[uint64]bool, len(longest))
	for _, number := range longest {
		found[number] = true
	}
	for _, number := range h.acknowledgedNumbers {
		if !found[number] {
			h.t.Fatalf("tick %d: acknowledged command %d is lost", h.now, number)
		}
	}
}

func (h *harness) heal(ticks int) {
	h.loss = 0
	for _, m := range h.machines {
		m.isolatedUntil = 0
		m.pausedUntil = min(m.pausedUntil, h.now+1)
		m.downUntil = min(m.downUntil, h.now+5)
	}
	for range ticks {
		h.tick()
	}
}

func TestAcknowledgedCommandsSurviveFaults(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 10
	}
	testNoAcknowledgedLoss(t, seeds, 0)
}

// No acknowledged command may be lost if a member stops or receives a later snapshot while
// its captured snapshot is being written.
func TestAcknowledgedCommandsSurviveSnapshotWrites(t *testing.T) {
	const seeds, saveTicks = 15, 30
	testNoAcknowledgedLoss(t, seeds, saveTicks)
}

// testNoAcknowledgedLoss runs simulations in which a snapshot write takes saveTicks.
func testNoAcknowledgedLoss(t *testing.T, seeds uint64, saveTicks int) {
	acknowledged, staleSnapshots, provided := 0, 0, 0
	for seed := range seeds {
		h := newHarness(t, seed, 3+int(seed%3), 3+2*int(seed%2))
		h.saveTicks, h.releaseData = saveTicks, saveTicks > 0
		for round := range 60 {
			for range 15 + h.random.IntN(40) {
				h.tick()
			}
			h.injectFault()
			if round%20 == 19 {
				h.heal(150)
				h.check()
			}
		}
		h.heal(400)
		h.check()
		leader := h.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader after the faults ended", seed)
		}
		if voters := len(leader.member.Status().Membership.Voters); voters < 3 {
			t.Errorf("seed %d: %d voters at the end", seed, voters)
		}
		before := len(h.acknowledgedNumbers)
		for range 50 {
			h.tick()
		}
		if len(h.acknowledgedNumbers) == before {
			t.Errorf("seed %d: no command acknowledged after the faults ended", seed)
		}
		acknowledged += len(h.acknowledgedNumbers)
		staleSnapshots += h.staleSnapshots
		provided += h.provided
	}
	t.Logf("%d commands acknowledged over %d seeds, %d snapshots discarded, %d provided again", acknowledged, seeds, staleSnapshots, provided)
	if saveTicks > 0 && provided == 0 {
		t.Error("no released snapshot was provided again")
	}
}

func TestDrainedMachineIsRemovedWithoutLoss(t *testing.T) {
	for seed := range uint64(20) {
		h := newHarness(t, seed, 4, 3)
		for range 200 {
			h.tick()
		}
		target := h.machines[int(seed)%3]
		target.leaving = true
		drained := func() bool {
			leader := h.leader()
			if leader == nil {
				return false
			}
			names := map[string]bool{}
			// The directory loses a member once its removal is committed.
			for _, existing := range leader.member.Directory() {
				names[existing.Name] = true
			}
			return !names[target.name] && len(leader.member.Status().Membership.Voters) == 3
		}
		for range 200 {
			if h.tick(); drained() {
				break
			}
		}
		if !drained() {
			t.Fatalf("seed %d: the machine is still a member after 200 ticks", seed)
		}
		h.stop(target, 1)
		target.removed = true
		lost := h.machines[(int(seed)+1)%3]
		h.stop(lost, 5)
		h.wipe(lost)
		h.heal(300)
		h.check()
		if h.leader() == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
	}
}

func TestWipedMachineRejoinsUnderNewID(t *testing.T) {
	h := newHarness(t, 5, 3, 3)
	for range 200 {
		h.tick()
	}
	lost := h.machines[1]
	h.stop(lost, 10)
	h.wipe(lost)
	for range 200 {
		h.tick()
	}
	leader := h.leader()
	if leader == nil {
		t.Fatal("no leader")
	}
	voters := leader.member.Status().Membership.Voters
	if slices.Contains(voters, consensus.MemberID(2)) || len(voters) != 3 {
		t.Errorf("voters %v: the id that lost its disk must be removed and the machine must return under another one", voters)
	}
	if got := slices.Sorted(maps.Keys(map[string]bool{lost.name: true})); lost.id <= 3 {
		t.Errorf("%v returned as %d", got, lost.id)
	}
}

// A joining member that reads the complete log must not make a snapshot before the entry
// that added it: it does not know the membership before that entry.
func TestJoiningMemberTakesNoSnapshotBeforeItsAddition(t *testing.T) {
	h := newHarness(t, 3, 3, 3)
	h.snapshotEntries, h.batchBytes = 100000, 100
	for range 300 {
		h.tick()
	}
	added := &machine{name: "m3", disk: &disk{}}
	h.machines = append(h.machines, added)
	h.snapshotEntries = 20
	h.heal(100)
	if added.member == nil || len(added.state.numbers) == 0 {
		t.Fatal("the machine did not join")
	}
	h.check()
}
