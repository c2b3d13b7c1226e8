package fault

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
)

// injectNext injects faults after a while, and again, until their time is over.
func (w *world) injectNext() {
	wait := time.Duration(w.random.faults.ExpFloat64() * float64(w.options.Scenario.Every))
	w.after(wait, func() {
		if w.queue.Now() >= w.faultsEnd() || len(w.options.Scenario.Faults) == 0 {
			return
		}
		for range w.options.Scenario.Together {
			w.inject(w.options.Scenario.Faults[w.random.faults.IntN(len(w.options.Scenario.Faults))])
		}
		w.injectNext()
	})
}

// while turns something on for a time.
func (w *world) while(length time.Duration, on, off func()) {
	on()
	w.after(length, off)
}

// between draws a time.
func (w *world) drawn(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.faults.Int64N(int64(most-least)))
}

func draw[T any](w *world, from []T) T { return from[w.random.faults.IntN(len(from))] }

// disturbs notes for the audit when a failure can be blamed on a fault.
func (w *world) disturbs(target string, kind Fault, length time.Duration) {
	now := w.queue.Now()
	w.seen.rest.Faults = append(w.seen.rest.Faults, audit.Fault{Target: target, Kind: string(kind), From: now, To: now + length})
}

// aftermath is how long the effects of a fault may go on after its end.
const aftermath = 5 * time.Second

// inject brings one fault about.
func (w *world) inject(kind Fault) {
	target, length := w.begin(kind)
	if target == "" {
		return
	}
	w.count.faults[kind]++
	w.trace("FAULT %s at %s for %v", kind, target, length)
	if kind != FaultNodeStop && kind != FaultEngineLeaves && kind != FaultBackEndLeaves {
		w.disturbs(target, kind, length+aftermath)
	}
}

// begin gives whom the fault concerns, empty if it can't be now, and for how
// long.
func (w *world) begin(kind Fault) (target string, length time.Duration) {
	switch kind {
	case FaultEngineCrash, FaultEngineRefuses, FaultEngineMixes, FaultEngineGoesOn, FaultSwapFails, FaultSwapMisdirected, FaultLoadLate, FaultEngineLeaves:
		return w.disturbEngine(kind, draw(w, w.engines))
	case FaultBackEndCrash, FaultBackEndMixes, FaultBackEndRefuses, FaultBackEndFails, FaultBackEndSlow, FaultBackEndLeaves:
		return w.disturbBackEnd(kind, draw(w, w.backEnds))
	case FaultNodeKilled, FaultCoordinatorStep, FaultTwoCoordinators, FaultTwoHomes, FaultNodeStop:
		return w.disturbNode(kind)
	case FaultTrainerCrash, FaultTrainerTwice, FaultTrainerPrevious, FaultPublishRace:
		return w.disturbTrainer(kind)
	default:
		return w.disturbRest(kind)
	}
}

func (w *world) disturbEngine(kind Fault, e *modelEngine) (string, time.Duration) {
	if !e.up {
		return "", 0
	}
	switch kind {
	case FaultEngineCrash:
		away := w.drawn(500*time.Millisecond, 5*time.Second)
		e.crash(away)
		return e.name, away
	case FaultEngineRefuses:
		e.refuseNext += 1 + w.random.faults.IntN(4)
	case FaultEngineMixes:
		e.mixNext += 1 + w.random.faults.IntN(3)
	case FaultEngineGoesOn:
		e.ignoreCancel += 1 + w.random.faults.IntN(4)
	case FaultSwapFails:
		e.model.FailNextSwap()
	case FaultSwapMisdirected:
		e.model.MisdirectNextSwap(w.otherWeights())
	case FaultLoadLate:
		e.lateUntil = w.queue.Now() + w.drawn(2*time.Second, 10*time.Second)
	case FaultEngineLeaves:
		return w.depart(e.name, e.address, e.zone, e.idle, e.retire)
	}
	return e.name, 10 * time.Second
}

func (w *world) disturbBackEnd(kind Fault, b *backEnd) (string, time.Duration) {
	if !b.up {
		return "", 0
	}
	switch kind {
	case FaultBackEndCrash:
		away := w.drawn(500*time.Millisecond, 5*time.Second)
		b.crash(away)
		return b.name, away
	case FaultBackEndMixes:
		b.mixNext += 1 + w.random.faults.IntN(3)
	case FaultBackEndRefuses:
		b.refuseNext += 1 + w.random.faults.IntN(5)
	case FaultBackEndFails:
		b.failNext += 1 + w.random.faults.IntN(5)
	case FaultBackEndSlow:
		length := w.drawn(time.Second, 6*time.Second)
		w.while(length, func() { b.slow = 300 * time.Millisecond }, func() { b.slow = 0 })
		return b.name, length
	case FaultBackEndLeaves:
		return w.depart(b.name, b.address, b.zone, b.idle, b.retire)
	}
	return b.name, time.Second
}

