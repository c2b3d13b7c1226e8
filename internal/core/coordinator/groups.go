package coordinator

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// group is the work on one prompt.
type group struct {
	prompt  port.Prompt
	samples []*sample
	// finished counts samples with their whole text, scored those with a reward.
	finished int
	scored   int
	// drops counts whole samples that went stale before the group was delivered.
	drops int
	// pinned groups belong to the pending commit and do not change.
	pinned bool
	gone   bool
}

// sampleState is where a sample stands.
type sampleState uint8

const (
	stateWaiting  sampleState = iota // to be started, not before a time
	stateRunning                     // an attempt is at a replica
	stateMoving                      // its attempt was told to stop, to go on elsewhere
	stateFinished                    // whole text, no reward yet
	stateScored                      // whole text and reward
)

// sample is one completion in work.
type sample struct {
	id      port.SampleID
	group   *group
	seed    uint64
	state   sampleState
	attempt uint32
	replica port.ReplicaID
	avoid   port.ReplicaID
	// text, spans and tokens are what earlier attempts gave and what the present
	// one goes on from; for a finished sample, all of it.
	text   string
	spans  []port.Span
	tokens int
	// now is what the present attempt reported.
	now    attemptProgress
	tries  int
	moves  int
	after  time.Time
	reward float64
	// scoreTries counts questions to the scorer; scoreSent is zero while none
	// is out.
	scoreTries int
	scoreSent  time.Time
	// fresh is the version that it has to start on at least; 0 means any that the
	// plan allows.
	fresh port.WeightVersion
	// removed is set once the sample left its group for good.
	removed bool
}

// attemptProgress is what the running attempt has reported.
type attemptProgress struct {
	started time.Time
	heard   time.Time
	tokens  int
	spans   []port.Span
}

// totalTokens counts the tokens of all attempts.
func (s *sample) totalTokens() int { return s.tokens + s.now.tokens }

