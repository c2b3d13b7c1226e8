package node

import (
	"context"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// Application serves a call to an application pool. Errors are of type *port.Error.
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
	return response, toError(failure)
}

// Generate serves a completion and passes its chunks to receive. Errors are of type
// *port.Error and may follow the first chunk.
func (n *Node) Generate(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
	ctx, leave, entered := n.enter(ctx)
	if !entered {
		return drainingError()
	}
	defer leave()
	if request.ID == "" {
		request.ID = n.NewRequestID()
	}
	return toError(n.generate(ctx, &generation{
		request: request, subject: string(request.ID), resume: true, receive: receive,
	}))
}

// NewRequestID returns a request id that names this node as the one with the records.
func (n *Node) NewRequestID() port.RequestID { return n.recorder.newRequestID() }

// RegisterConsumer makes a trainer the only consumer of a pool.
func (n *Node) RegisterConsumer(ctx context.Context, register port.RegisterConsumer) (port.Consumer, error) {
	consumer, failure := n.registerConsumer(ctx, register)
	return consumer, toError(failure)
}

// Batch serves a trainer's request for a batch, waiting at most waitMillis for it.
func (n *Node) Batch(ctx context.Context, pool port.PoolName, number port.BatchNumber, consumer port.Epoch, waitMillis int64) (api.Batch, error) {
	ctx, leave, entered := n.enter(ctx)
	if !entered {
		return api.Batch{}, drainingError()
	}
	defer leave()
	batch, failure := n.batch(ctx, batchCall{Pool: pool, Number: number, ConsumerEpoch: consumer, WaitMillis: waitMillis})
	return batch, toError(failure)
}

// PublishWeights makes a version of a pool's weights current.
func (n *Node) PublishWeights(ctx context.Context, changeID string, publish port.PublishWeights) (port.Result, error) {
	result, failure := n.publishWeights(ctx, changeID, publish)
	return result, toError(failure)
}

// Ready reports whether the node has a configuration and accepts requests.
func (n *Node) Ready() bool {
	current := n.snapshot.Load()
	routes := len(current.Pools) > 0 || len(current.View.Configuration.Pools) == 0
	return current.View.Revision > 0 && routes && !n.traffic.isDraining()
}

// Unconfirmed reports whether the configuration lease has expired; answers are then
// marked as unconfirmed.
func (n *Node) Unconfirmed() bool { return !n.confirmed() }

// View returns the current control view of this node.
func (n *Node) View() *port.View { return n.snapshot.Load().View }

// Serving returns, by pool and version, the number of replicas whose home is this node.
func (n *Node) Serving() []port.ServingCount {
	if counts := n.serving.Load(); counts != nil {
		return *counts
	}
	return nil
}
