package coordinator

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// activeAttempt returns the sample that is running the given attempt, or nil if the
// attempt has ended or the sample was removed.
func (c *Coordinator) activeAttempt(id port.SampleID, attempt uint32) *sample {
	found := c.samples[id]
	if found == nil || found.attempt != attempt || !found.atReplica() {
		c.counters.Ignored++
		return nil
	}
	return found
}

func (c *Coordinator) sampleProgress(event SampleProgress) {
	s := c.activeAttempt(event.ID, event.Attempt)
	if s == nil {
		return
	}
	s.replica = event.Replica
	s.progress.lastActivity = c.now
	s.progress.tokens = event.Tokens
	s.progress.spans = slices.Clone(event.Spans)
	c.checkRunning(s)
}

// checkRunning drops a running sample that cannot be delivered, and moves a long one
// if the plan allows it.
func (c *Coordinator) checkRunning(s *sample) {
	if reason := c.abandonReason(s); reason != "" {
		c.dropStale(s, reason)
		return
	}
	if c.shouldMove(s) {
		s.state = stateMoving
		s.moves++
		s.progress.lastActivity = c.now
		c.counters.Moved++
		c.emit(CancelSample{ID: s.id, Attempt: s.attempt, Move: true})
	}
}

// shouldMove reports whether to continue a long sample on a less loaded replica.
func (c *Coordinator) shouldMove(s *sample) bool {
	plan := &c.planning.plan
	if plan.Resume != policy.ResumeLong || plan.LongTokens == 0 || s.state != stateRunning {
		return false
	}
	if s.moves >= maxMoves || s.totalTokens() < plan.LongTokens {
		return false
	}
	return c.replicas.overloaded(s.replica)
}

func (c *Coordinator) sampleFinished(event SampleFinished) {
	s := c.activeAttempt(event.ID, event.Attempt)
	if s == nil {
		return
	}
	c.endAttempt(s)
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

// finish marks the text as complete and requests the reward.
func (c *Coordinator) finish(s *sample) {
	c.counters.Finished++
	c.lengths.add(s.tokens)
	s.state = stateScoring
	s.group.finished++
	c.finishedSamples++
	if reason := c.undeliverableReason(s); reason != "" {
		c.dropStale(s, reason)
		return
	}
	c.requestScore(s)
	c.cancelSurplus(s.group)
}

func (c *Coordinator) sampleFailed(event SampleFailed) {
	s := c.activeAttempt(event.ID, event.Attempt)
	if s == nil {
		return
	}
	moved := s.state == stateMoving
	c.endAttempt(s)
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
		s.notBefore = c.now
		return
	}
	c.retry(s, event.Err)
}

// retry schedules a restart of the sample after a backoff.
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
	s.notBefore = c.now.Add(delay)
	c.record(decision)
}

// requestScore sends a finished sample to the scorer.
func (c *Coordinator) requestScore(s *sample) {
	s.scoreTries++
	s.scoreSent = c.now
	c.emit(ScoreSample{ID: s.id, Prompt: s.group.prompt.Text, Text: s.text})
}

func (c *Coordinator) scored(event Scored) {
	s := c.samples[event.ID]
	if s == nil || s.state != stateScoring {
		c.counters.Ignored++
		return
	}
	s.state = stateScored
	s.reward = event.Reward
	s.group.scored++
}

func (c *Coordinator) scoreFailed(event ScoreFailed) {
	s := c.samples[event.ID]
	if s == nil || s.state != stateScoring || s.scoreSent.IsZero() {
		c.counters.Ignored++
		return
	}
	c.counters.ScoreFailed++
	s.scoreSent = time.Time{}
	delay := backoff(c.config.Seed, s.id.Sequence, s.scoreTries)
	if event.Err != nil {
		delay = max(delay, event.Err.RetryAfter)
	}
	s.notBefore = c.now.Add(delay)
	if s.scoreTries < maxScoreAttempts {
		return
	}
	decision := port.Decision{
		Kind: port.DecisionRetried, Subject: s.id.String(), Attempt: s.scoreTries,
		Detail: "no reward after the maximum number of attempts; sample replaced",
	}
	if event.Err != nil {
		decision.Code, decision.Verdict = event.Err.Code, event.Err.Verdict
	}
	c.record(decision)
	c.replaceSample(s, delay)
}

// sweep handles due starts, timeouts and scoring of all samples.
func (c *Coordinator) sweep() {
	for _, g := range c.liveGroups() {
		if g.pinned || g.discarded {
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
		if !c.draining && c.replicas.serves(c.versionFor(s)) && !c.now.Before(s.notBefore) && c.running < c.planning.plan.TargetInFlight {
			c.startAttempt(s)
		}
	case stateRunning:
		if c.now.Sub(s.progress.lastActivity) > c.timeouts.Stall {
			c.cancelAttempt(s)
			c.retry(s, port.NewError(port.MayHaveRun, port.CodeDeadline, "no progress for %s", c.timeouts.Stall))
		}
	case stateMoving:
		if c.now.Sub(s.progress.lastActivity) > c.timeouts.Cancel {
			c.endAttempt(s)
			c.retry(s, port.NewError(port.MayHaveRun, port.CodeDeadline, "cancelled attempt did not end within %s", c.timeouts.Cancel))
		}
	case stateScoring:
		c.sweepScoring(s)
	}
}

func (c *Coordinator) sweepScoring(s *sample) {
	switch {
	case s.scoreSent.IsZero() && !c.now.Before(s.notBefore):
		c.requestScore(s)
	case !s.scoreSent.IsZero() && c.now.Sub(s.scoreSent) > c.timeouts.Score:
		c.scoreFailed(ScoreFailed{ID: s.id, Err: port.NewError(port.MayHaveRun, port.CodeDeadline, "scorer did not answer")})
	}
}

// validSpans reports whether spans of known versions add up to the token count.
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

// joinSpans returns the concatenation of two span lists, with adjacent spans of the same
// version merged.
func joinSpans(first, second []port.Span) []port.Span {
	joined := slices.Clone(first)
	for _, span := range second {
		joined = port.AppendTokens(joined, span.Version, span.Tokens)
	}
	return joined
}
