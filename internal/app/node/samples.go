package node

import (
	"context"
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Constants of running samples.
const (
	// sampleDeadline bounds one attempt; the coordinator's stall timeout and the
	// policy end it much earlier.
	sampleDeadline = time.Hour
	// progressInterval paces the news of a running sample.
	progressInterval = time.Second
)

// attemptKey names one attempt at a sample.
type attemptKey struct {
	id      port.SampleID
	attempt uint32
}

// sampleRun is a running attempt.
type sampleRun struct{ cancel context.CancelFunc }

// attemptEnded ends an attempt and tells the coordinator.
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

// startSample starts one attempt, unless the configuration isn't confirmed: then
// no new samples are started.
func (w *poolWorker) startSample(action coordinator.StartSample) {
	key := attemptKey{action.ID, action.Attempt}
	ctx, cancel := context.WithTimeout(w.ctx, sampleDeadline)
	w.attempts[key] = &sampleRun{cancel: cancel}
	w.tasks.Go(func() {
		event := w.runSample(ctx, action)
		w.post(attemptEnded{key: key, event: event})
	})
}

// sampleText gathers what an attempt gives.
type sampleText struct {
	action   coordinator.StartSample
	worker   *poolWorker
	replica  port.ReplicaID
	text     []byte
	tokens   int
	spans    []port.Span
	reported time.Time
}

// runSample generates one sample through the node's usual path. The coordinator
// alone tries again.
func (w *poolWorker) runSample(ctx context.Context, action coordinator.StartSample) coordinator.Event {
	gathered := &sampleText{action: action, worker: w, reported: time.Now()}
	failure := unconfirmedError()
	if w.node.confirmed() {
		failure = w.node.generate(ctx, &generation{
			request: port.GenerateRequest{
				ID:   port.RequestID(fmt.Sprintf("%s.%d", action.ID, action.Attempt)),
				Pool: w.pool, Prompt: action.Prompt.Text, PromptTokens: action.Prompt.Tokens,
				MaxTokens: action.MaxTokens, Priority: action.Priority, Seed: action.Seed,
				Resume: action.Resume, ResumeTokens: action.ResumeTokens, MinVersion: action.MinVersion, Safe: true,
			},
			subject: action.ID.String(),
			zones:   action.Zones,
			exclude: action.Exclude,
			avoid:   action.Avoid,
			single:  true,
			receive: gathered.take,
			placed:  func(replica port.ReplicaID) { gathered.replica = replica },
		})
	}
	if failure != nil {
		return coordinator.SampleFailed{
			ID: action.ID, Attempt: action.Attempt, Replica: gathered.replica, Err: failure,
			Text: string(gathered.text), Tokens: gathered.tokens, Spans: gathered.spans,
		}
	}
	return coordinator.SampleFinished{
		ID: action.ID, Attempt: action.Attempt, Replica: gathered.replica,
		Text: string(gathered.text), Tokens: gathered.tokens, Spans: gathered.spans,
	}
}

func (s *sampleText) take(chunk port.GenerateChunk) error {
	s.text = append(s.text, chunk.Text...)
	s.tokens += chunk.Tokens
	if chunk.Tokens > 0 {
		s.spans = port.AppendTokens(s.spans, chunk.Version, chunk.Tokens)
	}
	if now := time.Now(); now.Sub(s.reported) >= progressInterval {
		s.reported = now
		s.worker.tell(coordinator.SampleProgress{
			ID: s.action.ID, Attempt: s.action.Attempt, Replica: s.replica, Tokens: s.tokens,
			Spans: append([]port.Span(nil), s.spans...),
		})
	}
	return nil
}
