package groupmember_test

import (
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Durations of the succession test; a tick is 60 ms.
const (
	calmTicks      = 170 // between two faults
	successorTicks = 17  // from the loss of a machine to the start of its successor
	// repairTicks limits the time from the start of the successor until the group has
	// all its voters, running and caught up. A message takes one or two ticks.
	repairTicks    = 72
	isolationTicks = 108
	powerOffTicks  = 17
)

// replaceMachine removes a machine permanently and adds an empty one at another address.
func (w *world) replaceMachine(m *machine) {
	w.stop(m, 1)
	m.removed = true
	for range successorTicks {
		w.tick()
	}
	w.machines = append(w.machines, &machine{name: m.name + "'", disk: &disk{}})
}

// liveMachines returns the machines that are not removed.
func (w *world) liveMachines() []*machine {
	var living []*machine
	for _, m := range w.machines {
		if !m.removed {
			living = append(living, m)
		}
	}
	return living
}

// Two of four machines are replaced, one is isolated, and one loses its disk in a power
// failure of all. For every choice of machines the group must be repaired in time, and
// keep all acknowledged commands.
func TestReplacementsOfLostMachinesJoin(t *testing.T) {
	t.Parallel()
	for part := range parts {
		t.Run(fmt.Sprint("part ", part), func(t *testing.T) {
			t.Parallel()
			for choice := part; choice < choices; choice += parts {
				testSuccession(t, choice, 0)
			}
			// Also run a subset of the choices with a spare learner.
			for choice := part; choice < choices; choice += spareStride * parts {
				testSuccession(t, choice, 1)
			}
		})
	}
}

const (
	machines = 4
	choices  = machines * machines * machines * machines
	// parts run in parallel; spareStride selects the choices run with a spare learner.
	parts       = 8
	spareStride = 4
)

// testSuccession runs one choice of failing machines, in a group with the given number of
// learners.
func testSuccession(t *testing.T, choice, learners int) {
	t.Helper()
	w := newWorld(t, uint64(choice), machines, 3)
	w.limits.Learners = learners
	victim := func(digit int) *machine { return w.liveMachines()[choice/digit%machines] }
	for range calmTicks {
		w.tick()
	}
	for _, digit := range []int{1, machines} {
		w.replaceMachine(victim(digit))
		w.mustRepair(choice, learners)
		for range calmTicks - repairTicks {
			w.tick()
		}
	}
	isolated := victim(machines * machines)
	isolated.isolatedUntil = w.now + isolationTicks
	for range isolationTicks + repairTicks {
		w.tick()
	}
	wiped := victim(machines * machines * machines)
	for _, m := range w.machines {
		w.stop(m, powerOffTicks)
	}
	w.wipe(wiped)
	w.heal(300)
	w.check()
	if w.leader() == nil {
		t.Fatalf("choice %d, %d learners: no leader after all faults", choice, learners)
	}
}

// mustRepair runs for repairTicks and fails unless the group is repaired by then.
func (w *world) mustRepair(choice, learners int) {
	w.t.Helper()
	repaired := false
	for range repairTicks {
		w.tick()
		repaired = repaired || w.repaired()
	}
	if !repaired {
		status := consensus.Status{}
		if leader := w.leader(); leader != nil {
			status = leader.member.Status()
		}
		w.t.Fatalf("choice %d, %d learners, tick %d: not repaired %d ticks after a successor started: %+v", choice, learners, w.now, repairTicks, status)
	}
}

// repaired reports whether the group has the wanted number of voters, all of them running
// and caught up.
func (w *world) repaired() bool {
	leader := w.leader()
	if leader == nil {
		return false
	}
	status := leader.member.Status()
	for _, id := range status.Membership.Voters {
		if w.machineOf(id) == nil {
			return false
		}
	}
	for _, peer := range status.Progress {
		if !peer.Learner && !peer.CaughtUp {
			return false
		}
	}
	return len(status.Membership.Voters) == w.limits.Voters
}
