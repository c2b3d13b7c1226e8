package chaos

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
)

// Fault is a kind of fault.
type Fault string

// The kinds of fault.
const (
	// FaultCut cuts one direction between two members.
	FaultCut Fault = "cut"
	// FaultIsolate and FaultIsolateLeader cut a member off, in silence.
	FaultIsolate       Fault = "isolate"
	FaultIsolateLeader Fault = "isolate-leader"
	// FaultSplit cuts the members in two groups.
	FaultSplit Fault = "split"
	// FaultPowerLoss loses unsynced writes, some of them torn.
	FaultPowerLoss Fault = "power-loss"
	// FaultKill ends the process.
	FaultKill Fault = "kill"
	// FaultCrashPoints makes power losses likely between any two steps.
	FaultCrashPoints Fault = "crash-points"
	// FaultPause stops the process for a while.
	FaultPause Fault = "pause"
	// FaultClock moves a member's clock.
	FaultClock Fault = "clock"
	// FaultClockElection moves the clocks of all members but the leader, whose
	// process it ends, so that a member with another clock leads next.
	FaultClockElection Fault = "clock-election"
	// FaultSync fails a sync to come.
	FaultSync Fault = "sync"
	// FaultDiskFull leaves no room on a disk.
	FaultDiskFull Fault = "disk-full"
	// FaultLose loses a machine for ever.
	FaultLose Fault = "lose"
	// FaultLoseAfterRepair loses a machine right after the next repair.
	FaultLoseAfterRepair Fault = "lose-after-repair"
	// FaultAbsence ends a process for minutes.
	FaultAbsence Fault = "absence"
	// FaultObserverAway lets an observer be deaf for a while; half of them come
	// back with nothing.
	FaultObserverAway Fault = "observer-away"
	// FaultStorm makes the network very bad for a while.
	FaultStorm Fault = "storm"
)

// longScenario is the faulty time from which on isolation and absence take
// minutes.
const longScenario = 4 * time.Minute

// calmCheck is how long a leader must outlast the return of a cut-off member.
const calmCheck = 3 * time.Second

// injector injects the scenario's faults.
type injector struct {
	world *World
	// count counts injected faults, active those that have not ended.
	count, active   int
	loseAfterRepair bool
}

func (i *injector) schedule() {
	every := i.world.options.Scenario.Every
	i.world.after(i.world.between(every/2, every*3/2), i.inject)
}

func (i *injector) inject() {
	scenario := i.world.options.Scenario
	if i.world.settling || len(scenario.Faults) == 0 {
		return
	}
	i.schedule()
	for range scenario.Together {
		i.one(scenario.Faults[i.world.random.IntN(len(scenario.Faults))])
	}
}

// one injects one fault.
func (i *injector) one(fault Fault) {
	target := i.world.anyMachine()
	if !i.permits(fault, target) {
		return
	}
	i.count++
	i.world.tracef("fault %s, member %d", fault, target.id)
	switch fault {
	case FaultCut:
		i.cut([]consensus.MemberID{target.id}, []consensus.MemberID{i.world.anyMachine().id}, false, i.short())
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
		i.end(i.short(), func() { i.world.crashChance = 0 })
	case FaultAbsence:
		target.killFor(i.silence())
	case FaultObserverAway:
		observers := i.world.observers
		observers[i.world.random.IntN(len(observers))].leave(i.silence())
	case FaultPause:
		target.pause()
		i.end(i.long(), target.resume)
	case FaultClock:
		target.offset += i.world.between(-time.Hour, time.Hour)
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
		i.world.network.storm = Network{Loss: 0.4, Duplicate: 0.2, Delay: 500 * time.Millisecond}
		i.end(i.short(), func() { i.world.network.storm = Network{} })
	}
}

func (i *injector) clockElection() {
	leader := i.world.leader()
	for _, machine := range i.world.machines {
		if machine != leader {
			machine.offset = i.world.between(-time.Hour, time.Hour)
		}
	}
	if leader != nil {
		leader.kill()
	}
}

// permits refuses what would lose a quorum of disks for ever, which no
// replicated log survives.
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

// spareDisks counts the voters that may be lost now: the smallest number over
// all memberships that a running member still takes for the current one.
func (i *injector) spareDisks() int {
	leader := i.world.leader()
	if leader == nil || i.world.admin.replacement != nil {
		return 0
	}
	voters := leader.member.Status().Membership.Voters
	spare := (len(voters) - 1) / 2
	for _, id := range voters {
		if i.world.machine(id).gone {
			spare--
		}
	}
	return spare
}

// syncFaultPending says that a disk has a failed sync to come.
func (i *injector) syncFaultPending() bool {
	for _, machine := range i.world.machines {
		if !machine.gone && machine.syncFault {
			return true
		}
	}
	return false
}

// repaired is called when a replacement became a voter.
func (i *injector) repaired() {
	if !i.loseAfterRepair || i.world.settling {
		return
	}
	i.loseAfterRepair = false
	before := i.count
	i.one(FaultLose)
	i.world.coverage.SecondLosses += i.count - before
}

func (i *injector) short() time.Duration { return i.world.between(500*time.Millisecond, 8*time.Second) }
func (i *injector) long() time.Duration  { return i.world.between(2*time.Second, 30*time.Second) }

// silence is the length of an isolation; where it is the scenario's subject it
// takes minutes.
func (i *injector) silence() time.Duration {
	if i.world.options.Scenario.Faulty >= longScenario {
		return i.world.between(60*time.Second, 150*time.Second)
	}
	return i.long()
}

// end ends a fault after a while.
func (i *injector) end(after time.Duration, heal func()) {
	i.active++
	i.world.after(after, func() {
		i.active--
		if !i.world.settling {
			heal()
		}
	})
}

// cut cuts every direction from one group to the other, and back if both is set.
func (i *injector) cut(from, to []consensus.MemberID, both bool, length time.Duration) {
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
	i.end(length, func() { each(i.world.network.heal) })
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

// isolate cuts a member off from the others, half of the time from everybody.
func (i *injector) isolate(target *machine) {
	others := i.others(target)
	if i.world.random.IntN(2) == 0 {
		others = append(others, outside)
	}
	length := i.silence()
	i.cut([]consensus.MemberID{target.id}, others, true, length)
	i.world.after(length+time.Microsecond, func() { i.watchReturn(target) })
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
	i.cut(left, right, true, i.short())
}

// watchReturn demands that a member that comes back from isolation does not
// depose a healthy leader. It looks only while nothing else is wrong.
func (i *injector) watchReturn(target *machine) {
	world := i.world
	leader := world.leader()
	if i.active > 0 || world.settling || leader == nil || leader == target || !target.running() {
		return
	}
	if !leader.member.QuorumActive() || world.network.base.Loss > 0 {
		return
	}
	count, term := i.count, leader.member.Status().Term
	world.after(calmCheck, func() {
		if i.count != count || world.settling {
			return
		}
		if !leader.running() || !leader.member.IsLeader() || leader.member.Status().Term != term {
			world.violation("healthy leaders stay", "member %d came back and leader %d of term %d was deposed", target.id, leader.id, term)
		}
	})
}
