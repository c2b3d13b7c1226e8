package consensus

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/testkit"
)

// explorer runs a network with random faults. choose returns a random number below its
// argument.
type explorer struct {
	net          *network
	choose       func(int) int
	proposed     int
	requests     uint64
	minReadIndex map[uint64]uint64
	answered     int
	heartbeats   int // answered during a write
	sent         int // heartbeats sent by a leader during its write
	changes      int
	actions      []action
	// crashOdds is the average number of processed Readys per crash of each kind.
	crashOdds int
	// slowMember is a member that rarely receives messages, or None.
	slowMember MemberID
	// pausedMember is a member that misses its ticks, or None.
	pausedMember MemberID
	// unevenClocks lets members tick at different rates, which leases do not support.
	unevenClocks bool
}

func (e *explorer) member() MemberID {
	return e.net.order[e.choose(len(e.net.order))]
}

// action is a kind of step, chosen in proportion to its weight.
type action struct {
	weight int
	run    func()
}

// initActions sets the weights of the actions for this run, so that each fault is
// frequent in some runs and absent in others.
func (e *explorer) initActions() {
	net := e.net
	actions := []action{
		{1, func() { e.net.members[e.member()].down = true }},
		{1, e.restartAll},
		{1, func() { net.blocked[[2]MemberID{e.member(), e.member()}] = true }},
		{1, func() { net.isolate(e.member(), true) }},
		{1, func() { net.isolate(net.leader(), true) }},
		{2, func() { e.compact(e.member()) }},
		{3, func() { e.read(e.member()) }},
		{2, e.changeMembership},
		{1, func() { _ = net.node(e.member()).TransferLeadership(e.member()) }},
		{1, func() { net.tick(1 + e.choose(2*testElectionTicks)) }},
		{1, net.settle},
	}
	for i := range actions {
		actions[i].weight *= []int{0, 1, 1, 2, 4}[e.choose(5)]
	}
	e.crashOdds = []int{40, 400, 4000}[e.choose(3)]
	e.slowMember = MemberID(e.choose(6))
	e.actions = append(actions,
		action{42, e.deliverOne}, action{34, e.processOneReady}, action{8, e.tick}, action{4, e.propose},
		action{1, e.heal}, action{2, e.startOne},
	)
}

// step runs one random action and checks the reads.
func (e *explorer) step() {
	total := 0
	for _, candidate := range e.actions {
		total += candidate.weight
	}
	drawn := e.choose(total)
	for _, candidate := range e.actions {
		drawn -= candidate.weight
		if drawn < 0 {
			candidate.run()
			break
		}
	}
	e.checkReads()
}

// deliverOne delivers, drops or duplicates a random queued message.
func (e *explorer) deliverOne() {
	net := e.net
	if len(net.queue) == 0 {
		return
	}
	at := e.choose(len(net.queue))
	message := net.queue[at]
	if message.To == e.slowMember && e.choose(10) > 0 {
		return
	}
	switch e.choose(20) {
	case 0: // lost
		net.queue = slices.Delete(net.queue, at, at+1)
		return
	case 1: // repeated later
	default:
		net.queue = slices.Delete(net.queue, at, at+1)
	}
	net.deliver(message)
}

// processOneReady processes a Ready, sometimes with a crash partway.
func (e *explorer) processOneReady() {
	id := e.member()
	member := e.net.members[id]
	if member.down || !member.node.HasReady() {
		return
	}
	switch e.choose(e.crashOdds) {
	case 0: // crash before the write, after the sends that may precede it
		e.sendBeforeSync(member.node.Ready())
		member.down = true
	case 1: // crash between write and send
		member.disk.persist(member.node.Ready())
		member.down = true
	case 2: // crash between send and apply
		ready := member.node.Ready()
		member.disk.persist(ready)
		e.net.queue = append(e.net.queue, ready.Messages...)
		member.down = true
	default:
		e.net.processReady(id)
	}
}

// writeSlowly processes a Ready whose write takes several ticks, in which the member answers
// or sends heartbeats and the other members run.
func (e *explorer) writeSlowly(id MemberID) {
	member := e.net.members[id]
	if member.down || !member.node.HasReady() {
		return
	}
	ready := member.node.Ready()
	leads := member.node.role == RoleLeader
	ticks := e.choose(3 * testElectionTicks)
	if leads {
		e.sendBeforeSync(ready)
	}
	for tick := range ticks {
		if leads {
			sent := member.node.HeartbeatsDuringWrite(tick + 1)
			e.sent += len(sent)
			e.net.queue = append(e.net.queue, sent...)
		} else {
			member.node.TickMissed(1)
		}
		for _, other := range e.net.order {
			if other != id && !e.net.members[other].down {
				e.net.node(other).Tick()
			}
		}
		for range e.choose(8) {
			e.deliverDuringWrite(id)
		}
	}
	if e.choose(8) == 0 {
		member.down = true // crash before the write
		return
	}
	e.net.finishReady(id, ready)
	if leads && ticks > 0 {
		member.node.TickMissed(ticks - 1)
		member.node.Tick()
	}
}

