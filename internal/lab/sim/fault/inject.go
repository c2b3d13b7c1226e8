package fault

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// injectNext injects faults at random intervals until the fault phase ends.
func (w *world) injectNext() {
	wait := time.Duration(w.random.faults.ExpFloat64() * float64(w.options.Scenario.InjectionInterval))
	w.after(wait, func() {
		if w.queue.Now() >= w.faultsEnd() || len(w.options.Scenario.Faults) == 0 {
			return
		}
		for range w.options.Scenario.FaultsPerInjection {
			w.inject(w.options.Scenario.Faults[w.random.faults.IntN(len(w.options.Scenario.Faults))])
		}
		w.injectNext()
	})
}

// enableFor calls on now and off after length.
func (w *world) enableFor(length time.Duration, on, off func()) {
	on()
	w.after(length, off)
}

// randomDuration draws a duration in [minimum, maximum).
func (w *world) randomDuration(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(w.random.faults.Int64N(int64(maximum-minimum)))
}

func randomElement[T any](w *world, from []T) T { return from[w.random.faults.IntN(len(from))] }

// recordFault records for the audit the period in which a fault can explain failures.
func (w *world) recordFault(target string, kind Fault, length time.Duration) {
	now := w.queue.Now()
	w.observed.rest.Faults = append(w.observed.rest.Faults, audit.Fault{Target: target, Kind: string(kind), From: now, To: now + length})
}

// recoveryTime is how long a fault may have effects after its end.
const recoveryTime = 5 * time.Second

// inject injects one fault, if it applies now.
func (w *world) inject(kind Fault) {
	target, length := w.startFault(kind)
	if target == "" {
		return
	}
	w.count.faults[kind]++
	w.trace("FAULT %s at %s for %v", kind, target, length)
	if kind != FaultNodeStop && kind != FaultEngineLeaves && kind != FaultBackEndLeaves {
		w.recordFault(target, kind, length+recoveryTime)
	}
}

// startFault starts a fault and returns its target and length; the target is empty
// if the fault doesn't apply now.
func (w *world) startFault(kind Fault) (target string, length time.Duration) {
	switch kind {
	case FaultEngineCrash, FaultEngineRefuses, FaultEngineMixesIDs, FaultEngineIgnoresCancel, FaultSwapFails, FaultSwapMisdirected, FaultLoadReportsLate, FaultEngineLeaves:
		return w.startEngineFault(kind, randomElement(w, w.engines))
	case FaultBackEndCrash, FaultBackEndMixesIDs, FaultBackEndRefuses, FaultBackEndFails, FaultBackEndSlow, FaultBackEndLeaves:
		return w.startBackEndFault(kind, randomElement(w, w.backEnds))
	case FaultNodeKilled, FaultCoordinatorStep, FaultTwoCoordinators, FaultTwoHomes, FaultNodeStop:
		return w.startNodeFault(kind)
	case FaultTrainerCrash, FaultTrainerRepeats, FaultTrainerRequestsPrevious, FaultPublishRace:
		return w.startTrainerFault(kind)
	default:
		return w.startSiteFault(kind)
	}
}

func (w *world) startEngineFault(kind Fault, e *modelEngine) (string, time.Duration) {
	if !e.up {
		return "", 0
	}
	switch kind {
	case FaultEngineCrash:
		downtime := w.randomDuration(500*time.Millisecond, 5*time.Second)
		e.crash(downtime)
		return e.name, downtime
	case FaultEngineRefuses:
		e.refuseNext += 1 + w.random.faults.IntN(4)
	case FaultEngineMixesIDs:
		e.mixNext += 1 + w.random.faults.IntN(3)
	case FaultEngineIgnoresCancel:
		e.ignoreCancel += 1 + w.random.faults.IntN(4)
	case FaultSwapFails:
		e.model.FailNextSwap()
	case FaultSwapMisdirected:
		e.model.MisdirectNextSwap(w.randomWeights())
	case FaultLoadReportsLate:
		e.lateUntil = w.queue.Now() + w.randomDuration(2*time.Second, 10*time.Second)
	case FaultEngineLeaves:
		return w.depart(e.name, e.address, e.zone, e.idle, e.retire)
	}
	return e.name, 10 * time.Second
}

func (w *world) startBackEndFault(kind Fault, b *backEnd) (string, time.Duration) {
	if !b.up {
		return "", 0
	}
	switch kind {
	case FaultBackEndCrash:
		downtime := w.randomDuration(500*time.Millisecond, 5*time.Second)
		b.crash(downtime)
		return b.name, downtime
	case FaultBackEndMixesIDs:
		b.mixNext += 1 + w.random.faults.IntN(3)
	case FaultBackEndRefuses:
		b.refuseNext += 1 + w.random.faults.IntN(5)
	case FaultBackEndFails:
		b.failNext += 1 + w.random.faults.IntN(5)
	case FaultBackEndSlow:
		length := w.randomDuration(time.Second, 6*time.Second)
		w.enableFor(length, func() { b.slow = 300 * time.Millisecond }, func() { b.slow = 0 })
		return b.name, length
	case FaultBackEndLeaves:
		return w.depart(b.name, b.address, b.zone, b.idle, b.retire)
	}
	return b.name, time.Second
}

