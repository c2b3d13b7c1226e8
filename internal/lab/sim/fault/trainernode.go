package fault

import (
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// What a node does for a trainer: it hands its questions to the pool's coordinator and
// its commands to the log.

// batch answers a trainer's question here or at the coordinator's node.
func (n *node) batch(s *stream, number port.BatchNumber, epoch port.Epoch, take func(*coordinator.Deliver, *port.Error)) {
	if n.draining {
		s.answer(true, func() { take(nil, port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")) })
		return
	}
	end := n.begin()
	reply := func(batch *coordinator.Deliver, failure *port.Error) {
		s.answer(true, func() { take(batch, failure) })
		end()
	}
	if n.workers[trainingPool] != nil {
		s.left = n.ask(number, epoch, reply)
		return
	}
	holder := n.leaseHolder()
	if holder == nil || holder == n {
		reply(nil, notCoordinator())
		return
	}
	out := n.world.dial(&n.process, &holder.process, func(inner *stream) {
		if holder.workers[trainingPool] == nil {
			inner.answer(true, func() { reply(nil, notCoordinator()) })
			return
		}
		innerEnd := holder.begin()
		inner.left = holder.ask(number, epoch, func(batch *coordinator.Deliver, failure *port.Error) {
			inner.answer(true, func() { reply(batch, failure) })
			innerEnd()
		})
	}, func(failure *port.Error) { reply(nil, failure) })
	s.left = func() {
		if !out.closed {
			out.close()
			end()
		}
	}
}

func (n *node) leaseHolder() *node {
	for _, lease := range n.snapshot.View.Leases {
		if lease.Name == port.CoordinatorLease(trainingPool) {
			return n.world.node(lease.Holder)
		}
	}
	return nil
}

// ask puts a question to the coordinator that runs here; the function that it
// gives says that the asker is gone.
func (n *node) ask(number port.BatchNumber, epoch port.Epoch, reply func(*coordinator.Deliver, *port.Error)) (left func()) {
	w := n.workers[trainingPool]
	w.tokens++
	token := w.tokens
	w.questions[token] = func(batch *coordinator.Deliver, failure *port.Error) {
		if batch == nil && n.world.without(SafeguardOnce) && n.world.delivered[number] != nil {
			batch, failure = n.world.delivered[number], nil
		}
		if batch != nil {
			n.world.delivered[number] = batch
		}
		reply(batch, failure)
	}
	event := coordinator.BatchRequested{
		Token: token, Number: number, ConsumerEpoch: epoch, Deadline: n.world.clock().Add(askWait),
	}
	if !w.machine.Running() {
		n.later(0, func() { w.answer(token, nil, notCoordinator()) })
	} else {
		w.tell(event)
	}
	return func() {
		if w.questions[token] != nil {
			w.answer(token, nil, cutOff())
			w.tell(coordinator.RequestAbandoned{Token: token})
		}
	}
}

// propose puts a command of a trainer through the log. The pool's coordinator is told of a
// publication before, and of its outcome.
func (n *node) propose(command port.Command, take func(port.Result, *port.Error)) {
	control := n.world.control
	publish := command.PublishWeights
	if publish == nil {
		control.propose(&n.process, command, callTimeout, take)
		return
	}
	n.tellCoordinator(coordinator.PublicationStarted{Version: publish.Version}, func() {
		control.propose(&n.process, command, callTimeout, func(result port.Result, failure *port.Error) {
			published := failure == nil && result.Error == nil
			ended := coordinator.PublicationEnded{Version: publish.Version, Published: published}
			n.tellCoordinator(ended, func() { take(result, failure) })
		})
	})
}

// tellCoordinator tells the pool's coordinator, here or at another node, and goes on once
// it knows or does not answer in time.
func (n *node) tellCoordinator(event coordinator.Event, then func()) {
	if w := n.workers[trainingPool]; w != nil {
		w.tell(event)
		then()
		return
	}
	holder := n.leaseHolder()
	if holder == nil || holder == n {
		then()
		return
	}
	life, once := n.life, false
	goOn := func() {
		if !once && n.life == life {
			once = true
			then()
		}
	}
	s := n.world.dial(&n.process, &holder.process, func(inner *stream) {
		if w := holder.workers[trainingPool]; w != nil {
			w.tell(event)
		}
		inner.answer(true, goOn)
	}, func(*port.Error) { goOn() })
	n.world.after(publicationTimeout, func() {
		s.close()
		goOn()
	})
}
