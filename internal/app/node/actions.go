package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/services"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/port"
)

// coordinatorEvent passes an event to the coordinator.
type coordinatorEvent struct{ event coordinator.Event }

func (e coordinatorEvent) apply(w *poolWorker, now time.Time) { w.step(now, e.event) }

func (w *poolWorker) postCoordinatorEvent(event coordinator.Event) { w.post(coordinatorEvent{event}) }

// step passes an event to the coordinator and runs the resulting actions.
func (w *poolWorker) step(now time.Time, event coordinator.Event) {
	w.carryOut(w.machine.Coordinator(now, event))
}

// carryOut runs actions. Those that block run on their own goroutine and post their
// outcome.
func (w *poolWorker) carryOut(actions []poolworker.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case poolworker.Propose:
			w.tasks.Go(func() { w.propose(action) })
		case poolworker.PollHomes:
			w.tasks.Go(func() { w.pollHomes(action) })
		case poolworker.Order:
			w.tasks.Go(func() { w.sendOrder(action) })
		case poolworker.CoordinatorAction:
			w.carryOutCoordinator(action)
		case poolworker.Record:
			w.record(action.Decision)
		case poolworker.PolicyRejected:
			w.node.config.Logger.Error().Str("pool", string(w.pool)).Err(action.Err).Msg("policy program rejected")
		case poolworker.Ended:
			if action.Cause != nil {
				w.node.config.Logger.Error().Str("pool", string(w.pool)).Err(action.Cause).Msg("coordinator failed to start")
			}
		}
	}
}

// carryOutCoordinator runs an action of the coordinator.
func (w *poolWorker) carryOutCoordinator(wrapped poolworker.CoordinatorAction) {
	switch action := wrapped.Action.(type) {
	case coordinator.FetchPrompts:
		w.tasks.Go(func() { w.fetchPrompts(action, wrapped.Sampling.PromptSource) })
	case coordinator.StartSample:
		w.startSample(action)
	case coordinator.CancelSample:
		if run := w.attempts[attemptKey{action.ID, action.Attempt}]; run != nil {
			run.cancel()
		}
	case coordinator.ScoreSample:
		w.tasks.Go(func() { w.scoreSample(action, wrapped.Sampling.Scorer) })
	case coordinator.Deliver:
		w.countDelivered(&action)
		w.reply(action.Token, batchReply{batch: &action})
	case coordinator.Refuse:
		w.reply(action.Token, batchReply{err: action.Err})
	}
}

// proposalAnswered is the outcome of a proposal.
type proposalAnswered struct {
	token   uint64
	result  port.Result
	failure *port.Error
}

func (e proposalAnswered) apply(w *poolWorker, now time.Time) {
	w.carryOut(w.machine.ProposalAnswered(now, e.token, e.result, e.failure))
}

// propose proposes a command to the control log. The release of a lease is proposed
// even if the worker has ended.
func (w *poolWorker) propose(action poolworker.Propose) {
	parent := w.ctx
	if action.Command.ReleaseLease != nil {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, action.Timeout)
	defer cancel()
	result, err := w.node.config.Control.Propose(ctx, action.Command)
	w.post(proposalAnswered{token: action.Token, result: result, failure: port.AsError(err)})
}

func (w *poolWorker) record(d port.Decision) {
	if d.Revision == 0 {
		d.Revision = w.node.snapshot.Load().View.Revision
	}
	w.countDropped(d)
	d.Subject = batchSubject(w.pool, d.Subject)
	for index, related := range d.Related {
		d.Related[index] = batchSubject(w.pool, related)
	}
	w.node.recorder.record(d)
}

func (w *poolWorker) fetchPrompts(action coordinator.FetchPrompts, source string) {
	ctx, cancel := context.WithTimeout(w.ctx, coordinator.DefaultTimeouts().Fetch)
	defer cancel()
	prompts, err := services.NewPromptSource(w.node.backEnds.calls, source, 0).Prompts(ctx, action.From, action.Count)
	if err != nil {
		w.postCoordinatorEvent(coordinator.PromptsFailed{From: action.From, Err: port.AsError(err)})
		return
	}
	w.postCoordinatorEvent(coordinator.PromptsArrived{From: action.From, Prompts: prompts})
}

func (w *poolWorker) scoreSample(action coordinator.ScoreSample, scorer string) {
	ctx, cancel := context.WithTimeout(w.ctx, coordinator.DefaultTimeouts().Score)
	defer cancel()
	reward, err := services.NewScorer(w.node.backEnds.calls, scorer, 0).Score(ctx, action.ID, action.Prompt, action.Text)
	if err != nil {
		w.postCoordinatorEvent(coordinator.ScoreFailed{ID: action.ID, Err: port.AsError(err)})
		return
	}
	w.postCoordinatorEvent(coordinator.Scored{ID: action.ID, Reward: reward})
}
