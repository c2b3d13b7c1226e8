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
	electionTicks  = 8
	heartbeatTicks = 2
	replaceTicks   = 58
	vacantTicks    = 25
	forgetTicks    = 333
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

// machine runs at most one member.
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

type world struct {
	t          *testing.T
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
}

func newWorld(t *testing.T, seed uint64, count, voters int) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 7)), pending: map[consensus.MemberID]map[uint64]uint64{}, lastWipe: -1000, snapshotEntries: 40,
		limits: groupmember.Limits{Voters: voters, MinVoters: 3, Learners: groupmember.UnlimitedLearners, ReplaceTicks: replaceTicks, FreeSlotTicks: vacantTicks, RemoveLearnerTicks: forgetTicks},
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
		w.machines = append(w.machines, added)
	}
	return w
}

func (w *world) start(m *machine) {
	m.state = &commandLog{}
	member, err := groupmember.New(groupmember.Config{
		Consensus: consensus.Config{ID: m.id, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, Seed: w.random.Uint64(), RetainEntries: 8, MaxBatchBytes: w.batchBytes, SnapshotChunkBytes: w.chunkBytes},
		Founders:  m.founders, SnapshotEntries: w.snapshotEntries,
	}, consensus.Restored{HardState: m.disk.hard, Snapshot: m.disk.snapshot, Entries: slices.Clone(m.disk.entries)}, m.state)
	if err != nil {
		w.t.Fatalf("tick %d: %s does not start: %v", w.now, m.name, err)
	}
	m.member = member
}

// stop stops the member, which loses all that is not on its disk.
func (w *world) stop(m *machine, ticks int) {
	m.member = nil
	m.pausedUntil, m.missedTicks = 0, 0
	m.changePending = false
	m.pendingSnapshot = nil
	m.downUntil = max(m.downUntil, w.now+ticks)
	delete(w.pending, m.id)
}

func (w *world) wipe(m *machine) {
	m.disk = &disk{}
	m.id = 0
	m.founders = nil
	m.incarnation++
	m.wiped = w.now
	w.lastWipe = w.now
}

func (w *world) up(m *machine) bool { return !m.removed && w.now >= m.downUntil }

func (w *world) paused(m *machine) bool { return w.now < m.pausedUntil }

func (w *world) leader() *machine {
	var leader *machine
	for _, m := range w.machines {
		if m.member != nil && !w.paused(m) && m.member.LeaderReady() && (leader == nil || m.member.Status().Term > leader.member.Status().Term) {
			leader = m
		}
	}
	return leader
}

