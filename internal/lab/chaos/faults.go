package chaos

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Fault is a kind of fault.
type Fault string

// The kinds of fault.
const (
	// FaultCut blocks one direction between two members.
	FaultCut Fault = "cut"
	// FaultIsolate and FaultIsolateLeader isolate a member without closing connections.
	FaultIsolate       Fault = "isolate"
	FaultIsolateLeader Fault = "isolate-leader"
	// FaultSplit partitions the members into two groups.
	FaultSplit Fault = "split"
	// FaultPowerLoss loses unsynced writes and tears some of them.
	FaultPowerLoss Fault = "power-loss"
	// FaultKill kills the process.
	FaultKill Fault = "kill"
	// FaultCrashPoints makes power losses likely between any two steps.
	FaultCrashPoints Fault = "crash-points"
	// FaultPause suspends the process temporarily.
	FaultPause Fault = "pause"
	// FaultClock changes a member's clock.
	FaultClock Fault = "clock"
	// FaultClockElection changes the clocks of all members but the leader and kills the
	// leader, so that the next leader's clock differs.
	FaultClockElection Fault = "clock-election"
	// FaultSync makes one of the next syncs of a disk fail.
	FaultSync Fault = "sync"
	// FaultDiskFull leaves a disk almost full.
	FaultDiskFull Fault = "disk-full"
	// FaultLose loses a machine permanently.
	FaultLose Fault = "lose"
	// FaultLoseAfterRepair loses a machine right after the next repair.
	FaultLoseAfterRepair Fault = "lose-after-repair"
	// FaultAbsence stops a process, for minutes in long scenarios.
	FaultAbsence Fault = "absence"
	// FaultObserverAway makes an observer drop all messages temporarily; half of the time
	// the observer also restarts without a view.
	FaultObserverAway Fault = "observer-away"
	// FaultStorm degrades the network temporarily.
	FaultStorm Fault = "storm"
)

// longFaultDuration is the min FaultDuration of a scenario whose isolations and absences last
// minutes.
const longFaultDuration = 4 * time.Minute

// leaderCheckDelay is how long a leader must keep leading after an isolated member returns.
const leaderCheckDelay = 3 * time.Second

// injector applies the scenario's faults.
type injector struct {
	world *World
	// count is the number of injected faults, active the number of those that have not ended.
	count, active   int
	loseAfterRepair bool
}

func (i *injector) schedule() {
	every := i.world.options.Scenario.InjectionInterval
	i.world.after(i.world.randomDuration(every/2, every*3/2), i.inject)
}

func (i *injector) inject() {
	scenario := i.world.options.Scenario
	if i.world.faultsEnded || len(scenario.Faults) == 0 {
		return
	}
	i.schedule()
	for range scenario.FaultsPerInjection {
		i.injectOne(scenario.Faults[i.world.random.IntN(len(scenario.Faults))])
	}
}

// injectOne applies one fault.
func (i *injector) injectOne(fault Fault) {
	target := i.world.anyMachine()
	if !i.permits(fault, target) {
		return
	}
	i.count++
	i.world.tracef("fault %s, member %d", fault, target.id)
	switch fault {
	case FaultCut:
		i.cut([]consensus.MemberID{target.id}, []consensus.MemberID{i.world.anyMachine().id}, false, i.shortDuration())
	case FaultIsolate:
		i.isolate(target)
	case FaultIsolateLeader:
		if leader := i.world.leader(); leader != nil {
			target = leader
		}
		i.isolate(target)
	case FaultSplit:
		i.split()
	case FaultPowerLoss:
		target.powerLoss()
	case FaultKill:
		target.kill()
	case FaultCrashPoints:
		i.world.crashChance = 0.004
		i.scheduleEnd(i.shortDuration(), func() { i.world.crashChance = 0 })
	case FaultAbsence:
		target.killFor(i.isolationDuration())
	case FaultObserverAway:
		observers := i.world.observers
		observers[i.world.random.IntN(len(observers))].disconnect(i.isolationDuration())
	case FaultPause:
		target.pause()
		i.scheduleEnd(i.longDuration(), target.resume)
	case FaultClock:
		target.offset += i.world.randomDuration(-time.Hour, time.Hour)
	case FaultClockElection:
		i.clockElection()
	case FaultSync:
		target.syncFault = true
		target.disk.FailSync(1 + i.world.random.IntN(20))
	case FaultDiskFull:
		target.disk.SetCapacity(target.disk.Used() + i.world.random.Int64N(4096))
	case FaultLose:
		target.lose()
	case FaultLoseAfterRepair:
		i.loseAfterRepair = true
		target.lose()
	case FaultStorm:
		i.world.network.degradation = Network{Loss: 0.4, Duplicate: 0.2, Delay: 500 * time.Millisecond}
		i.scheduleEnd(i.shortDuration(), func() { i.world.network.degradation = Network{} })
	}
}

