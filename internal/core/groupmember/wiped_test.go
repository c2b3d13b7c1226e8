package groupmember_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// wipedTicks is how long two machines that lost their disks may take to be voters again,
// at 60 ms a tick: 6 s.
const wipedTicks = 100

// fiveVoters gives a world of five machines, all voters, that is to bear two losses.
func fiveVoters(t *testing.T, seed uint64, configure func(*world)) *world {
	w := newWorld(t, seed, 5, 5)
	w.limits.LeastVoters = 5
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

// wipeFollowers takes power and disks from two members that do not lead.
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

// TestAQuorumOutlivesTwoLossesWhileWipedMembersReturn: no quorum is ever of two, so that
// what is acknowledged meanwhile stands on three disks.
func TestAQuorumOutlivesTwoLossesWhileWipedMembersReturn(t *testing.T) {
	for seed := range uint64(40) {
		w := fiveVoters(t, seed, func(*world) {})
		w.wipeFollowers()
		returned := false
		for passed := 0; passed < wipedTicks && !returned; passed++ {
			w.tick()
			leader := w.leader()
			if leader == nil {
				continue
			}
			voters := leader.member.Status().Membership.Voters
			if len(voters) < 4 {
				t.Fatalf("seed %d: %d voters", seed, len(voters))
			}
			returned = len(voters) == 5 && w.allUpVote(leader.member.Status().Membership)
		}
		if !returned {
			t.Errorf("seed %d: not all are voters again", seed)
		}
		w.settle(20)
		w.check()
	}
}

// allUpVote reports whether every machine's member is a voter.
func (w *world) allUpVote(membership consensus.Membership) bool {
	for _, m := range w.machines {
		if m.member == nil || !membership.IsVoter(m.id) {
			return false
		}
	}
	return true
}

// TestNoSnapshotIsMadeWhileOneIsSent, unless twice as much was applied: with parts of 64
// bytes a transfer takes as long as several snapshots are apart.
func TestNoSnapshotIsMadeWhileOneIsSent(t *testing.T) {
	saved, total := 0, 0
	for seed := range uint64(20) {
		w := fiveVoters(t, seed, func(w *world) { w.chunkBytes, w.snapshotEntries = 64, 10 })
		for range 100 {
			w.tick()
		}
		leader := w.leader()
		if leader == nil {
			continue
		}
		w.wipeFollowers()
		w.savedWhileSending = 0
		sending, most := 0, uint64(0)
		for range wipedTicks {
			w.tick()
			if leader = w.leader(); leader != nil && leader.member.SendsSnapshot() {
				sending++
				most = max(most, leader.member.Applied()-leader.member.Status().SnapshotIndex)
			}
		}
		saved += w.savedWhileSending
		if most > 2*w.snapshotEntries+20 {
			t.Errorf("seed %d: %d entries without a snapshot, sending for %d ticks", seed, most, sending)
		}
		total += sending
		w.settle(20)
		w.check()
	}
	t.Logf("%d snapshots were made in %d ticks in which one was sent", saved, total)
	// At 0.5 entries a tick and 10 entries a snapshot one would be made every 20 ticks.
	if total == 0 || saved > total/30 {
		t.Errorf("%d snapshots were made in %d ticks in which one was sent", saved, total)
	}
}