// join makes a machine without an id a learner, or returns the id that it already has.
func (w *world) join(m *machine) {
	leader := w.leader()
	if leader == nil || leader.changePending || leader.isolatedUntil > w.now || m.isolatedUntil > w.now || m.leaving {
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
	if !groupmember.AcceptsLearner(status, leader.member.Directory(), w.leaving(), m.name, w.limits) {
		return
	}
	leader.changePending = true
	leader.member.ChangeMembership(0, consensus.AddLearner, groupmember.Record{
		ID: status.Membership.HighestID + 1, Address: m.name, Name: m.name, Incarnation: incarnation,
	})
}

func (w *world) process(m *machine) {
	for m.member.HasReady() {
		ready := m.member.Ready()
		m.disk.persist(ready)
		for _, message := range ready.Messages {
			if w.random.Float64() >= w.loss {
				w.inFlight = append(w.inFlight, delivery{at: w.now + 1 + w.random.IntN(2), message: message})
			}
		}
		if err := m.member.Advance(ready); err != nil {
			w.t.Fatalf("tick %d: %s: %v", w.now, m.name, err)
		}
	}
	for _, reply := range m.member.TakeReplies() {
		w.handleReply(m, reply)
	}
	w.save(m)
	if w.releaseData {
		w.releaseSnapshotData(m)
	}
	if m.member.Status().Role == consensus.RoleRemoved {
		w.stop(m, 1)
		m.disk, m.id, m.founders = &disk{}, 0, nil
		m.incarnation++
	}
}

// save captures a snapshot once one is due, and compacts the log once the
// snapshot is written, unless the leader has sent a later one.
func (w *world) save(m *machine) {
	if m.pendingSnapshot == nil && m.member.SnapshotDue() {
		capture, err := m.member.CaptureSnapshot()
		if err != nil {
			w.t.Fatal(err)
		}
		m.pendingSnapshot = &capture
		if m.member.SendingSnapshot() {
			w.snapshotsWhileSending++
		}
		m.snapshotDoneAt = w.now + w.saveTicks
	}
	if m.pendingSnapshot == nil || w.now < m.snapshotDoneAt {
		return
	}
	snapshot, err := m.pendingSnapshot.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	m.pendingSnapshot = nil
	if snapshot.Index <= m.disk.snapshot.Index {
		w.staleSnapshots++
		return
	}
	m.disk.compact(snapshot)
	if err := m.member.Compact(snapshot); err != nil {
		w.t.Fatal(err)
	}
}

// releaseSnapshotData releases the data of the member's newest snapshot, and provides it
// again some ticks after it is wanted.
func (w *world) releaseSnapshotData(m *machine) {
	switch {
	case !m.member.SnapshotWanted():
		m.member.ReleaseSnapshot()
	case w.now%3 == 0:
		w.provided++
		m.member.ProvideSnapshot(m.disk.snapshot)
	}
}

func (w *world) handleReply(m *machine, reply groupmember.Reply) {
	if reply.Token == 0 {
		m.changePending = false
		return
	}
	number := w.pending[m.id][reply.Token]
	delete(w.pending[m.id], reply.Token)
	if reply.Err == nil && number != 0 {
		w.acknowledgedNumbers = append(w.acknowledgedNumbers, number)
	}
}

func (w *world) propose(m *machine) {
	w.lastNumber++
	if w.pending[m.id] == nil {
		w.pending[m.id] = map[uint64]uint64{}
	}
	w.pending[m.id][w.lastNumber] = w.lastNumber
	m.member.Propose(w.lastNumber, binary.BigEndian.AppendUint64(nil, w.lastNumber))
}

func (w *world) plan(m *machine) {
	m.member.ProposeDirectory()
	if m.changePending {
		return
	}
	change, due := groupmember.Plan(m.member.Status(), m.member.Directory(), w.leaving(), w.limits)
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
func (w *world) leaving() map[string]bool {
	leaving := map[string]bool{}
	for _, m := range w.machines {
		if m.leaving {
			leaving[m.name] = true
		}
	}
	return leaving
}

func (w *world) machineOf(id consensus.MemberID) *machine {
	for _, m := range w.machines {
		if m.id == id && m.member != nil {
			return m
		}
	}
	return nil
}

func (w *world) tick() {
	w.now++
	for _, m := range w.machines {
		switch {
		case !w.up(m):
		case w.paused(m):
			m.missedTicks++
		case m.member != nil:
			m.member.TickMissed(m.missedTicks)
			m.missedTicks = 0
			m.member.Tick()
			w.process(m)
		case m.id == 0:
			w.join(m)
		default:
			w.start(m)
			w.process(m)
		}
	}
	w.deliver()
	if leader := w.leader(); leader != nil {
		w.plan(leader)
		if w.random.IntN(2) == 0 {
			w.propose(leader)
		}
		w.process(leader)
	}
}

func (w *world) deliver() {
	due := w.inFlight
	w.inFlight = nil
	w.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, mail := range due {
		if mail.at > w.now {
			w.inFlight = append(w.inFlight, mail)
			continue
		}
		from, to := w.machineOf(mail.message.From), w.machineOf(mail.message.To)
		if to == nil || to.isolatedUntil > w.now || (from != nil && from.isolatedUntil > w.now) {
			continue
		}
		if w.paused(to) {
			w.inFlight = append(w.inFlight, delivery{at: to.pausedUntil, message: mail.message})
			continue
		}
		if err := to.member.Step(mail.message); err != nil && to.member != nil {
			w.t.Logf("tick %d: %s: %v", w.now, to.name, err)
		}
		w.process(to)
	}
}

// injectFault injects a random fault. Disks are lost only while the group is healthy.
func (w *world) injectFault() {
	m := w.machines[w.random.IntN(len(w.machines))]
	if m.removed {
		return
	}
	switch w.random.IntN(11) {
	case 0, 1:
		w.stop(m, 1+w.random.IntN(40))
	case 2:
		m.isolatedUntil = w.now + 10 + w.random.IntN(60)
	case 3:
		for _, each := range w.machines {
			w.stop(each, 1+w.random.IntN(12))
		}
	case 4:
		w.loss = w.random.Float64() * 0.2
	case 5:
		w.loss = 0
	case 6:
		if w.healthy() {
			w.stop(m, 5+w.random.IntN(20))
			w.wipe(m)
		}
	case 7:
		if w.healthy() && len(w.machines) < 9 {
			w.stop(m, 1)
			m.removed = true
			w.lastWipe = w.now
			w.machines = append(w.machines, &machine{name: fmt.Sprintf("m%d", len(w.machines)), disk: &disk{}})
		}
	case 8:
		if leader := w.leader(); leader != nil && leader.isolatedUntil <= w.now {
			w.stop(leader, 3)
			if w.healthy() {
				w.wipe(leader)
			}
		}
	case 9:
		w.pause(m, 1+w.random.IntN(60))
	case 10:
		ticks := 1 + w.random.IntN(30)
		for _, each := range w.machines {
			w.pause(each, ticks)
		}
	}
}

// pause pauses a machine that runs a member.
func (w *world) pause(m *machine, ticks int) {
	if m.member != nil {
		m.pausedUntil = w.now + 1 + ticks
	}
}

// healthy reports whether the group has enough voters, all active and caught up: only
// then may another disk be lost.
func (w *world) healthy() bool {
	leader := w.leader()
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
func (w *world) check() {
	var longest []uint64
	for _, m := range w.machines {
		if m.member != nil && len(m.state.numbers) > len(longest) {
			longest = m.state.numbers
		}
	}
	for _, m := range w.machines {
		if m.member == nil {
			continue
		}
		if !slices.Equal(m.state.numbers, longest[:len(m.state.numbers)]) {
			w.t.Fatalf("tick %d: %s has a different order", w.now, m.name)
		}
	}
	found := make(map[uint64]bool, len(longest))
	for _, number := range longest {
		found[number] = true
	}
	for _, number := range w.acknowledgedNumbers {
		if !found[number] {
			w.t.Fatalf("tick %d: acknowledged command %d is lost", w.now, number)
		}
	}
}

func (w *world) heal(ticks int) {
	w.loss = 0
	for _, m := range w.machines {
		m.isolatedUntil = 0
		m.pausedUntil = min(m.pausedUntil, w.now+1)
		m.downUntil = min(m.downUntil, w.now+5)
	}
	for range ticks {
		w.tick()
	}
}

func TestAcknowledgedCommandsSurviveFaults(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 10
	}
	testNoAcknowledgedLoss(t, seeds, 0)
}

// Members keep running while the snapshots that they captured are written, even if they
// stop or receive a later one before.
func TestAcknowledgedCommandsSurviveSnapshotWrites(t *testing.T) {
	const seeds, saveTicks = 15, 30
	testNoAcknowledgedLoss(t, seeds, saveTicks)
}

// testNoAcknowledgedLoss runs simulations in which a snapshot write takes saveTicks.
func testNoAcknowledgedLoss(t *testing.T, seeds uint64, saveTicks int) {
	acknowledged, staleSnapshots, provided := 0, 0, 0
	for seed := range seeds {
		w := newWorld(t, seed, 3+int(seed%3), 3+2*int(seed%2))
		w.saveTicks, w.releaseData = saveTicks, saveTicks > 0
		for round := range 60 {
			for range 15 + w.random.IntN(40) {
				w.tick()
			}
			w.injectFault()
			if round%20 == 19 {
				w.heal(150)
				w.check()
			}
		}
		w.heal(400)
		w.check()
		leader := w.leader()
		if leader == nil {
			t.Fatalf("seed %d: no leader after the faults ended", seed)
		}
		if voters := len(leader.member.Status().Membership.Voters); voters < 3 {
			t.Errorf("seed %d: %d voters at the end", seed, voters)
		}
		before := len(w.acknowledgedNumbers)
		for range 50 {
			w.tick()
		}
		if len(w.acknowledgedNumbers) == before {
			t.Errorf("seed %d: no command acknowledged after the faults ended", seed)
		}
		acknowledged += len(w.acknowledgedNumbers)
		staleSnapshots += w.staleSnapshots
		provided += w.provided
	}
	t.Logf("%d commands acknowledged over %d seeds, %d snapshots discarded, %d provided again", acknowledged, seeds, staleSnapshots, provided)
	if saveTicks > 0 && provided == 0 {
		t.Error("no released snapshot was provided again")
	}
}

func TestDrainedMachineIsRemovedWithoutLoss(t *testing.T) {
	for seed := range uint64(20) {
		w := newWorld(t, seed, 4, 3)
		for range 200 {
			w.tick()
		}
		leaver := w.machines[int(seed)%3]
		leaver.leaving = true
		drained := func() bool {
			leader := w.leader()
			if leader == nil {
				return false
			}
			names := map[string]bool{}
			// The directory loses a member once its removal is committed.
			for _, existing := range leader.member.Directory() {
				names[existing.Name] = true
			}
			return !names[leaver.name] && len(leader.member.Status().Membership.Voters) == 3
		}
		for range 200 {
			if w.tick(); drained() {
				break
			}
		}
		if !drained() {
			t.Fatalf("seed %d: the machine is still a member after 200 ticks", seed)
		}
		w.stop(leaver, 1)
		leaver.removed = true
		lost := w.machines[(int(seed)+1)%3]
		w.stop(lost, 5)
		w.wipe(lost)
		w.heal(300)
		w.check()
		if w.leader() == nil {
			t.Fatalf("seed %d: no leader", seed)
		}
	}
}

func TestWipedMachineRejoinsUnderNewID(t *testing.T) {
	w := newWorld(t, 5, 3, 3)
	for range 200 {
		w.tick()
	}
	lost := w.machines[1]
	w.stop(lost, 10)
	w.wipe(lost)
	for range 200 {
		w.tick()
	}
	leader := w.leader()
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

// A joining member that reads the whole log must not take a snapshot before the entry that
// added it: it does not know the membership of that time.
func TestJoiningMemberTakesNoSnapshotBeforeItsAddition(t *testing.T) {
	w := newWorld(t, 3, 3, 3)
	w.snapshotEntries, w.batchBytes = 100000, 100
	for range 300 {
		w.tick()
	}
	added := &machine{name: "m3", disk: &disk{}}
	w.machines = append(w.machines, added)
	w.snapshotEntries = 20
	w.heal(100)
	if added.member == nil || len(added.state.numbers) == 0 {
		t.Fatal("the machine did not join")
	}
	w.check()
}
