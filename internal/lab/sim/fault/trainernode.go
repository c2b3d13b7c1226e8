package fault

import (
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Nodes forward a trainer's batch requests to the pool's coordinator and its commands
// to the control log.

// batch serves a trainer's batch request here or at the coordinator's node.
func (n *node) batch(s *stream, number port.BatchNumber, epoch port.Epoch, handle func(*coordinator.Deliver, *port.Error)) {
	if n.draining {
		s.answer(true, func() { handle(nil, port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")) })
		return
	}
	end := n.trackRequest()
	reply := func(batch *coordinator.Deliver, failure *port.Error) {
		s.answer(true, func() { handle(batch, failure) })
		end()
	}
	if n.workers[trainingPool] != nil {
		s.onDisconnect = n.requestBatch(number, epoch, reply)
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
		innerEnd := holder.trackRequest()
		inner.onDisconnect = holder.requestBatch(number, epoch, func(batch *coordinator.Deliver, failure *port.Error) {
			inner.answer(true, func() { reply(batch, failure) })
			innerEnd()
		})
	}, func(failure *port.Error) { reply(nil, failure) })
	s.onDisconnect = func() {
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

// requestBatch passes a batch request to the local coordinator; the caller calls
// the returned function when the client disconnects.
func (n *node) requestBatch(number port.BatchNumber, epoch port.Epoch, reply func(*coordinator.Deliver, *port.Error)) (onDisconnect func()) {
	w := n.workers[trainingPool]
	w.lastToken++
	token := w.lastToken
	w.batchRequests[token] = func(batch *coordinator.Deliver, failure *port.Error) {
		if batch == nil && n.world.without(SafeguardSingleDelivery) && n.world.delivered[number] != nil {
			batch, failure = n.world.delivered[number], nil
		}
		if batch != nil {
			n.world.delivered[number] = batch
		}
		reply(batch, failure)
	}
	event := coordinator.BatchRequested{
		Token: token, Number: number, ConsumerEpoch: epoch, Deadline: n.world.clock().Add(batchTimeout),
	}
	if !w.machine.Running() {
		n.later(0, func() { w.answer(token, nil, notCoordinator()) })
	} else {
		w.handleEvent(event)
	}
	return func() {
		if w.batchRequests[token] != nil {
			w.answer(token, nil, connectionLost())
			w.handleEvent(coordinator.RequestAbandoned{Token: token})
		}
	}
}

// propose submits a trainer's command to the log. It notifies the pool's coordinator
// before a publication and of its outcome.
func (n *node) propose(command port.Command, handle func(port.Result, *port.Error)) {
	control := n.world.control
	publish := command.PublishWeights
	if publish == nil {
		control.propose(&n.process, command, callTimeout, handle)
		return
	}
	n.notifyCoordinator(coordinator.PublicationStarted{Version: publish.Version}, func() {
		control.propose(&n.process, command, callTimeout, func(result port.Result, failure *port.Error) {
			published := failure == nil && result.Error == nil
			ended := coordinator.PublicationEnded{Version: publish.Version, Published: published}
			n.notifyCoordinator(ended, func() { handle(result, failure) })
		})
	})
}

// notifyCoordinator sends an event to the pool's coordinator and continues after its
// answer or a timeout.
func (n *node) notifyCoordinator(event coordinator.Event, then func()) {
	if w := n.workers[trainingPool]; w != nil {
		w.handleEvent(event)
		then()
		return
	}
	holder := n.leaseHolder()
	if holder == nil || holder == n {
		then()
		return
	}
	incarnation, done := n.incarnation, false
	proceed := func() {
		if !done && n.incarnation == incarnation {
			done = true
			then()
		}
	}
	s := n.world.dial(&n.process, &holder.process, func(inner *stream) {
		if w := holder.workers[trainingPool]; w != nil {
			w.handleEvent(event)
		}
		inner.answer(true, proceed)
	}, func(*port.Error) { proceed() })
	n.world.after(publicationTimeout, func() {
		s.close()
		proceed()
	})
}
