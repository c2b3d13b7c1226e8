package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// notCoordinatorRetry is the advised wait while a pool changes its coordinator.
const notCoordinatorRetry = 500 * time.Millisecond

// answer is the coordinator's answer to a question for a batch.
type answer struct {
	batch *coordinator.Deliver
	err   *port.Error
}

// asked brings a trainer's question to the coordinator.
type asked struct {
	event    coordinator.BatchRequested
	question chan answer
}

func (e asked) apply(w *poolWorker, now time.Time) {
	w.questions[e.event.Token] = e.question
	w.step(now, e.event)
}

// abandoned says that the asker is gone.
type abandoned struct{ token uint64 }

func (e abandoned) apply(w *poolWorker, now time.Time) {
	delete(w.questions, e.token)
	w.step(now, coordinator.RequestAbandoned{Token: e.token})
}

// reply answers a question once.
func (w *poolWorker) reply(token uint64, reply answer) {
	if question := w.questions[token]; question != nil {
		delete(w.questions, token)
		question <- reply
	}
}

func notCoordinator(pool port.PoolName) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeUnavailable, "pool %s has no coordinator at this moment", pool)
	refusal.RetryAfter = notCoordinatorRetry
	return refusal
}

// ask puts a trainer's question to the coordinator that runs here.
func (w *poolWorker) ask(ctx context.Context, call batchCall) (api.Batch, *port.Error) {
	token := w.tokens.Add(1)
	question := make(chan answer, 1)
	event := coordinator.BatchRequested{
		Token: token, Number: call.Number, ConsumerEpoch: call.ConsumerEpoch,
		Deadline: time.Now().Add(time.Duration(call.WaitMillis) * time.Millisecond),
	}
	select {
	case w.events <- asked{event: event, question: question}:
	case <-w.closed:
		return api.Batch{}, notCoordinator(w.pool)
	case <-ctx.Done():
		return api.Batch{}, contextError(ctx)
	}
	select {
	case reply := <-question:
		return w.batchOf(reply)
	case <-w.closed:
	case <-ctx.Done():
		w.post(abandoned{token})
	}
	select {
	case reply := <-question:
		return w.batchOf(reply)
	default:
	}
	if ctx.Err() != nil {
		return api.Batch{}, contextError(ctx)
	}
	return api.Batch{}, notCoordinator(w.pool)
}

func (w *poolWorker) batchOf(reply answer) (api.Batch, *port.Error) {
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

// batch answers a trainer's question here or at the coordinator's node.
func (n *Node) batch(ctx context.Context, call batchCall) (api.Batch, *port.Error) {
	if worker := n.sampling.worker(call.Pool); worker != nil {
		return worker.ask(ctx, call)
	}
	if pool, found := viewPool(n.snapshot.Load().View, call.Pool); !found || pool.Sampling == nil {
		return api.Batch{}, notFoundPool(call.Pool)
	}
	holder, known := n.coordinatorOf(call.Pool)
	if !known {
		return api.Batch{}, notCoordinator(call.Pool)
	}
	var reply batchAnswer
	failure := n.peers.call(ctx, holder.PeerAddress, methodBatch, call, &reply)
	return reply.Batch, failure
}

// coordinatorOf gives the other node that coordinates a pool, as far as is known.
func (n *Node) coordinatorOf(pool port.PoolName) (port.NodeAddress, bool) {
	current := n.snapshot.Load()
	lease, held := viewLease(current.View, port.CoordinatorLease(pool))
	holder, known := current.Nodes[lease.Holder]
	return holder, held && known && holder.ID != n.config.ID
}

// registerConsumer makes a trainer its pool's only consumer. The coordinator
// learns of it by the first question that names the new epoch.
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

// publishWeights makes a version of a pool's weights current. The pool's coordinator
// is told before the log is: the trainer goes on as soon as it has its answer, which the
// coordinator would otherwise learn of later.
func (n *Node) publishWeights(ctx context.Context, changeID string, publish port.PublishWeights) (port.Result, *port.Error) {
	news := publicationCall{Pool: publish.Pool, Version: publish.Version}
	n.tellCoordinator(ctx, news)
	result, err := n.config.Control.Propose(ctx, port.Command{ChangeID: changeID, PublishWeights: &publish})
	// A version that is refused because it is published was accepted before.
	news.Ended, news.Published = true, err == nil && (result.Error == nil || result.Current >= publish.Version)
	n.tellCoordinator(ctx, news)
	if err != nil {
		return port.Result{}, port.AsError(err)
	}
	return result, result.Error
}