// sendBeforeSync queues the messages of a Ready that may precede its write.
func (e *explorer) sendBeforeSync(ready Ready) {
	for _, message := range ready.Messages {
		if ready.MayPrecedeSync(message) {
			e.net.queue = append(e.net.queue, message)
		}
	}
}

// deliverDuringWrite delivers a random queued message while a member writes.
func (e *explorer) deliverDuringWrite(writing MemberID) {
	net := e.net
	if len(net.queue) == 0 {
		return
	}
	at := e.choose(len(net.queue))
	message := net.queue[at]
	if message.To != writing {
		net.queue = slices.Delete(net.queue, at, at+1)
		net.deliver(message)
		for !net.members[message.To].down && net.node(message.To).HasReady() {
			net.processReady(message.To)
		}
		return
	}
	if net.blocked[[2]MemberID{message.From, message.To}] {
		return
	}
	if reply, answered := net.node(writing).AnswerHeartbeat(message); answered {
		e.heartbeats++
		net.queue = append(slices.Delete(net.queue, at, at+1), reply)
	}
}

func (e *explorer) tick() {
	if e.unevenClocks {
		if member := e.net.members[e.member()]; !member.down {
			member.node.Tick()
		}
		return
	}
	for _, id := range e.net.order {
		switch {
		case e.net.members[id].down:
		case id == e.pausedMember:
			e.net.node(id).TickMissed(1)
		default:
			e.net.node(id).Tick()
		}
	}
	if e.choose(testElectionTicks) == 0 {
		e.pausedMember = MemberID(e.choose(6))
	}
}

func (e *explorer) propose() {
	if id := e.net.leader(); id != None {
		e.proposed++
		_, _, _ = e.net.node(id).Propose([]byte{byte(e.proposed), byte(e.proposed >> 8)})
	}
}

func (e *explorer) startOne() {
	if id := e.member(); e.net.members[id].down {
		e.net.start(id)
	}
}

// restartAll stops all members and immediately restarts most of them.
func (e *explorer) restartAll() {
	for _, id := range e.net.order {
		e.net.members[id].down = true
	}
	for _, id := range e.net.order {
		if e.choose(8) > 0 {
			e.net.start(id)
		}
	}
}

// heal restores all links and selects another slow member.
func (e *explorer) heal() {
	e.net.blocked = map[[2]MemberID]bool{}
	e.slowMember = MemberID(e.choose(6))
}

func (e *explorer) compact(id MemberID) {
	member := e.net.members[id]
	if member.down {
		return
	}
	index := min(member.applied, member.node.Status().Applied)
	if index != member.applied {
		return
	}
	snapshot, err := member.node.BuildSnapshot(index, bytes.Clone(member.state))
	if err != nil || member.node.Compact(snapshot) != nil {
		return
	}
	member.disk.install(snapshot)
}

func (e *explorer) read(id MemberID) {
	if e.net.members[id].down {
		return
	}
	e.requests++
	if e.net.node(id).ReadIndex(e.requests) == nil {
		e.minReadIndex[e.requests] = uint64(len(e.net.history))
	}
}

func (e *explorer) checkReads() {
	for _, id := range e.net.order {
		member := e.net.members[id]
		for _, read := range member.reads {
			if read.Lost {
				continue
			}
			e.answered++
			if minIndex := e.minReadIndex[read.RequestID]; read.Index < minIndex {
				e.net.reportViolation("stale read on %d: index %d, %d was committed before", id, read.Index, minIndex)
			}
		}
		member.reads = nil
	}
}

// changeMembership adds, promotes or removes a member and keeps at least three voters.
func (e *explorer) changeMembership() {
	id := e.net.leader()
	if id == None {
		return
	}
	node := e.net.node(id)
	membership := node.Status().Membership
	change := MembershipChange{Kind: AddLearner, Member: membership.HighestID + 1}
	if len(membership.Learners) > 0 {
		change = MembershipChange{Kind: PromoteLearner, Member: membership.Learners[0]}
	} else if len(membership.Voters) > 3 {
		change = MembershipChange{Kind: RemoveMember, Member: membership.Voters[e.choose(len(membership.Voters))]}
	}
	if _, _, err := node.ProposeMembership(change); err != nil {
		return
	}
	e.changes++
	if change.Kind == AddLearner && e.net.members[change.Member] == nil {
		e.net.add(change.Member, Restored{})
	}
}

