package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/platform"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// coordinatorEvent brings an event to the coordinator.
type coordinatorEvent struct{ event coordinator.Event }

func (e coordinatorEvent) apply(w *poolWorker, now time.Time) { w.step(now, e.event) }

func (w *poolWorker) tell(event coordinator.Event) { w.post(coordinatorEvent{event}) }

// carryOut starts an action; whatever waits runs on a goroutine of its own and
// posts its outcome.
func (w *poolWorker) carryOut(action coordinator.Action) {
	switch action := action.(type) {
	case coordinator.FetchPrompts:
		source := w.sampling.PromptSource
		w.tasks.Go(func() { w.fetchPrompts(action, source) })
	case coordinator.StartSample:
		w.startSample(action)
	case coordinator.CancelSample:
		if run := w.attempts[attemptKey{action.ID, action.Attempt}]; run != nil {
			run.cancel()
		}
	case coordinator.ScoreSample:
		scorer := w.sampling.Scorer
		w.tasks.Go(func() { w.scoreSample(action, scorer) })
	case coordinator.Commit:
		w.tasks.Go(func() { w.commit(action) })
	case coordinator.ReadLedger:
		w.tasks.Go(func() {
			state, failure := w.readLedger(w.ctx)
			w.tell(coordinator.LedgerRead{State: state, Err: failure})
		})
	case coordinator.Deliver:
		w.countDelivered(&action)
		w.reply(action.Token, answer{batch: &action})
	case coordinator.Refuse:
		w.reply(action.Token, answer{err: action.Err})
	case coordinator.Record:
		w.record(action.Decision)
	case coordinator.Drained:
		w.releaseLease(time.Now())
	}
}

func (w *poolWorker) record(decided port.Decision) {
	if decided.Revision == 0 {
		decided.Revision = w.node.snapshot.Load().view.Revision
	}
	w.countDropped(decided)
	decided.Subject = batchSubject(w.pool, decided.Subject)
	for index, related := range decided.Related {
		decided.Related[index] = batchSubject(w.pool, related)
	}
	w.node.recorder.record(decided)
}

func (w *poolWorker) fetchPrompts(action coordinator.FetchPrompts, source string) {
	ctx, cancel := context.WithTimeout(w.ctx, coordinator.DefaultTimeouts().Fetch)
	defer cancel()
	prompts, err := platform.NewPromptSource(w.node.backEnds.calls, source, 0).Prompts(ctx, action.From, action.Count)
	if err != nil {
		w.tell(coordinator.PromptsFailed{From: action.From, Err: port.AsError(err)})
		return
	}
	w.tell(coordinator.PromptsArrived{From: action.From, Prompts: prompts})
}

func (w *poolWorker) scoreSample(action coordinator.ScoreSample, scorer string) {
	ctx, cancel := context.WithTimeout(w.ctx, coordinator.DefaultTimeouts().Score)
	defer cancel()
	reward, err := platform.NewScorer(w.node.backEnds.calls, scorer, 0).Score(ctx, action.ID, action.Prompt, action.Text)
	if err != nil {
		w.tell(coordinator.ScoreFailed{ID: action.ID, Err: port.AsError(err)})
		return
	}
	w.tell(coordinator.Scored{ID: action.ID, Reward: reward})
}

func (w *poolWorker) commit(action coordinator.Commit) {
	ctx, cancel := context.WithTimeout(w.ctx, coordinator.DefaultTimeouts().Commit)
	defer cancel()
	batch := action.Batch
	result, err := w.node.config.Control.Propose(ctx, port.Command{ChangeID: action.ChangeID, CommitBatch: &batch})
	w.tell(coordinator.CommitAnswered{
		ChangeID: action.ChangeID, Number: batch.Number, Attempt: batch.Attempt, Result: result, Err: port.AsError(err),
	})
}
