package coordinator

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// group is the set of samples for one prompt.
type group struct {
	prompt  port.Prompt
	samples []*sample
	// finished counts samples with complete text, scored those with a reward.
	finished int
	scored   int
	// drops counts finished samples dropped for staleness.
	drops int
	// pinned groups belong to the pending commit and must not change.
	pinned    bool
	discarded bool
}

// sampleState is the state of a sample.
type sampleState uint8

const (
	stateWaiting sampleState = iota // no attempt; starts no earlier than notBefore
	stateRunning                    // an attempt runs on a replica
	stateMoving                     // the attempt was cancelled to resume on another replica
	stateScoring                    // text complete, no reward yet
	stateScored                     // text complete and scored
)

// sample is one completion in progress.
type sample struct {
	id      port.SampleID
	group   *group
	seed    uint64
	state   sampleState
	attempt uint32
	replica port.ReplicaID
	avoid   port.ReplicaID
	// text, spans and tokens accumulate the output of ended attempts, from which the
	// current attempt resumes.
	text   string
	spans  []port.Span
	tokens int
	// progress is the last report of the current attempt.
	progress  attemptProgress
	tries     int
	moves     int
	notBefore time.Time
	reward    float64
	// scoreTries counts requests to the scorer; scoreSent is zero while none is
	// outstanding.
	scoreTries int
	scoreSent  time.Time
	// startVersion is the lowest version to start on, in addition to the plan's minimum;
	// 0 means no such limit.
	startVersion port.WeightVersion
	// removed is set once the sample was removed from its group.
	removed bool
}

// attemptProgress is the reported progress of the current attempt.
type attemptProgress struct {
	started      time.Time
	lastActivity time.Time
	tokens       int
	spans        []port.Span
}

// totalTokens returns the token count of all attempts.
func (s *sample) totalTokens() int { return s.tokens + s.progress.tokens }

// oldest returns the oldest version of all attempts; ok is false before the first token.
func (s *sample) oldest() (version port.WeightVersion, ok bool) {
	for _, spans := range [][]port.Span{s.spans, s.progress.spans} {
		if len(spans) == 0 {
			continue
		}
		if first := port.OldestVersion(spans); !ok || first < version {
			version, ok = first, true
		}
	}
	return version, ok
}

func (s *sample) atReplica() bool { return s.state == stateRunning || s.state == stateMoving }

func (s *sample) isFinished() bool { return s.state == stateScoring || s.state == stateScored }

// bufferGroups returns the maximum number of groups in progress, including buffered ones.
func (c *Coordinator) bufferGroups() int {
	sampling := &c.config.Sampling
	return max(sampling.BufferBatches, 1) * sampling.BatchSamples / sampling.GroupSize
}

// startGroups starts groups while the plan allows more samples in flight and the buffer
// is not full.
func (c *Coordinator) startGroups() {
	if c.draining || !c.now.Before(c.leaseUntil) {
		return
	}
	for c.mayStart() && c.unfinished() < c.planning.plan.TargetInFlight && len(c.groups) < c.bufferGroups() {
		prompt, found := c.prompts.pop()
		if !found {
			return
		}
		c.startGroup(prompt)
	}
}

// mayStart reports whether any replica can accept a new sample. While no replica serves
// the minimum version, replicas would refuse a started sample, and its backoff would last
// longer than loading the weights.
func (c *Coordinator) mayStart() bool { return c.replicas.serves(c.minVersion()) }

// versionFor returns the minimum version to start a sample on.
func (c *Coordinator) versionFor(s *sample) port.WeightVersion {
	return max(c.minVersion(), s.startVersion)
}

// unfinished counts running and waiting samples. Waiting ones count so that new groups
// do not delay groups in progress.
func (c *Coordinator) unfinished() int { return len(c.samples) - c.finishedSamples }

func (c *Coordinator) startGroup(prompt port.Prompt) {
	size := c.config.Sampling.GroupSize + c.planning.plan.OverProvision
	created := &group{prompt: prompt, samples: make([]*sample, 0, size)}
	c.groups[prompt.Index] = created
	c.order = append(c.order, created)
	for range size {
		c.startAttempt(c.addSample(created))
	}
}

// addSample adds a waiting sample to a group.
func (c *Coordinator) addSample(to *group) *sample {
	c.sequence++
	added := &sample{
		id:    port.SampleID{Pool: c.config.Pool, Epoch: c.config.Epoch, Sequence: c.sequence},
		group: to,
		seed:  mix(c.config.Seed^uint64(c.config.Epoch)<<32, c.sequence),
	}
	to.samples = append(to.samples, added)
	c.samples[added.id] = added
	return added
}

// startAttempt starts an attempt of the sample.
func (c *Coordinator) startAttempt(s *sample) {
	c.dropUnusableResume(s)
	plan := &c.planning.plan
	s.state = stateRunning
	s.attempt++
	s.replica = ""
	s.progress = attemptProgress{started: c.now, lastActivity: c.now}
	c.running++
	c.counters.Started++
	c.emit(StartSample{
		ID: s.id, Attempt: s.attempt, Prompt: s.group.prompt, Seed: s.seed,
		Priority:   c.priority(s),
		MinVersion: c.versionFor(s),
		MaxTokens:  c.config.Sampling.MaxTokens - s.tokens,
		Resume:     s.text, ResumeTokens: s.tokens,
		Zones: plan.Zones, Exclude: plan.Exclude, Avoid: s.avoid,
	})
}