func (w *world) startNodeFault(kind Fault) (string, time.Duration) {
	n := randomElement(w, w.nodes)
	if kind == FaultCoordinatorStep || kind == FaultTwoCoordinators {
		n = w.coordinatorNode()
	}
	if n == nil || !n.up || n.draining || w.isolated[n.name] {
		return "", 0
	}
	switch kind {
	case FaultNodeKilled:
		return n.name, w.killNode(n)
	case FaultCoordinatorStep:
		if w.killAt.node == n {
			return "", 0
		}
		w.killAt = killAt{node: n, steps: 1 + w.random.faults.IntN(60)}
		return n.name, 10 * time.Second
	case FaultTwoCoordinators, FaultTwoHomes:
		// The node keeps running, isolated from control and the other nodes.
		length := w.randomDuration(3*time.Second, 15*time.Second)
		w.enableFor(length, func() {
			w.isolated[n.name] = true
			w.breakPartitioned()
		}, func() { delete(w.isolated, n.name) })
		return n.name, length
	default:
		w.stopNode(n)
		return n.name, 0
	}
}

// coordinatorNode returns the node that runs the pool's coordinator.
func (w *world) coordinatorNode() *node {
	for _, n := range w.nodes {
		if n.up && n.workers[trainingPool] != nil && n.workers[trainingPool].machine.Running() {
			return n
		}
	}
	return nil
}

// killNode kills a node and restarts it later.
func (w *world) killNode(n *node) time.Duration {
	downtime := w.randomDuration(time.Second, 10*time.Second)
	n.kill()
	w.after(downtime, n.start)
	return downtime
}

// killAt selects the node to kill and the number of worker actions until then.
type killAt struct {
	node  *node
	steps int
}

// step counts worker actions and kills the node that killAt selects.
func (w *world) step(n *node, action poolworker.Action) {
	w.trace("%s does %T", n.name, action)
	if w.killAt.node != n || !n.up || w.queue.Now() >= w.faultsEnd() {
		return
	}
	w.killAt.steps--
	if w.killAt.steps <= 0 {
		w.killAt = killAt{}
		w.trace("%s is killed before %T", n.name, action)
		w.recordFault(n.name, FaultCoordinatorStep, w.killNode(n)+recoveryTime)
	}
}

// stopNode drains and stops a node, and restarts it later.
func (w *world) stopNode(n *node) {
	from := w.queue.Now()
	stopped := func() {
		w.observed.rest.GracefulStops = append(w.observed.rest.GracefulStops, audit.GracefulStop{Process: n.name, From: from, To: w.queue.Now()})
		w.after(w.randomDuration(time.Second, 5*time.Second), n.start)
	}
	n.drain(stopped)
	if w.without(SafeguardDrain) && n.up {
		n.kill()
		stopped()
	}
}

func (w *world) startTrainerFault(kind Fault) (string, time.Duration) {
	t := w.trainer
	switch kind {
	case FaultTrainerCrash:
		downtime := w.randomDuration(500*time.Millisecond, 5*time.Second)
		t.crash(downtime)
		return t.name, downtime
	case FaultTrainerRepeats:
		t.repeatNext++
	case FaultTrainerRequestsPrevious:
		t.previousNext++
	case FaultPublishRace:
		t.publishEarlyNext++
	}
	return t.name, time.Second
}

func (w *world) startSiteFault(kind Fault) (string, time.Duration) {
	length := w.randomDuration(time.Second, 8*time.Second)
	switch kind {
	case FaultCutBefore:
		w.enableFor(length, func() { w.cutBefore = 0.1 }, func() { w.cutBefore = 0 })
	case FaultCutAfter:
		w.enableFor(length, func() { w.cutAfter = 0.1 }, func() { w.cutAfter = 0 })
	case FaultZonePartition:
		return w.partitionZone(randomElement(w, w.nodes).zone, length)
	case FaultControlOutage:
		w.control.downUntil = w.queue.Now() + length
	case FaultProposalLost:
		w.control.loseProposals += 1 + w.random.faults.IntN(3)
	case FaultAnswerLost:
		w.control.loseAnswers += 1 + w.random.faults.IntN(3)
	case FaultViewLate:
		w.enableFor(length, func() { w.control.viewLag = 2 * time.Second }, func() { w.control.viewLag = 0 })
	case FaultScorerLate:
		w.scorer.lateUntil = w.queue.Now() + length
	case FaultScorerFails:
		w.scorer.failNext += 1 + w.random.faults.IntN(8)
	default:
		w.fail("unknown fault %q", kind)
		return "", 0
	}
	return "site", length
}

func (w *world) partitionZone(zone port.ZoneName, length time.Duration) (string, time.Duration) {
	if len(w.partitionedZones) > 0 {
		return "", 0
	}
	w.enableFor(length, func() {
		w.partitionedZones[zone] = true
		w.breakPartitioned()
	}, func() { delete(w.partitionedZones, zone) })
	return string(zone), length
}

// cutsRequest draws whether a connection breaks before its request arrives.
func (w *world) cutsRequest() bool {
	return w.cutBefore > 0 && w.random.network.Float64() < w.cutBefore
}

// cutsAnswer draws after how many response messages a connection breaks; -1 means
// never.
func (w *world) cutsAnswer() int {
	if w.cutAfter > 0 && w.random.network.Float64() < w.cutAfter {
		return w.random.network.IntN(4)
	}
	return -1
}

// pollDelay draws the delay of an engine's response to a poll.
func (w *world) pollDelay(e *modelEngine) time.Duration {
	if w.queue.Now() < e.lateUntil {
		return time.Duration(w.random.service.Int64N(int64(maxPollDelay)))
	}
	return 0
}