func (i *injector) clockElection() {
	leader := i.world.leader()
	for _, machine := range i.world.machines {
		if machine != leader {
			machine.offset = i.world.randomDuration(-time.Hour, time.Hour)
		}
	}
	if leader != nil {
		leader.kill()
	}
}

// permits reports whether a fault may be applied to the target now. It rejects the permanent
// loss of a quorum of disks, which no replicated log survives.
func (i *injector) permits(fault Fault, target *machine) bool {
	switch fault {
	case FaultSync, FaultLose, FaultLoseAfterRepair:
		return i.spareDisks() > 0 && !i.syncFaultPending()
	case FaultPowerLoss, FaultKill, FaultAbsence, FaultPause, FaultDiskFull:
		return target.running()
	default:
		return true
	}
}

// spareDisks returns how many more voters may be lost without losing the quorum, or 0 without
// a leader or during a replacement.
func (i *injector) spareDisks() int {
	leader := i.world.leader()
	if leader == nil || i.world.admin.replacement != nil {
		return 0
	}
	voters := leader.member.Status().Membership.Voters
	spare := (len(voters) - 1) / 2
	for _, id := range voters {
		if i.world.machine(id).lost {
			spare--
		}
	}
	return spare
}

// syncFaultPending reports whether a disk has a sync failure pending.
func (i *injector) syncFaultPending() bool {
	for _, machine := range i.world.machines {
		if !machine.lost && machine.syncFault {
			return true
		}
	}
	return false
}

// onRepaired injects the pending FaultLoseAfterRepair, if any. The admin calls it when a
// replacement is complete.
func (i *injector) onRepaired() {
	if !i.loseAfterRepair || i.world.faultsEnded {
		return
	}
	i.loseAfterRepair = false
	before := i.count
	i.injectOne(FaultLose)
	i.world.coverage.SecondLosses += i.count - before
}

func (i *injector) shortDuration() time.Duration {
	return i.world.randomDuration(500*time.Millisecond, 8*time.Second)
}
func (i *injector) longDuration() time.Duration {
	return i.world.randomDuration(2*time.Second, 30*time.Second)
}

// isolationDuration returns the random duration of an isolation, minutes in long scenarios.
func (i *injector) isolationDuration() time.Duration {
	if i.world.options.Scenario.FaultDuration >= longFaultDuration {
		return i.world.randomDuration(60*time.Second, 150*time.Second)
	}
	return i.longDuration()
}

// scheduleEnd schedules the end of a fault, at which it calls heal.
func (i *injector) scheduleEnd(after time.Duration, heal func()) {
	i.active++
	i.world.after(after, func() {
		i.active--
		if !i.world.faultsEnded {
			heal()
		}
	})
}

// cut blocks every link from one group to the other for a duration, and the links back if
// both is set.
func (i *injector) cut(from, to []consensus.MemberID, both bool, duration time.Duration) {
	each := func(change func(from, to consensus.MemberID)) {
		for _, a := range from {
			for _, b := range to {
				change(a, b)
				if both {
					change(b, a)
				}
			}
		}
	}
	each(i.world.network.cut)
	i.scheduleEnd(duration, func() { each(i.world.network.heal) })
}

func (i *injector) others(target *machine) []consensus.MemberID {
	var others []consensus.MemberID
	for _, machine := range i.world.machines {
		if machine != target {
			others = append(others, machine.id)
		}
	}
	return others
}

// isolate blocks the links between a member and the others, half of the time those with
// clients too.
func (i *injector) isolate(target *machine) {
	others := i.others(target)
	if i.world.random.IntN(2) == 0 {
		others = append(others, outside)
	}
	duration := i.isolationDuration()
	i.cut([]consensus.MemberID{target.id}, others, true, duration)
	i.world.after(duration+time.Microsecond, func() { i.checkReturn(target) })
}

func (i *injector) split() {
	var left, right []consensus.MemberID
	for _, machine := range i.world.machines {
		if i.world.random.IntN(2) == 0 {
			left = append(left, machine.id)
		} else {
			right = append(right, machine.id)
		}
	}
	i.cut(left, right, true, i.shortDuration())
}

// checkReturn checks that a member that returns from isolation does not depose a healthy
// leader. It checks only while no other fault is active.
func (i *injector) checkReturn(target *machine) {
	world := i.world
	leader := world.leader()
	if i.active > 0 || world.faultsEnded || leader == nil || leader == target || !target.running() {
		return
	}
	if !leader.member.QuorumActive() || world.network.base.Loss > 0 {
		return
	}
	count, term := i.count, leader.member.Status().Term
	world.after(leaderCheckDelay, func() {
		if i.count != count || world.faultsEnded {
			return
		}
		if !leader.running() || !leader.member.IsLeader() || leader.member.Status().Term != term {
			world.violation("healthy leaders stay", "member %d returned and leader %d of term %d was deposed", target.id, leader.id, term)
		}
	})
}
