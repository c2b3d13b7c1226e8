package groupmember_test

import (
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Durations of the succession test; a tick is 60 ms.
const (
	faultFreeTicks = 170 // between two faults
	successorTicks = 17  // from the loss of a machine to the start of its successor
	// repairTicks limits the time from the start of the successor until the group has
	// all its voters, running and caught up. A message takes one or two ticks.
	repairTicks    = 72
	isolationTicks = 108
	powerOffTicks  = 17
)

// replaceMachine removes a machine permanently and adds an empty one at another address.
func (h *harness) replaceMachine(m *machine) {
	h.stop(m, 1)
	m.removed = true
	for range successorTicks {
		h.tick()
	}
	h.machines = append(h.machines, &machine{name: m.name + "'", disk: &disk{}})
}

// liveMachines returns the machines that are not removed.
func (h *harness) liveMachines() []*machine {
	var live []*machine
	for _, m := range h.machines {
		if !m.removed {
			live = append(live, m)
		}
	}
	return live
}

// Two of four machines are replaced, one is isolated, and one loses its disk in a power
// failure of all machines. For every choice of machines the group must be repaired in
// time and retain all acknowledged commands.
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
	h := newHarness(t, uint64(choice), machines, 3)
	h.limits.Learners = learners
	victim := func(digit int) *machine { return h.liveMachines()[choice/digit%machines] }
	for range faultFreeTicks {
		h.tick()
	}
	for _, digit := range []int{1, machines} {
		h.replaceMachine(victim(digit))
		h.mustRepair(choice, learners)
		for range faultFreeTicks - repairTicks {
			h.tick()
		}
	}
	isolated := victim(machines * machines)
	isolated.isolatedUntil = h.now + isolationTicks
	for range isolationTicks + repairTicks {
		h.tick()
	}
	wiped := victim(machines * machines * machines)
	for _, m := range h.machines {
		h.stop(m, powerOffTicks)
	}
	h.wipe(wiped)
	h.heal(300)
	h.check()
	if h.leader() == nil {
		t.Fatalf("choice %d, %d learners: no leader after all faults", choice, learners)
	}
}

// mustRepair runs for repairTicks and fails unless the group is repaired by then.
func (h *harness) mustRepair(choice, learners int) {
	h.t.Helper()
	repaired := false
	for range repairTicks {
		h.tick()
		repaired = repaired || h.repaired()
	}
	if !repaired {
		status := consensus.Status{}
		if leader := h.leader(); leader != nil {
			status = leader.member.Status()
		}
		h.t.Fatalf("choice %d, %d learners, tick %d: not repaired %d ticks after a successor started: %+v", choice, learners, h.now, repairTicks, status)
	}
}

// repaired reports whether the group has the target number of voters, all of them running
// and caught up.
func (h *harness) repaired() bool {
	leader := h.leader()
	if leader == nil {
		return false
	}
	status := leader.member.Status()
	for _, id := range status.Membership.Voters {
		if h.machineOf(id) == nil {
			return false
		}
	}
	for _, peer := range status.Progress {
		if !peer.Learner && !peer.CaughtUp {
			return false
		}
	}
	return len(status.Membership.Voters) == h.limits.Voters
}