// priority returns the sample's priority, raised if the rest of its group waits for it.
func (c *Coordinator) priority(s *sample) port.Priority {
	plan := &c.planning.plan
	priority := c.config.Sampling.Priority + plan.Priority
	long := plan.LongTokens > 0 && s.tokens >= plan.LongTokens
	if long || s.startVersion > 0 || s.group.finished > 0 {
		priority += plan.LongPriority
	}
	return priority
}

// minVersion returns the oldest version that could still be delivered.
func (c *Coordinator) minVersion() port.WeightVersion {
	bound := port.WeightVersion(c.config.Sampling.StalenessBound)
	if c.version <= bound {
		return c.planning.plan.MinVersion
	}
	return max(c.version-bound, c.planning.plan.MinVersion)
}

// dropUnusableResume discards the partial text if a sample resumed from it would violate
// the plan.
func (c *Coordinator) dropUnusableResume(s *sample) {
	if s.tokens == 0 {
		return
	}
	plan := &c.planning.plan
	stale := c.age(port.OldestVersion(s.spans)) > plan.AbandonAge
	mixed := plan.MaxVersions > 0 && distinctVersions(s.spans, c.version) > plan.MaxVersions
	if stale || mixed || plan.Resume == policy.ResumeNever {
		s.text, s.spans, s.tokens = "", nil, 0
	}
}

// distinctVersions counts the distinct versions among the spans and next.
func distinctVersions(spans []port.Span, next port.WeightVersion) int {
	seen := []port.WeightVersion{next}
	for _, span := range spans {
		if !slices.Contains(seen, span.Version) {
			seen = append(seen, span.Version)
		}
	}
	return len(seen)
}

// cancelAttempt cancels the current attempt and ignores its outcome.
func (c *Coordinator) cancelAttempt(s *sample) {
	if !s.atReplica() {
		return
	}
	c.emit(CancelSample{ID: s.id, Attempt: s.attempt})
	c.endAttempt(s)
}

// endAttempt ends the current attempt and returns the sample to waiting.
func (c *Coordinator) endAttempt(s *sample) {
	if s.atReplica() {
		c.running--
	}
	s.state = stateWaiting
	s.progress = attemptProgress{}
}

// live reports whether a sample still belongs to its group. Loops over a copy of a
// group's samples check it, since an earlier iteration may have removed the sample.
func live(s *sample) bool { return !s.removed }

// removeSample removes a sample from its group.
func (c *Coordinator) removeSample(s *sample) {
	c.cancelAttempt(s)
	if s.isFinished() {
		c.finishedSamples--
		s.group.finished--
	}
	if s.state == stateScored {
		s.group.scored--
	}
	s.removed = true
	delete(c.samples, s.id)
	s.group.samples = slices.DeleteFunc(s.group.samples, func(other *sample) bool { return other == s })
}

// replaceSample removes a sample and adds a new one if the group needs it.
func (c *Coordinator) replaceSample(s *sample, delay time.Duration) *sample {
	from := s.group
	c.removeSample(s)
	if len(from.samples) >= c.config.Sampling.GroupSize {
		return nil
	}
	added := c.addSample(from)
	added.notBefore = c.now.Add(delay)
	c.startDue = true
	return added
}

// startWaiting starts waiting samples between ticks, after a replacement or a change of
// the replicas.
func (c *Coordinator) startWaiting() {
	if !c.startDue {
		return
	}
	c.startDue = false
	for _, g := range c.order {
		if g.discarded || g.pinned {
			continue
		}
		for _, s := range g.samples {
			if s.state == stateWaiting {
				c.sweepSample(s)
			}
		}
	}
}

// cancelSurplus removes the unfinished samples of a group that has enough finished ones.
func (c *Coordinator) cancelSurplus(g *group) {
	if g.finished < c.config.Sampling.GroupSize {
		return
	}
	for _, other := range slices.Clone(g.samples) {
		if !other.isFinished() {
			c.counters.Surplus++
			c.removeSample(other)
		}
	}
}

// ready reports whether a group can be delivered.
func (c *Coordinator) ready(g *group) bool {
	return !g.pinned && !g.discarded && g.scored == c.config.Sampling.GroupSize && len(g.samples) == g.scored
}

// discardGroup drops a group without requeueing its prompt.
func (c *Coordinator) discardGroup(g *group) {
	if g.discarded {
		return
	}
	for _, s := range g.samples {
		c.cancelAttempt(s)
		if s.isFinished() {
			c.finishedSamples--
		}
		s.removed = true
		delete(c.samples, s.id)
	}
	g.discarded = true
	if c.groups[g.prompt.Index] == g {
		delete(c.groups, g.prompt.Index)
	}
}

// requeueGroup drops a group and requeues its prompt.
func (c *Coordinator) requeueGroup(g *group) {
	c.discardGroup(g)
	c.prompts.requeue(g.prompt)
}

// liveGroups removes discarded groups from the order and returns a copy, which callers
// may iterate over while groups change.
func (c *Coordinator) liveGroups() []*group {
	c.order = slices.DeleteFunc(c.order, func(g *group) bool { return g.discarded })
	return slices.Clone(c.order)
}

// countFinished counts samples being scored and samples in deliverable groups.
func (c *Coordinator) countFinished() (scoring, buffered int) {
	for _, g := range c.order {
		if g.discarded || g.pinned {
			continue
		}
		scoring += g.finished - g.scored
		if c.ready(g) {
			buffered += g.scored
		}
	}
	return scoring, buffered
}
