package node

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// servePeers registers what the node serves to its peers.
func (n *Node) servePeers() {
	n.server.Handle(peerapi.MethodGenerate, n.handleGenerate)
	n.server.Handle(methodApplication, n.handleApplication)
	n.server.Handle(peerapi.MethodOrder, answering(n.order))
	n.server.Handle(methodClaimKey, answering(func(_ context.Context, call claimCall) (claimAnswer, *port.Error) {
		return n.noteClaim(call)
	}))
	n.server.Handle(methodExplain, answering(func(_ context.Context, call explainCall) (explainAnswer, *port.Error) {
		return explainAnswer{Decisions: n.recorder.get(call.Subject)}, nil
	}))
	n.server.Handle(peerapi.MethodPoolState, answering(func(ctx context.Context, call nodestate.PoolStateCall) (nodestate.PoolStateAnswer, *port.Error) {
		return n.servePoolState(ctx, call), nil
	}))
	n.server.Handle(methodBatch, answering(n.handleBatch))
	n.server.Handle(methodPublication, answering(n.handlePublication))

	n.server.HandleMessage(peerapi.MethodMember, posting(n, func(message membership.Message) event { return memberMessage{message} }))
	n.server.HandleMessage(peerapi.MethodSummary, posting(n, func(summary membership.HomeSummary) event { return summaryMessage{summary} }))
	n.server.HandleMessage(peerapi.MethodAggregates, posting(n, func(message nodestate.AggregatesMessage) event { return aggregatesTold{message} }))
	n.server.HandleMessage(methodMachines, posting(n, func(message nodestate.MachinesMessage) event { return machinesTold{message} }))
	n.server.HandleMessage(peerapi.MethodOutcomes, posting(n, func(message nodestate.OutcomesMessage) event { return outcomesTaken{message.Outcomes} }))
}

// answering makes a handler of a function with one request and one answer.
func answering[Request, Answer any](serve func(context.Context, Request) (Answer, *port.Error)) wire.Handler {
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

// posting makes a handler that hands a one-way message to the control goroutine.
func posting[Message any](n *Node, wrap func(Message) event) wire.MessageHandler {
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
	return orNil(n.serveGenerate(ctx, &request, func(next peerapi.GenerateEvent) error { return call.Send(next) }))
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

// handleBatch answers for the coordinator that runs here; it never passes the
// question on, so that two nodes with old views can't send it in circles.
func (n *Node) handleBatch(ctx context.Context, call batchCall) (batchAnswer, *port.Error) {
	worker := n.sampling.worker(call.Pool)
	if worker == nil {
		return batchAnswer{}, notCoordinator(call.Pool)
	}
	batch, failure := worker.ask(ctx, call)
	return batchAnswer{Batch: batch}, failure
}