// oldest gives the oldest version of all attempts; ok is false before any token.
func (s *sample) oldest() (version port.WeightVersion, ok bool) {
	for _, spans := range [][]port.Span{s.spans, s.now.spans} {
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

func (s *sample) whole() bool { return s.state == stateFinished || s.state == stateScored }

// bufferGroups is the number of groups that may be in work, the buffer included.
func (c *Coordinator) bufferGroups() int {
	sampling := &c.config.Sampling
	return max(sampling.BufferBatches, 1) * sampling.BatchSamples / sampling.GroupSize
}

// startGroups starts groups while the plan wants more samples in flight and the
// buffer has room for them.
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

// mayStart says whether some replica could take a sample. While the weights that
// the plan wants are still on their way to the engines none can, and a sample
// that is refused waits longer than the weights take.
func (c *Coordinator) mayStart() bool { return c.replicas.serves(c.minVersion()) }

// versionFor is the oldest version that a sample may start on.
func (c *Coordinator) versionFor(s *sample) port.WeightVersion { return max(c.minVersion(), s.fresh) }

// unfinished counts samples that run or wait to be started again. Those that wait
// keep their place, so that new groups cannot hold up begun ones.
func (c *Coordinator) unfinished() int { return len(c.samples) - c.whole }

func (c *Coordinator) startGroup(prompt port.Prompt) {
	size := c.config.Sampling.GroupSize + c.planning.plan.OverProvision
	created := &group{prompt: prompt, samples: make([]*sample, 0, size)}
	c.groups[prompt.Index] = created
	c.order = append(c.order, created)
	for range size {
		c.startAttempt(c.addSample(created))
	}
}

// addSample adds a sample that waits for its start.
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

// startAttempt sends a sample to a replica.
func (c *Coordinator) startAttempt(s *sample) {
	c.checkResume(s)
	plan := &c.planning.plan
	s.state = stateRunning
	s.attempt++
	s.replica = ""
	s.now = attemptProgress{started: c.now, heard: c.now}
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

// priority raises samples that the rest of their group waits for.
func (c *Coordinator) priority(s *sample) port.Priority {
	plan := &c.planning.plan
	priority := c.config.Sampling.Priority + plan.Priority
	long := plan.LongTokens > 0 && s.tokens >= plan.LongTokens
	if long || s.fresh > 0 || s.group.finished > 0 {
		priority += plan.LongPriority
	}
	return priority
}

// minVersion is the oldest version that could still be delivered.
func (c *Coordinator) minVersion() port.WeightVersion {
	bound := port.WeightVersion(c.config.Sampling.StalenessBound)
	if c.version <= bound {
		return c.planning.plan.MinVersion
	}
	return max(c.version-bound, c.planning.plan.MinVersion)
}

// checkResume forgets the text so far when going on from it cannot give a
// sample that the plan allows.
func (c *Coordinator) checkResume(s *sample) {
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

// distinctVersions counts the versions of the spans and one more to come.
func distinctVersions(spans []port.Span, next port.WeightVersion) int {
	seen := []port.WeightVersion{next}
	for _, span := range spans {
		if !slices.Contains(seen, span.Version) {
			seen = append(seen, span.Version)
		}
	}
	return len(seen)
}

// cancelAttempt stops an attempt whose outcome no longer matters.
func (c *Coordinator) cancelAttempt(s *sample) {
	if !s.atReplica() {
		return
	}
	c.emit(CancelSample{ID: s.id, Attempt: s.attempt})
	c.leaveReplica(s)
}

// leaveReplica ends the account of a running attempt.
func (c *Coordinator) leaveReplica(s *sample) {
	if s.atReplica() {
		c.running--
	}
	s.state = stateWaiting
	s.now = attemptProgress{}
}

// live says whether a sample still belongs to its group; handlers that go over a
// copy of a group's samples may have removed some on the way.
func live(s *sample) bool { return !s.removed }

// removeSample takes a sample out of its group for good.
func (c *Coordinator) removeSample(s *sample) {
	c.cancelAttempt(s)
	if s.whole() {
		c.whole--
		s.group.finished--
	}
	if s.state == stateScored {
		s.group.scored--
	}
	s.removed = true
	delete(c.samples, s.id)
	s.group.samples = slices.DeleteFunc(s.group.samples, func(other *sample) bool { return other == s })
}

// replaceSample removes a sample and adds a new one where the group needs it.
func (c *Coordinator) replaceSample(s *sample, delay time.Duration) *sample {
	from := s.group
	c.removeSample(s)
	if len(from.samples) >= c.config.Sampling.GroupSize {
		return nil
	}
	added := c.addSample(from)
	added.after = c.now.Add(delay)
	c.startDue = true
	return added
}

// startWaiting starts the waiting samples that need not wait for a tick: those
// that take the place of a dropped one, and all when the replicas changed.
func (c *Coordinator) startWaiting() {
	if !c.startDue {
		return
	}
	c.startDue = false
	for _, g := range c.order {
		if g.gone || g.pinned {
			continue
		}
		for _, s := range g.samples {
			if s.state == stateWaiting {
				c.sweepSample(s)
			}
		}
	}
}

// settleGroup cancels what a group with enough whole samples no longer needs.
func (c *Coordinator) settleGroup(g *group) {
	if g.finished < c.config.Sampling.GroupSize {
		return
	}
	for _, other := range slices.Clone(g.samples) {
		if !other.whole() {
			c.counters.Surplus++
			c.removeSample(other)
		}
	}
}

// ready says whether a group can be delivered.
func (c *Coordinator) ready(g *group) bool {
	return !g.pinned && !g.gone && g.scored == c.config.Sampling.GroupSize && len(g.samples) == g.scored
}

// forgetGroup drops a group without giving its prompt back.
func (c *Coordinator) forgetGroup(g *group) {
	if g.gone {
		return
	}
	for _, s := range g.samples {
		c.cancelAttempt(s)
		if s.whole() {
			c.whole--
		}
		s.removed = true
		delete(c.samples, s.id)
	}
	g.gone = true
	if c.groups[g.prompt.Index] == g {
		delete(c.groups, g.prompt.Index)
	}
}

// requeueGroup drops a group and gives its prompt back to the queue.
func (c *Coordinator) requeueGroup(g *group) {
	c.forgetGroup(g)
	c.prompts.pushFirst(g.prompt)
}

// liveGroups compacts the order of creation and gives a copy that handlers may
// change groups under.
func (c *Coordinator) liveGroups() []*group {
	c.order = slices.DeleteFunc(c.order, func(g *group) bool { return g.gone })
	return slices.Clone(c.order)
}

// countFinished counts samples at the scorer and in deliverable groups.
func (c *Coordinator) countFinished() (scoring, buffered int) {
	for _, g := range c.order {
		if g.gone || g.pinned {
			continue
		}
		scoring += g.finished - g.scored
		if c.ready(g) {
			buffered += g.scored
		}
	}
	return scoring, buffered
}
