package coordinator

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// age gives how many versions a version lies behind the published one.
func (c *Coordinator) age(version port.WeightVersion) uint64 { return ageAt(c.version, version) }

// ageAt gives how many versions a version lies behind a published one.
func ageAt(published, version port.WeightVersion) uint64 {
	if version >= published {
		return 0
	}
	return uint64(published - version)
}

// tooOld says whether a whole sample may no longer be delivered.
func (c *Coordinator) tooOld(s *sample) bool {
	return c.age(port.OldestVersion(s.spans)) > c.config.Sampling.StalenessBound
}

// undeliverable says why a whole sample cannot be delivered; empty if it can.
func (c *Coordinator) undeliverable(s *sample) string {
	if c.tooOld(s) {
		return "older than the staleness bound when it finished"
	}
	limit := c.planning.plan.MaxVersions
	if limit > 0 && distinctVersions(s.spans, s.spans[0].Version) > limit {
		return "made by more weight versions than the policy allows"
	}
	return ""
}

// hopeless says why a running sample is given up; empty to let it run.
func (c *Coordinator) hopeless(s *sample) string {
	oldest, known := s.oldest()
	if !known {
		return ""
	}
	plan := &c.planning.plan
	if c.age(oldest) > min(plan.AbandonAge, c.config.Sampling.StalenessBound) {
		return "unfinished and older than the policy's abandon age"
	}
	if plan.MaxVersions > 0 && distinctVersions(joinSpans(s.spans, s.now.spans), oldest) > plan.MaxVersions {
		return "split over more weight versions than the policy allows"
	}
	if plan.PredictStale && c.willBeStale(s, oldest) {
		return "expected to be over the staleness bound when it finishes"
	}
	return ""
}

// willBeStale predicts the age at the end from the lengths of finished samples,
// this sample's own speed and the rate of publications. It gives no sample up
// that would not do better from the start.
func (c *Coordinator) willBeStale(s *sample, oldest port.WeightVersion) bool {
	interval := c.publications.interval
	elapsed := c.now.Sub(s.now.started)
	if interval <= 0 || elapsed <= 0 || s.now.tokens == 0 {
		return false
	}
	perToken := elapsed / time.Duration(s.now.tokens)
	remaining, known := c.lengths.expectedRemaining(s.totalTokens())
	if !known {
		return false
	}
	untilEnd := perToken * time.Duration(remaining)
	again := perToken * time.Duration(s.totalTokens()+remaining)
	bound := c.config.Sampling.StalenessBound
	if uint64(again/interval) >= bound {
		return false
	}
	return c.age(oldest)+uint64(untilEnd/interval) > bound
}

// weightsPublished takes a newer version over.
func (c *Coordinator) weightsPublished(weights port.PublishedWeights) {
	if weights.Version <= c.version {
		return
	}
	c.publications.published(c.now)
	c.raiseVersion(weights.Version)
}

// publicationEnded takes the outcome of a publication that was told of before.
func (c *Coordinator) publicationEnded(event PublicationEnded) {
	c.underWay.end(event.Version)
	if event.Published {
		c.weightsPublished(port.PublishedWeights{Version: event.Version})
	}
}

// raiseVersion gives up what the newer version makes too old.
func (c *Coordinator) raiseVersion(version port.WeightVersion) {
	if version <= c.version {
		return
	}
	c.version = version
	c.planning.due = true
	c.dropStaleSamples()
}

// dropStaleSamples looks at everything that is not part of a pending commit.
func (c *Coordinator) dropStaleSamples() {
	for _, g := range c.liveGroups() {
		if g.pinned {
			continue
		}
		for _, s := range slices.Clone(g.samples) {
			c.reviewAge(s)
		}
	}
}

func (c *Coordinator) reviewAge(s *sample) {
	switch {
	case !live(s):
	case s.whole() && c.tooOld(s):
		c.dropStale(s, "older than the staleness bound while it waited")
	case s.state == stateRunning:
		if reason := c.hopeless(s); reason != "" {
			c.dropStale(s, reason)
		}
	}
}

// dropStale gives a sample up; a new one of the same prompt takes its place.
func (c *Coordinator) dropStale(s *sample, reason string) {
	g, whole := s.group, s.whole()
	c.dropOne(s, reason)
	if !whole {
		return
	}
	g.drops++
	if !g.starved() {
		return
	}
	// Samples of unlike age go stale one after the other, and the group may never
	// be whole at the right moment: it starts again with samples of one age.
	for _, other := range slices.Clone(g.samples) {
		if other.whole() && c.age(port.OldestVersion(other.spans)) > 0 {
			c.dropOne(other, "its group lost samples to staleness again and again and starts anew")
		}
	}
}

func (c *Coordinator) dropOne(s *sample, reason string) {
	c.counters.DroppedStale++
	c.record(port.Decision{
		Kind: port.DecisionStale, Subject: s.id.String(), Replica: s.replica, Attempt: int(s.attempt),
		Code: port.CodeStale, Detail: reason, Spans: joinSpans(s.spans, s.now.spans),
	})
	if added := c.replaceSample(s, 0); added != nil {
		// Samples are dropped when a version is published, and the weights in
		// service are then the old ones: what takes the place of one that took too
		// long would begin a version behind and take too long again.
		added.fresh = c.version
	}
}

// publicationRate estimates the time between publications.
type publicationRate struct {
	last     time.Time
	interval time.Duration
}

// published takes one publication into the moving average.
func (r *publicationRate) published(now time.Time) {
	if !r.last.IsZero() {
		between := now.Sub(r.last)
		if r.interval == 0 {
			r.interval = between
		}
		r.interval += (between - r.interval) / 4
	}
	r.last = now
}

// underWayFor is how long a publication counts as under way whose end nobody told. Its
// publisher may have ended; by then the log's answers and the view have the version.
const underWayFor = 5 * time.Second

// publicationUnderWay is the highest version whose publication was begun and has not ended.
type publicationUnderWay struct {
	version port.WeightVersion
	until   time.Time
}

func (p *publicationUnderWay) begin(version port.WeightVersion, now time.Time) {
	if version >= p.version || !now.Before(p.until) {
		*p = publicationUnderWay{version: version, until: now.Add(underWayFor)}
	}
}

func (p *publicationUnderWay) end(version port.WeightVersion) {
	if version == p.version {
		*p = publicationUnderWay{}
	}
}

// newest gives the highest version that is published or may be at any moment.
func (p *publicationUnderWay) newest(published port.WeightVersion, now time.Time) port.WeightVersion {
	if now.Before(p.until) {
		return max(p.version, published)
	}
	return published
}
