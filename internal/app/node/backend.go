package node

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Application serves a call to an application pool. An error is a *port.Error.
func (n *Node) Application(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
	ctx, leave, entered := n.enter(ctx)
	if !entered {
		return port.ApplicationResponse{}, drainingError()
	}
	defer leave()
	if request.ID == "" {
		request.ID = n.NewRequestID()
	}
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	serve := n.callApplication
	if request.Key != "" {
		serve = n.callKeyed
	}
	response, failure := serve(ctx, request)
	return response, orNil(failure)
}

// Generate serves a completion and hands its chunks to receive. An error is a
// *port.Error; after the first chunk it may still come.
func (n *Node) Generate(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
	ctx, leave, entered := n.enter(ctx)
	if !entered {
		return drainingError()
	}
	defer leave()
	if request.ID == "" {
		request.ID = n.NewRequestID()
	}
	return orNil(n.generate(ctx, &generation{
		request: request, subject: string(request.ID), resume: true, receive: receive,
	}))
}

// NewRequestID gives an id that names this node as the holder of the records.
func (n *Node) NewRequestID() port.RequestID { return n.recorder.newRequestID() }

// RegisterConsumer makes a trainer the only consumer of a pool.
func (n *Node) RegisterConsumer(ctx context.Context, register port.RegisterConsumer) (port.Consumer, error) {
	consumer, failure := n.registerConsumer(ctx, register)
	return consumer, orNil(failure)
}

// Batch answers a trainer's question for a batch, held for at most waitMillis.
func (n *Node) Batch(ctx context.Context, pool port.PoolName, number port.BatchNumber, consumer port.Epoch, waitMillis int64) (api.Batch, error) {
	ctx, leave, entered := n.enter(ctx)
	if !entered {
		return api.Batch{}, drainingError()
	}
	defer leave()
	batch, failure := n.batch(ctx, batchCall{Pool: pool, Number: number, ConsumerEpoch: consumer, WaitMillis: waitMillis})
	return batch, orNil(failure)
}

// PublishWeights makes a version of a pool's weights current.
func (n *Node) PublishWeights(ctx context.Context, changeID string, publish port.PublishWeights) (port.Result, error) {
	result, failure := n.publishWeights(ctx, changeID, publish)
	return result, orNil(failure)
}

// Ready says whether the node has a configuration and takes requests.
func (n *Node) Ready() bool {
	current := n.snapshot.Load()
	routes := len(current.Pools) > 0 || len(current.View.Configuration.Pools) == 0
	return current.View.Revision > 0 && routes && !n.traffic.isDraining()
}

// Unconfirmed says whether the configuration lease has run out, so that answers
// are marked.
func (n *Node) Unconfirmed() bool { return !n.confirmed() }

// View gives the control view that is in force here.
func (n *Node) View() *port.View { return n.snapshot.Load().View }

// Serving counts, by pool and version, the replicas that this node is the home
// of.
func (n *Node) Serving() []port.ServingCount {
	if counts := n.serving.Load(); counts != nil {
		return *counts
	}
	return nil
}
