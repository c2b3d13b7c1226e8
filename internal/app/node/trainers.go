package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// noCoordinatorRetryAfter is the RetryAfter while a pool has no coordinator.
const noCoordinatorRetryAfter = 500 * time.Millisecond

// batchReply is the coordinator's reply to a request for a batch.
type batchReply struct {
	batch *coordinator.Deliver
	err   *port.Error
}

// batchRequested passes a trainer's request to the coordinator.
type batchRequested struct {
	event coordinator.BatchRequested
	reply chan batchReply
}

func (e batchRequested) apply(w *poolWorker, now time.Time) {
	w.pendingRequests[e.event.Token] = e.reply
	w.step(now, e.event)
}

// requestAbandoned reports that the context of a request ended before the reply.
type requestAbandoned struct{ token uint64 }

func (e requestAbandoned) apply(w *poolWorker, now time.Time) {
	delete(w.pendingRequests, e.token)
	w.step(now, coordinator.RequestAbandoned{Token: e.token})
}

// reply answers a pending request once.
func (w *poolWorker) reply(token uint64, reply batchReply) {
	if replies := w.pendingRequests[token]; replies != nil {
		delete(w.pendingRequests, token)
		replies <- reply
	}
}

func noCoordinatorError(pool port.PoolName) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeUnavailable, "pool %s has no coordinator at this moment", pool)
	refusal.RetryAfter = noCoordinatorRetryAfter
	return refusal
}

// requestBatch passes a trainer's request to the coordinator that runs here.
func (w *poolWorker) requestBatch(ctx context.Context, call batchCall) (api.Batch, *port.Error) {
	token := w.tokens.Add(1)
	replies := make(chan batchReply, 1)
	event := coordinator.BatchRequested{
		Token: token, Number: call.Number, ConsumerEpoch: call.ConsumerEpoch,
		Deadline: time.Now().Add(time.Duration(call.WaitMillis) * time.Millisecond),
	}
	select {
	case w.events <- batchRequested{event: event, reply: replies}:
	case <-w.closed:
		return api.Batch{}, noCoordinatorError(w.pool)
	case <-ctx.Done():
		return api.Batch{}, contextError(ctx)
	}
	select {
	case reply := <-replies:
		return w.batchOf(reply)
	case <-w.closed:
	case <-ctx.Done():
		w.post(requestAbandoned{token})
	}
	select {
	case reply := <-replies:
		return w.batchOf(reply)
	default:
	}
	if ctx.Err() != nil {
		return api.Batch{}, contextError(ctx)
	}
	return api.Batch{}, noCoordinatorError(w.pool)
}

func (w *poolWorker) batchOf(reply batchReply) (api.Batch, *port.Error) {
	if reply.err != nil {
		return api.Batch{}, reply.err
	}
	batch := api.Batch{
		Pool: string(w.pool), Number: uint64(reply.batch.Number), Attempt: reply.batch.Attempt,
		TrainerVersion: uint64(reply.batch.TrainerVersion),
		Samples:        make([]api.Sample, 0, len(reply.batch.Samples)),
	}
	for _, sample := range reply.batch.Samples {
		batch.Samples = append(batch.Samples, api.Sample{
			ID: sample.ID.String(), Prompt: sample.Prompt, Text: sample.Text,
			Tokens: sample.Tokens, Reward: sample.Reward, Spans: sample.Spans,
		})
	}
	return batch, nil
}

// batch serves a trainer's request here or at the coordinator's node.
func (n *Node) batch(ctx context.Context, call batchCall) (api.Batch, *port.Error) {
	if worker := n.sampling.worker(call.Pool); worker != nil {
		return worker.requestBatch(ctx, call)
	}
	if pool, found := viewPool(n.snapshot.Load().View, call.Pool); !found || pool.Sampling == nil {
		return api.Batch{}, poolNotFoundError(call.Pool)
	}
	holder, known := n.coordinatorOf(call.Pool)
	if !known {
		return api.Batch{}, noCoordinatorError(call.Pool)
	}
	var reply batchAnswer
	failure := n.peers.call(ctx, holder.PeerAddress, methodBatch, call, &reply)
	return reply.Batch, failure
}

// coordinatorOf returns the other node that coordinates a pool, if known.
func (n *Node) coordinatorOf(pool port.PoolName) (port.NodeAddress, bool) {
	current := n.snapshot.Load()
	lease, found := viewLease(current.View, port.CoordinatorLease(pool))
	holder, known := current.Nodes[lease.Holder]
	return holder, found && known && holder.ID != n.config.ID
}

// registerConsumer makes a trainer its pool's only consumer. The coordinator receives
// the new epoch with the first request of the trainer.
func (n *Node) registerConsumer(ctx context.Context, register port.RegisterConsumer) (port.Consumer, *port.Error) {
	result, err := n.config.Control.Propose(ctx, port.Command{RegisterConsumer: &register})
	if err != nil {
		return port.Consumer{}, port.AsError(err)
	}
	if result.Error != nil {
		return port.Consumer{}, result.Error
	}
	if result.Consumer == nil {
		return port.Consumer{}, port.NewError(port.MayHaveRun, port.CodeInternal, "no consumer in the answer")
	}
	return *result.Consumer, nil
}

// publishWeights makes a version of a pool's weights current. The pool's coordinator is
// notified first, so that it doesn't deliver a batch by an older version once the
// trainer has the answer.
func (n *Node) publishWeights(ctx context.Context, changeID string, publish port.PublishWeights) (port.Result, *port.Error) {
	call := publicationCall{Pool: publish.Pool, Version: publish.Version}
	n.notifyCoordinator(ctx, call)
	result, err := n.config.Control.Propose(ctx, port.Command{ChangeID: changeID, PublishWeights: &publish})
	// A version refused as already published has taken effect.
	call.Ended, call.Published = true, err == nil && (result.Error == nil || result.Current >= publish.Version)
	n.notifyCoordinator(ctx, call)
	if err != nil {
		return port.Result{}, port.AsError(err)
	}
	return result, result.Error
}
