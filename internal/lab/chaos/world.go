package chaos

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/consensus"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Times of the simulated members.
const (
	tickInterval    = 50 * time.Millisecond
	electionTicks   = 10
	heartbeatTicks  = 2
	snapshotEntries = 60
	syncTime        = time.Millisecond
	clusterName     = "chaos"
	// recoveryTime is the time after the last fault within which every observer must be up
	// to date.
	recoveryTime = 40 * time.Second
	// epoch is the wall-clock time at virtual time 0, in seconds since 1970.
	epoch = 1_700_000_000
)

// Options configures a run.
type Options struct {
	Scenario Scenario
	Seed     uint64
	// Trace, if set, receives a line for each fault, election and response.
	Trace    io.Writer
	Weakness Weakness
	// Observers is the number of observers; 0 means 5.
	Observers int
}

// World is one simulation of members, clients and faults.
type World struct {
	queue
	options  Options
	random   *rand.Rand
	network  network
	machines []*machine // in order of id
	audit    *Auditor
	history  history
	coverage Coverage

	observers []*observer
	operators []*operator
	holders   []*holder
	trainer   *trainer
	engine    engine
	faults    injector
	admin     admin

	crashChance float64
	lastID      consensus.MemberID
	lastToken   uint64
	steps       uint64
	// faultsEnded is set after the last fault.
	faultsEnded bool
}

// newWorld builds the processes without running any event.
func newWorld(options Options) *World {
	world := &World{
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 0x6c6f6f6d)),
		audit:   newAuditor(),
	}
	world.network = network{world: world, base: options.Scenario.Network, cuts: map[link]int{}}
	world.audit.report = world.violation
	world.audit.now = func() time.Duration { return world.now }
	world.audit.onGrant = world.checkHolders
	members := options.Scenario.Members
	if members == 0 {
		members = 3 + 2*world.random.IntN(2)
	}
	var initial consensus.Membership
	for id := range consensus.MemberID(members) {
		initial.Voters = append(initial.Voters, id+1)
	}
	for id := range consensus.MemberID(options.Scenario.Learners) {
		initial.Learners = append(initial.Learners, consensus.MemberID(members)+id+1)
	}
	for range initial.Members() {
		world.addMachine(initial).start()
	}
	world.admin = admin{world: world}
	world.admin.schedule()
	world.addClients()
	world.faults = injector{world: world}
	world.faults.schedule()
	return world
}

func (w *World) addClients() {
	count := w.options.Observers
	if count == 0 {
		count = 5
	}
	for number := range count {
		w.observers = append(w.observers, newObserver(w, number))
	}
	for number := range 3 {
		w.operators = append(w.operators, newOperator(w, number))
	}
	w.engine = engine{world: w}
	w.trainer = newTrainer(w)
	for number := range 2 {
		w.holders = append(w.holders, newHolder(w, number))
	}
}

// addMachine adds a machine with an empty disk under a new member id.
func (w *World) addMachine(initial consensus.Membership) *machine {
	w.lastID++
	machine := newMachine(w, w.lastID, initial)
	w.machines = append(w.machines, machine)
	return machine
}

// machine returns the machine of a member, or nil if there is none.
func (w *World) machine(id consensus.MemberID) *machine {
	if id == consensus.None || int(id) > len(w.machines) {
		return nil
	}
	return w.machines[id-1]
}

// leader returns the running leader of the highest term, or nil.
func (w *World) leader() *machine {
	var found *machine
	for _, machine := range w.machines {
		if !machine.running() || !machine.member.IsLeader() {
			continue
		}
		if found == nil || machine.member.Status().Term > found.member.Status().Term {
			found = machine
		}
	}
	return found
}

// anyMachine picks a random machine that is not lost.
func (w *World) anyMachine() *machine {
	var usable []*machine
	for _, machine := range w.machines {
		if !machine.lost {
			usable = append(usable, machine)
		}
	}
	if len(usable) == 0 {
		usable = w.machines
	}
	return usable[w.random.IntN(len(usable))]
}

// randomDuration draws a random duration.
func (w *World) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// run runs the scenario with its faults, then the recovery and the final checks.
func (w *World) run() {
	w.runUntil(w.options.Scenario.FaultDuration)
	w.endFaults()
	w.runUntil(w.now + recoveryTime)
	w.checkProgress()
	w.history.check(w)
}

func (w *World) runUntil(until time.Duration) {
	for w.step(until) {
		w.steps++
		if len(w.audit.violations) >= maxViolations {
			return
		}
	}
}

// endFaults ends all faults and restarts the machines that are not lost.
func (w *World) endFaults() {
	w.tracef("faults end")
	w.faultsEnded = true
	w.crashChance = 0
	w.network.cuts = map[link]int{}
	w.network.base, w.network.degradation = Network{}, Network{}
	for _, machine := range w.machines {
		machine.recover()
	}
	for _, observer := range w.observers {
		observer.awayUntil = 0
	}
}

// checkProgress checks that after the last fault a change was accepted and every observer
// shows a recent revision.
func (w *World) checkProgress() {
	if w.leader() == nil {
		w.violation("no progress", "no leader %v after the last fault", recoveryTime)
		return
	}
	if w.audit.lastAccepted < w.options.Scenario.FaultDuration {
		w.violation("no progress", "no change accepted since the last fault")
	}
	newest := w.audit.revision
	for _, observer := range w.observers {
		// The newest change may still be in flight.
		if shown := observer.view().Revision; shown+2 < newest {
			w.violation("no progress", "observer %d shows revision %d of %d", observer.number, shown, newest)
		}
	}
}

// checkHolders checks that no other holder has a valid lease by its own clock when the
// log grants one.
func (w *World) checkHolders(lease port.Lease) {
	for _, holder := range w.holders {
		if holder.id != lease.Holder && holder.holds() {
			w.violation("one holder at a time", "epoch %d granted to %s, %s holds epoch %d for another %v",
				lease.Epoch, lease.Holder, holder.id, holder.epoch, holder.leaseEnd-w.now)
		}
	}
}

// wallClock returns the time on a clock with an offset.
func (w *World) wallClock(offset time.Duration) time.Time {
	return time.Unix(epoch, 0).Add(w.now + offset)
}

func (w *World) token() uint64 {
	w.lastToken++
	return w.lastToken
}

func (w *World) tracef(format string, arguments ...any) {
	if w.options.Trace == nil {
		return
	}
	_, _ = fmt.Fprintf(w.options.Trace, "%12v  %s\n", w.now, fmt.Sprintf(format, arguments...))
}

// violation records a broken invariant.
func (w *World) violation(check, format string, arguments ...any) {
	found := Violation{Check: check, Time: w.now, Detail: fmt.Sprintf(format, arguments...)}
	w.tracef("VIOLATION %s: %s", check, found.Detail)
	w.audit.violations = append(w.audit.violations, found)
}

// submit sends a command to a machine, or a read if command is nil, and calls receive with the
// response. The network may lose either message.
func (w *World) submit(to *machine, command *port.Command, receive func(response)) {
	id := to.id
	w.network.send(outside, id, w.now, func() {
		to.process(func() {
			token := w.token()
			to.callers[token] = func(reply response) {
				w.network.send(id, outside, to.busyUntil, func() { receive(reply) })
			}
			to.call(token, command)
		})
	})
}

// response is the response to a command.
type response struct {
	result port.Result
	err    *port.Error
	leader consensus.MemberID
}
