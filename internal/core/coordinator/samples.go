package coordinator

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// attempt finds the sample whose present attempt an event speaks of; an event
// of an earlier attempt or a dropped sample is ignored.
func (c *Coordinator) attempt(id port.SampleID, attempt uint32) *sample {
	found := c.samples[id]
	if found == nil || found.attempt != attempt || !found.atReplica() {
		c.counters.Ignored++
		return nil
	}
	return found
}

func (c *Coordinator) sampleProgress(event SampleProgress) {
	s := c.attempt(event.ID, event.Attempt)
	if s == nil {
		return
	}
	s.replica = event.Replica
	s.now.heard = c.now
	s.now.tokens = event.Tokens
	s.now.spans = slices.Clone(event.Spans)
	c.reviewRunning(s)
}

// reviewRunning gives a running sample up when it cannot be delivered, and moves
// a long one when the plan says so.
func (c *Coordinator) reviewRunning(s *sample) {
	if reason := c.hopeless(s); reason != "" {
		c.dropStale(s, reason)
		return
	}
	if c.shouldMove(s) {
		s.state = stateMoving
		s.moves++
		s.now.heard = c.now
		c.counters.Moved++
		c.emit(CancelSample{ID: s.id, Attempt: s.attempt, Move: true})
	}
}

// shouldMove says whether a long sample goes on at a less loaded replica.
func (c *Coordinator) shouldMove(s *sample) bool {
	plan := &c.planning.plan
	if plan.Resume != policy.ResumeLong || plan.LongTokens == 0 || s.state != stateRunning {
		return false
	}
	if s.moves >= maxMoves || s.totalTokens() < plan.LongTokens {
		return false
	}
	return c.replicas.crowded(s.replica)
}

func (c *Coordinator) sampleFinished(event SampleFinished) {
	s := c.attempt(event.ID, event.Attempt)
	if s == nil {
		return
	}
	c.leaveReplica(s)
	s.replica = event.Replica
	if !validSpans(event.Spans, event.Tokens) {
		c.retry(s, port.NewError(port.Ran, port.CodeBackEnd, "spans do not add up to %d tokens of known versions", event.Tokens))
		return
	}
	s.text += event.Text
	s.tokens += event.Tokens
	s.spans = joinSpans(s.spans, event.Spans)
	c.finish(s)
}

// finish takes a whole text over and asks for its reward.
func (c *Coordinator) finish(s *sample) {
	c.counters.Finished++
	c.lengths.add(s.tokens)
	s.state = stateFinished
	s.group.finished++
	c.whole++
	if reason := c.undeliverable(s); reason != "" {
		c.dropStale(s, reason)
		return
	}
	c.askScore(s)
	c.settleGroup(s.group)
}

func (c *Coordinator) sampleFailed(event SampleFailed) {
	s := c.attempt(event.ID, event.Attempt)
	if s == nil {
		return
	}
	moved := s.state == stateMoving
	c.leaveReplica(s)
	s.replica = event.Replica
	s.avoid = event.Replica
	if event.Text != "" && c.planning.plan.Resume != policy.ResumeNever && validSpans(event.Spans, event.Tokens) {
		s.text += event.Text
		s.tokens += event.Tokens
		s.spans = joinSpans(s.spans, event.Spans)
	}
	if s.tokens >= c.config.Sampling.MaxTokens {
		c.finish(s)
		return
	}
	if moved {
		s.after = c.now
		return
	}
	c.retry(s, event.Err)
}

// retry starts a sample again after a delay.
func (c *Coordinator) retry(s *sample, cause *port.Error) {
	s.tries++
	c.counters.Retried++
	delay := backoff(c.config.Seed, s.id.Sequence+uint64(s.attempt), s.tries)
	decision := port.Decision{
		Kind: port.DecisionRetried, Subject: s.id.String(), Replica: s.replica, Attempt: int(s.attempt),
	}
	if cause != nil {
		delay = max(delay, cause.RetryAfter)
		decision.Verdict, decision.Code, decision.Detail = cause.Verdict, cause.Code, cause.Message
	}
	s.after = c.now.Add(delay)
	c.record(decision)
}

