package groupmember_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// recoverVotersTicks is how long two machines that lost their disks may take to become
// voters again: 6 s at 60 ms per tick.
const recoverVotersTicks = 100

// newFiveVoterHarness returns a harness with five voters that must tolerate two losses.
func newFiveVoterHarness(t *testing.T, seed uint64, configure func(*harness)) *harness {
	h := newHarness(t, seed, 5, 5)
	h.limits.MinVoters = 5
	configure(h)
	for range 400 {
		h.tick()
		if leader := h.leader(); leader != nil && len(leader.member.Status().Membership.Voters) == 5 {
			return h
		}
	}
	t.Fatalf("seed %d: no five voters", seed)
	return nil
}

// wipeFollowers stops two followers and wipes their disks.
func (h *harness) wipeFollowers() {
	leader, wiped := h.leader(), 0
	for _, m := range h.machines {
		if m != leader && wiped < 2 {
			h.stop(m, 5)
			h.wipe(m)
			wiped++
		}
	}
}

// While wiped members return, every quorum must have at least three voters, so that
// acknowledged commands are on three disks.
func TestQuorumSurvivesTwoLossesWhileWipedMembersRejoin(t *testing.T) {
	for seed := range uint64(40) {
		h := newFiveVoterHarness(t, seed, func(*harness) {})
		h.wipeFollowers()
		rejoined := false
		for elapsed := 0; elapsed < recoverVotersTicks && !rejoined; elapsed++ {
			h.tick()
			leader := h.leader()
			if leader == nil {
				continue
			}
			voters := leader.member.Status().Membership.Voters
			if len(voters) < 4 {
				t.Fatalf("seed %d: %d voters", seed, len(voters))
			}
			rejoined = len(voters) == 5 && h.allVoters(leader.member.Status().Membership)
		}
		if !rejoined {
			t.Errorf("seed %d: not all machines are voters again", seed)
		}
		h.heal(20)
		h.check()
	}
}

// allVoters reports whether every machine runs a voter.
func (h *harness) allVoters(membership consensus.Membership) bool {
	for _, m := range h.machines {
		if m.member == nil || !membership.IsVoter(m.id) {
			return false
		}
	}
	return true
}

// A leader makes no snapshot while it sends one, unless twice the normal amount was
// applied. With 64-byte chunks a transfer lasts several snapshot intervals.
func TestNoSnapshotIsTakenWhileSendingOne(t *testing.T) {
	snapshots, total := 0, 0
	for seed := range uint64(20) {
		h := newFiveVoterHarness(t, seed, func(h *harness) { h.chunkBytes, h.snapshotEntries = 64, 10 })
		for range 100 {
			h.tick()
		}
		leader := h.leader()
		if leader == nil {
			continue
		}
		h.wipeFollowers()
		h.snapshotsWhileSending = 0
		sending, maxEntries := 0, uint64(0)
		for range recoverVotersTicks {
			h.tick()
			if leader = h.leader(); leader != nil && leader.member.SendingSnapshot() {
				sending++
				maxEntries = max(maxEntries, leader.member.Applied()-leader.member.Status().SnapshotIndex)
			}
		}
		snapshots += h.snapshotsWhileSending
		if maxEntries > 2*h.snapshotEntries+20 {
			t.Errorf("seed %d: %d entries without a snapshot, sending for %d ticks", seed, maxEntries, sending)
		}
		total += sending
		h.heal(20)
		h.check()
	}
	t.Logf("%d snapshots were made in %d ticks in which one was sent", snapshots, total)
	// At 0.5 entries per tick and 10 entries per snapshot, one is due every 20 ticks.
	if total == 0 || snapshots > total/30 {
		t.Errorf("%d snapshots were made in %d ticks in which one was sent", snapshots, total)
	}
}