func (w *world) disturbNode(kind Fault) (string, time.Duration) {
	n := draw(w, w.nodes)
	if kind == FaultCoordinatorStep || kind == FaultTwoCoordinators {
		n = w.coordinatorNode()
	}
	if n == nil || !n.up || n.draining || w.apart[n.name] {
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
		// The node goes on, and nobody hears of it.
		length := w.drawn(3*time.Second, 15*time.Second)
		w.while(length, func() {
			w.apart[n.name] = true
			w.breakCut()
		}, func() { delete(w.apart, n.name) })
		return n.name, length
	default:
		w.stopNode(n)
		return n.name, 0
	}
}

// coordinatorNode gives the node whose worker coordinates the pool.
func (w *world) coordinatorNode() *node {
	for _, n := range w.nodes {
		if n.up && n.workers[trainingPool] != nil && n.workers[trainingPool].machine.Running() {
			return n
		}
	}
	return nil
}

// killNode kills a node and brings it back later.
func (w *world) killNode(n *node) time.Duration {
	away := w.drawn(time.Second, 10*time.Second)
	n.die()
	w.after(away, n.start)
	return away
}

// killAt says at which step of a worker its node is killed.
type killAt struct {
	node  *node
	steps int
}

// step counts the actions of workers, and kills the node whose turn it is.
func (w *world) step(n *node, action poolworker.Action) {
	w.trace("%s does %T", n.name, action)
	if w.killAt.node != n || !n.up || w.queue.Now() >= w.faultsEnd() {
		return
	}
	w.killAt.steps--
	if w.killAt.steps <= 0 {
		w.killAt = killAt{}
		w.trace("%s is killed before %T", n.name, action)
		w.disturbs(n.name, FaultCoordinatorStep, w.killNode(n)+aftermath)
	}
}

// stopNode stops a node as planned and starts it again later.
func (w *world) stopNode(n *node) {
	from := w.queue.Now()
	stopped := func() {
		w.seen.rest.PlannedStops = append(w.seen.rest.PlannedStops, audit.PlannedStop{Process: n.name, From: from, To: w.queue.Now()})
		w.after(w.drawn(time.Second, 5*time.Second), n.start)
	}
	n.drain(stopped)
	if w.without(SafeguardDrain) && n.up {
		n.die()
		stopped()
	}
}

func (w *world) disturbTrainer(kind Fault) (string, time.Duration) {
	t := w.trainer
	switch kind {
	case FaultTrainerCrash:
		away := w.drawn(500*time.Millisecond, 5*time.Second)
		t.crash(away)
		return t.name, away
	case FaultTrainerTwice:
		t.twice++
	case FaultTrainerPrevious:
		t.previous++
	case FaultPublishRace:
		t.early++
	}
	return t.name, time.Second
}

func (w *world) disturbRest(kind Fault) (string, time.Duration) {
	length := w.drawn(time.Second, 8*time.Second)
	switch kind {
	case FaultCutBefore:
		w.while(length, func() { w.cutBefore = 0.1 }, func() { w.cutBefore = 0 })
	case FaultCutAfter:
		w.while(length, func() { w.cutAfter = 0.1 }, func() { w.cutAfter = 0 })
	case FaultZoneCut:
		return w.cutZone(draw(w, w.nodes).zone, length)
	case FaultControlOutage:
		w.control.downUntil = w.queue.Now() + length
	case FaultProposalLost:
		w.control.loseProposals += 1 + w.random.faults.IntN(3)
	case FaultAnswerLost:
		w.control.loseAnswers += 1 + w.random.faults.IntN(3)
	case FaultViewLate:
		w.while(length, func() { w.control.viewLag = 2 * time.Second }, func() { w.control.viewLag = 0 })
	case FaultScorerLate:
		w.scorer.lateUntil = w.queue.Now() + length
	case FaultScorerFails:
		w.scorer.failNext += 1 + w.random.faults.IntN(8)
	default:
		w.fail("fault %q is not known", kind)
		return "", 0
	}
	return "site", length
}

func (w *world) cutZone(zone port.ZoneName, length time.Duration) (string, time.Duration) {
	if len(w.cutZones) > 0 {
		return "", 0
	}
	w.while(length, func() {
		w.cutZones[zone] = true
		w.breakCut()
	}, func() { delete(w.cutZones, zone) })
	return string(zone), length
}

// cutsRequest draws whether a connection is cut before its request arrives.
func (w *world) cutsRequest() bool {
	return w.cutBefore > 0 && w.random.network.Float64() < w.cutBefore
}

// cutsAnswer draws after how many messages of the answer a connection is cut; -1
// means never.
func (w *world) cutsAnswer() int {
	if w.cutAfter > 0 && w.random.network.Float64() < w.cutAfter {
		return w.random.network.IntN(4)
	}
	return -1
}

// lateness is how long the answer of an engine to a poll takes.
func (w *world) lateness(e *modelEngine) time.Duration {
	if w.queue.Now() < e.lateUntil {
		return time.Duration(w.random.service.Int64N(int64(staleLoadLag)))
	}
	return 0
}