// finish ends all faults and checks that all members converge.
func (e *explorer) finish() {
	net := e.net
	net.blocked = map[[2]MemberID]bool{}
	for _, id := range net.order {
		if net.members[id].down {
			net.start(id)
		}
	}
	net.tick(30 * testElectionTicks)
	leader := net.leader()
	if leader == None {
		net.reportViolation("no leader after the faults ended")
		return
	}
	if _, _, err := net.node(leader).Propose([]byte("end")); err != nil {
		net.reportViolation("propose after the faults ended: %v", err)
		return
	}
	net.tick(5 * testElectionTicks)
	want := net.members[leader]
	if int(want.applied) != len(net.history) {
		net.reportViolation("leader %d applied %d of %d committed entries", leader, want.applied, len(net.history))
	}
	for _, id := range net.node(leader).Status().Membership.Members() {
		if got := net.members[id]; !bytes.Equal(got.state, want.state) {
			net.reportViolation("member %d differs from leader %d: applied %d and %d", id, leader, got.applied, want.applied)
		}
	}
	e.checkLogs()
}

// checkLogs verifies the log matching property for all pairs of members.
func (e *explorer) checkLogs() {
	for _, a := range e.net.order {
		for _, b := range e.net.order {
			logA, logB := &e.net.node(a).log, &e.net.node(b).log
			agree := false
			for index := min(logA.lastIndex(), logB.lastIndex()); index > max(logA.baseIndex, logB.baseIndex); index-- {
				termA, _ := logA.term(index)
				same := logB.matches(index, termA)
				if agree && !same {
					e.net.reportViolation("logs of %d and %d agree after index %d but not at it", a, b, index)
				}
				agree = agree || same
			}
		}
	}
}

func explore(t reporter, choose func(int) int, steps int, uneven bool, adjust func(*Config)) *explorer {
	t.Helper()
	e := newExplorer(t, choose, uneven, adjust)
	e.run(steps)
	return e
}

func newExplorer(t reporter, choose func(int) int, uneven bool, adjust func(*Config)) *explorer {
	t.Helper()
	net := newNetwork(t, 3, func(c *Config) {
		c.SnapshotChunkBytes, c.MaxBatchBytes, c.MaxInflight = 16, 8, 3
		c.NoLeaseReads = uneven
		if adjust != nil {
			adjust(c)
		}
	})
	e := &explorer{net: net, choose: choose, minReadIndex: map[uint64]uint64{}, unevenClocks: uneven}
	e.initActions()
	return e
}

func (e *explorer) run(steps int) {
	for range steps {
		e.step()
		if e.unevenClocks || e.proposed%16 == 0 {
			e.checkLogs()
		}
		if len(e.net.violations) > 0 {
			return
		}
	}
	e.finish()
}

func TestPropertiesHoldUnderFaults(t *testing.T) {
	testkit.Check(t, 20240601, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		e := explore(t, choose, 400, rapid.Bool().Draw(t, "uneven clocks"), nil)
		for _, violation := range e.net.violations {
			t.Error(violation)
		}
	})
}

func TestSeedsUnderFaults(t *testing.T) {
	applied, answered, changes := 0, 0, 0
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 7))
		e := explore(t, random.IntN, 1500, seed%2 == 0, nil)
		for _, violation := range e.net.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		applied += len(e.net.history)
		answered += e.answered
		changes += e.changes
	}
	t.Logf("%d entries committed, %d reads answered, %d membership changes", applied, answered, changes)
	if applied == 0 || answered == 0 || changes == 0 {
		t.Error("no entries, reads or membership changes were checked")
	}
}

// TestHeartbeatsAnsweredDuringSlowWrites guards leases, votes and reads while members answer
// heartbeats between Ready and Advance.
func TestHeartbeatsAnsweredDuringSlowWrites(t *testing.T) {
	heartbeats, answered := 0, 0
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 11))
		e := newExplorer(t, random.IntN, false, nil)
		e.actions = append(e.actions, action{40, func() { e.writeSlowly(e.member()) }})
		e.run(1500)
		for _, violation := range e.net.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		heartbeats += e.heartbeats
		answered += e.answered
	}
	t.Logf("%d heartbeats answered during writes, %d reads answered", heartbeats, answered)
	if heartbeats == 0 || answered == 0 {
		t.Error("no heartbeats or reads were checked")
	}
}

// TestHeartbeatsSentDuringSlowWrites guards leases, votes, reads and committed entries while
// leaders send heartbeats between Ready and Advance.
func TestHeartbeatsSentDuringSlowWrites(t *testing.T) {
	sent, answered, leaders := 0, 0, 0
	for seed := range uint64(150) {
		random := rand.New(rand.NewPCG(seed, 13))
		e := newExplorer(t, random.IntN, false, nil)
		e.actions = append(e.actions,
			action{10, func() { e.writeSlowly(max(1, e.net.leader())) }},
			action{20, func() { e.read(e.member()) }},
			action{10, e.startOne})
		e.run(1500)
		for _, violation := range e.net.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		sent += e.sent
		answered += e.answered
		leaders += len(e.net.leaders)
	}
	t.Logf("%d heartbeats sent during writes, %d reads answered, %d leaders elected", sent, answered, leaders)
	if sent == 0 || answered == 0 || leaders <= 150 {
		t.Error("no heartbeats, reads or changes of the leader were checked")
	}
}
