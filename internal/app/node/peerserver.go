package node

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// servePeers registers the handlers of the peer protocol.
func (n *Node) servePeers() {
	n.server.Handle(peerapi.MethodGenerate, n.handleGenerate)
	n.server.Handle(methodApplication, n.handleApplication)
	n.server.Handle(peerapi.MethodOrder, callHandler(n.order))
	n.server.Handle(methodClaimKey, callHandler(func(_ context.Context, call claimCall) (claimAnswer, *port.Error) {
		return n.handleClaim(call)
	}))
	n.server.Handle(methodExplain, callHandler(func(_ context.Context, call explainCall) (explainAnswer, *port.Error) {
		return explainAnswer{Decisions: n.recorder.get(call.Subject)}, nil
	}))
	n.server.Handle(peerapi.MethodPoolState, callHandler(func(ctx context.Context, call nodestate.PoolStateCall) (nodestate.PoolStateAnswer, *port.Error) {
		return n.servePoolState(ctx, call), nil
	}))
	n.server.Handle(methodBatch, callHandler(n.handleBatch))
	n.server.Handle(methodPublication, callHandler(n.handlePublication))

	n.server.HandleMessage(peerapi.MethodMember, messageHandler(n, func(message membership.Message) event { return memberMessage{message} }))
	n.server.HandleMessage(peerapi.MethodSummary, messageHandler(n, func(summary membership.HomeSummary) event { return summaryMessage{summary} }))
	n.server.HandleMessage(peerapi.MethodAggregates, messageHandler(n, func(message nodestate.AggregatesMessage) event { return aggregatesMessage{message} }))
	n.server.HandleMessage(methodMachines, messageHandler(n, func(message nodestate.MachinesMessage) event { return machinesMessage{message} }))
	n.server.HandleMessage(peerapi.MethodOutcomes, messageHandler(n, func(message nodestate.OutcomesMessage) event { return outcomesMessage{message.Outcomes} }))
}

// callHandler returns a handler for a method with one request and one answer.
func callHandler[Request, Answer any](serve func(context.Context, Request) (Answer, *port.Error)) wire.Handler {
	return func(ctx context.Context, call *wire.Call) error {
		var request Request
		if err := call.Decode(&request); err != nil {
			return err
		}
		answer, failure := serve(ctx, request)
		if failure != nil {
			return failure
		}
		return call.Send(answer)
	}
}

// messageHandler returns a handler that queues a one-way message for the control
// goroutine.
func messageHandler[Message any](n *Node, wrap func(Message) event) wire.MessageHandler {
	return func(_ context.Context, call *wire.Call) {
		var message Message
		if call.Decode(&message) == nil {
			n.post(wrap(message))
		}
	}
}

func (n *Node) handleGenerate(ctx context.Context, call *wire.Call) error {
	ctx, leave, entered := n.enter(ctx)
	if !entered {
		return drainingError()
	}
	defer leave()
	var request peerapi.GenerateCall
	if err := call.Decode(&request); err != nil {
		return err
	}
	return toError(n.serveGenerate(ctx, &request, func(next peerapi.GenerateEvent) error { return call.Send(next) }))
}

func (n *Node) handleApplication(ctx context.Context, call *wire.Call) error {
	ctx, leave, entered := n.enter(ctx)
	if !entered {
		return drainingError()
	}
	defer leave()
	var request applicationCall
	if err := call.Decode(&request); err != nil {
		return err
	}
	response, failure := n.runKeyed(ctx, request.Request)
	if failure != nil {
		return failure
	}
	return call.Send(response)
}

// handleBatch serves the request at the coordinator that runs here. It never forwards
// the request, since nodes with outdated views could forward it in circles.
func (n *Node) handleBatch(ctx context.Context, call batchCall) (batchAnswer, *port.Error) {
	worker := n.sampling.worker(call.Pool)
	if worker == nil {
		return batchAnswer{}, noCoordinatorError(call.Pool)
	}
	batch, failure := worker.requestBatch(ctx, call)
	return batchAnswer{Batch: batch}, failure
}