// askScore sends a whole sample to the scorer.
func (c *Coordinator) askScore(s *sample) {
	s.scoreTries++
	s.scoreSent = c.now
	c.emit(ScoreSample{ID: s.id, Prompt: s.group.prompt.Text, Text: s.text})
}

func (c *Coordinator) scored(event Scored) {
	s := c.samples[event.ID]
	if s == nil || s.state != stateFinished {
		c.counters.Ignored++
		return
	}
	s.state = stateScored
	s.reward = event.Reward
	s.group.scored++
}

func (c *Coordinator) scoreFailed(event ScoreFailed) {
	s := c.samples[event.ID]
	if s == nil || s.state != stateFinished || s.scoreSent.IsZero() {
		c.counters.Ignored++
		return
	}
	c.counters.ScoreFailed++
	s.scoreSent = time.Time{}
	delay := backoff(c.config.Seed, s.id.Sequence, s.scoreTries)
	if event.Err != nil {
		delay = max(delay, event.Err.RetryAfter)
	}
	s.after = c.now.Add(delay)
	if s.scoreTries < maxScoreAttempts {
		return
	}
	decision := port.Decision{
		Kind: port.DecisionRetried, Subject: s.id.String(), Attempt: s.scoreTries,
		Detail: "no reward after the allowed attempts; another sample takes its place",
	}
	if event.Err != nil {
		decision.Code, decision.Verdict = event.Err.Code, event.Err.Verdict
	}
	c.record(decision)
	c.replaceSample(s, delay)
}

// sweep looks at every sample for what is due: starts, timeouts, scores.
func (c *Coordinator) sweep() {
	for _, g := range c.liveGroups() {
		if g.pinned || g.gone {
			continue
		}
		for _, s := range slices.Clone(g.samples) {
			if live(s) {
				c.sweepSample(s)
			}
		}
	}
	if c.prompts.fetching != nil && c.now.Sub(c.prompts.fetching.sent) > c.timeouts.Fetch {
		c.promptsFailed(PromptsFailed{From: c.prompts.fetching.from})
	}
}

func (c *Coordinator) sweepSample(s *sample) {
	switch s.state {
	case stateWaiting:
		if !c.draining && c.replicas.serves(c.versionFor(s)) && !c.now.Before(s.after) && c.running < c.planning.plan.TargetInFlight {
			c.startAttempt(s)
		}
	case stateRunning:
		if c.now.Sub(s.now.heard) > c.timeouts.Stall {
			c.cancelAttempt(s)
			c.retry(s, port.NewError(port.MayHaveRun, port.CodeDeadline, "no progress for %s", c.timeouts.Stall))
		}
	case stateMoving:
		if c.now.Sub(s.now.heard) > c.timeouts.Cancel {
			c.leaveReplica(s)
			c.retry(s, port.NewError(port.MayHaveRun, port.CodeDeadline, "cancelled attempt gave no answer for %s", c.timeouts.Cancel))
		}
	case stateFinished:
		c.sweepScoring(s)
	}
}

func (c *Coordinator) sweepScoring(s *sample) {
	switch {
	case s.scoreSent.IsZero() && !c.now.Before(s.after):
		c.askScore(s)
	case !s.scoreSent.IsZero() && c.now.Sub(s.scoreSent) > c.timeouts.Score:
		c.scoreFailed(ScoreFailed{ID: s.id, Err: port.NewError(port.MayHaveRun, port.CodeDeadline, "scorer gave no answer")})
	}
}

// validSpans says whether spans of known versions add up to the tokens.
func validSpans(spans []port.Span, tokens int) bool {
	sum := 0
	for _, span := range spans {
		if span.Version == 0 || span.Tokens < 0 {
			return false
		}
		sum += span.Tokens
	}
	return sum == tokens && tokens > 0
}

// joinSpans appends spans to a copy, joining equal neighbours.
func joinSpans(first, second []port.Span) []port.Span {
	joined := slices.Clone(first)
	for _, span := range second {
		joined = port.AppendTokens(joined, span.Version, span.Tokens)
	}
	return joined
}
