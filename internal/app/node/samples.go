package node

import (
	"context"
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Time limits of running samples.
const (
	// sampleDeadline limits one attempt; the coordinator's stall timeout and the policy
	// usually end it much earlier.
	sampleDeadline = time.Hour
	// progressInterval is the min interval between progress events of a sample.
	progressInterval = time.Second
)

// attemptKey identifies one attempt at a sample.
type attemptKey struct {
	id      port.SampleID
	attempt uint32
}

// sampleRun is a running attempt at a sample.
type sampleRun struct{ cancel context.CancelFunc }

// attemptEnded removes an attempt and passes its outcome to the coordinator.
type attemptEnded struct {
	key   attemptKey
	event coordinator.Event
}

func (e attemptEnded) apply(w *poolWorker, now time.Time) {
	if run := w.attempts[e.key]; run != nil {
		run.cancel()
		delete(w.attempts, e.key)
	}
	w.step(now, e.event)
}

// startSample starts one attempt. The attempt fails immediately if the configuration is
// unconfirmed.
func (w *poolWorker) startSample(action coordinator.StartSample) {
	key := attemptKey{action.ID, action.Attempt}
	ctx, cancel := context.WithTimeout(w.ctx, sampleDeadline)
	w.attempts[key] = &sampleRun{cancel: cancel}
	w.tasks.Go(func() {
		event := w.runSample(ctx, action)
		w.post(attemptEnded{key: key, event: event})
	})
}

// sampleOutput collects the output of an attempt.
type sampleOutput struct {
	action     coordinator.StartSample
	worker     *poolWorker
	replica    port.ReplicaID
	text       []byte
	tokens     int
	spans      []port.Span
	reportedAt time.Time
}

// runSample generates one sample like a caller's completion, but without retries: the
// coordinator retries.
func (w *poolWorker) runSample(ctx context.Context, action coordinator.StartSample) coordinator.Event {
	output := &sampleOutput{action: action, worker: w, reportedAt: time.Now()}
	failure := unconfirmedError()
	if w.node.confirmed() {
		failure = w.node.generate(ctx, &generation{
			request: port.GenerateRequest{
				ID:   port.RequestID(fmt.Sprintf("%s.%d", action.ID, action.Attempt)),
				Pool: w.pool, Prompt: action.Prompt.Text, PromptTokens: action.Prompt.Tokens,
				MaxTokens: action.MaxTokens, Priority: action.Priority, Seed: action.Seed,
				Resume: action.Resume, ResumeTokens: action.ResumeTokens, MinVersion: action.MinVersion, Safe: true,
			},
			subject:  action.ID.String(),
			zones:    action.Zones,
			exclude:  action.Exclude,
			avoid:    action.Avoid,
			noRetry:  true,
			receive:  output.receive,
			onPlaced: func(replica port.ReplicaID) { output.replica = replica },
		})
	}
	if failure != nil {
		return coordinator.SampleFailed{
			ID: action.ID, Attempt: action.Attempt, Replica: output.replica, Err: failure,
			Text: string(output.text), Tokens: output.tokens, Spans: output.spans,
		}
	}
	return coordinator.SampleFinished{
		ID: action.ID, Attempt: action.Attempt, Replica: output.replica,
		Text: string(output.text), Tokens: output.tokens, Spans: output.spans,
	}
}

func (s *sampleOutput) receive(chunk port.GenerateChunk) error {
	s.text = append(s.text, chunk.Text...)
	s.tokens += chunk.Tokens
	if chunk.Tokens > 0 {
		s.spans = port.AppendTokens(s.spans, chunk.Version, chunk.Tokens)
	}
	if now := time.Now(); now.Sub(s.reportedAt) >= progressInterval {
		s.reportedAt = now
		s.worker.postCoordinatorEvent(coordinator.SampleProgress{
			ID: s.action.ID, Attempt: s.action.Attempt, Replica: s.replica, Tokens: s.tokens,
			Spans: append([]port.Span(nil), s.spans...),
		})
	}
	return nil
}
