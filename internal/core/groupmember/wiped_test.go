package groupmember_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// recoverVotersTicks is how long two machines that lost their disks may take to become
// voters again: 6 s at 60 ms per tick.
const recoverVotersTicks = 100

// newFiveVoterWorld returns a world of five voters that must tolerate two losses.
func newFiveVoterWorld(t *testing.T, seed uint64, configure func(*world)) *world {
	w := newWorld(t, seed, 5, 5)
	w.limits.MinVoters = 5
	configure(w)
	for range 400 {
		w.tick()
		if leader := w.leader(); leader != nil && len(leader.member.Status().Membership.Voters) == 5 {
			return w
		}
	}
	t.Fatalf("seed %d: no five voters", seed)
	return nil
}

// wipeFollowers stops two followers and wipes their disks.
func (w *world) wipeFollowers() {
	leader, wiped := w.leader(), 0
	for _, m := range w.machines {
		if m != leader && wiped < 2 {
			w.stop(m, 5)
			w.wipe(m)
			wiped++
		}
	}
}

// While wiped members return, every quorum must have at least three voters, so that
// acknowledged commands are on three disks.
func TestQuorumSurvivesTwoLossesWhileWipedMembersRejoin(t *testing.T) {
	for seed := range uint64(40) {
		w := newFiveVoterWorld(t, seed, func(*world) {})
		w.wipeFollowers()
		returned := false
		for passed := 0; passed < recoverVotersTicks && !returned; passed++ {
			w.tick()
			leader := w.leader()
			if leader == nil {
				continue
			}
			voters := leader.member.Status().Membership.Voters
			if len(voters) < 4 {
				t.Fatalf("seed %d: %d voters", seed, len(voters))
			}
			returned = len(voters) == 5 && w.allVoters(leader.member.Status().Membership)
		}
		if !returned {
			t.Errorf("seed %d: not all machines are voters again", seed)
		}
		w.heal(20)
		w.check()
	}
}

// allVoters reports whether every machine runs a voter.
func (w *world) allVoters(membership consensus.Membership) bool {
	for _, m := range w.machines {
		if m.member == nil || !membership.IsVoter(m.id) {
			return false
		}
	}
	return true
}

// A leader makes no snapshot while it sends one, unless twice the usual amount was
// applied. With 64-byte chunks a transfer lasts several snapshot intervals.
func TestNoSnapshotIsTakenWhileSendingOne(t *testing.T) {
	saved, total := 0, 0
	for seed := range uint64(20) {
		w := newFiveVoterWorld(t, seed, func(w *world) { w.chunkBytes, w.snapshotEntries = 64, 10 })
		for range 100 {
			w.tick()
		}
		leader := w.leader()
		if leader == nil {
			continue
		}
		w.wipeFollowers()
		w.snapshotsWhileSending = 0
		sending, maxEntries := 0, uint64(0)
		for range recoverVotersTicks {
			w.tick()
			if leader = w.leader(); leader != nil && leader.member.SendingSnapshot() {
				sending++
				maxEntries = max(maxEntries, leader.member.Applied()-leader.member.Status().SnapshotIndex)
			}
		}
		saved += w.snapshotsWhileSending
		if maxEntries > 2*w.snapshotEntries+20 {
			t.Errorf("seed %d: %d entries without a snapshot, sending for %d ticks", seed, maxEntries, sending)
		}
		total += sending
		w.heal(20)
		w.check()
	}
	t.Logf("%d snapshots were made in %d ticks in which one was sent", saved, total)
	// At 0.5 entries per tick and 10 entries per snapshot, one is due every 20 ticks.
	if total == 0 || saved > total/30 {
		t.Errorf("%d snapshots were made in %d ticks in which one was sent", saved, total)
	}
}
