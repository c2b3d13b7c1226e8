package admission

import (
	"math"
	"time"
)

// Parameters of the measurements of a sender.
const (
	// demandPeriod is the time constant of the rate of offered requests: some five requests
	// of a sender with ten requests a second.
	demandPeriod = 500 * time.Millisecond
	// latencyPeriod and refusalPeriod are the time constants of latency and of the share of
	// refused tries. The latter is short, as refusals lower the limit fast.
	latencyPeriod = 400 * time.Millisecond
	refusalPeriod = 250 * time.Millisecond
	// maxSampleWeight limits the weight of one sample, as a sender with few requests would
	// otherwise follow single answers.
	maxSampleWeight = 0.5
	// slowAnswerWeight is the weight of an answer that is slower than the latency of fast
	// answers, relative to that of a faster one.
	slowAnswerWeight = 0.3
	// maxSampleShare limits one answer's part in the latency of fast answers, relative to the
	// aim. Otherwise a single slow replica would lower the limit.
	maxSampleShare = 0.7
	// signalLifetime is the age at which measurements no longer lower the limit.
	signalLifetime = time.Second
	// baselineSamples is the number of answers whose mean may become the baseline.
	baselineSamples = 8
)

// sendSignals holds what one sender measures about a service.
type sendSignals struct {
	// offered is the rate of offered requests.
	offered eventRate
	// latency is the smoothed latency of answers in seconds, deviation its mean deviation.
	latency   float64
	deviation float64
	// fast is the smoothed latency of the faster answers relative to the aim of each, as
	// requests with different aims share a service. An overload of all replicas raises it, a few
	// slow replicas hardly do. 0 means that no answer had an aim.
	fast float64
	// refusals is the smoothed share of tries that were refused, from 0 to 1.
	refusals float64
	// baseline is the lowest mean latency seen, in seconds; 0 means not yet known.
	// relativeBaseline is that of latencies relative to their aims.
	baseline         lowestMean
	relativeBaseline lowestMean
	// aim is the last latency aimed for, in seconds; 0 means that latency does not limit.
	aim      float64
	observed time.Time
}

// lowestMean is the lowest mean of baselineSamples consecutive samples.
type lowestMean struct {
	// lowest is 0 until there are enough samples.
	lowest float64
	sum    float64
	count  int
}

// add adds a sample.
func (m *lowestMean) add(sample float64) {
	m.sum += sample
	m.count++
	if m.count < baselineSamples {
		return
	}
	mean := m.sum / float64(m.count)
	if m.lowest == 0 || mean < m.lowest {
		m.lowest = mean
	}
	m.sum, m.count = 0, 0
}

// observe records the result of one try.
func (s *sendSignals) observe(now time.Time, result TryResult) {
	elapsed := max(now.Sub(s.observed), 0)
	s.observed = now
	s.setAim(result.Aim)
	s.refusals *= decay(elapsed, refusalPeriod)
	if result.Refused {
		s.refusals += sampleWeight(elapsed, refusalPeriod)
		return
	}
	weight := sampleWeight(elapsed, latencyPeriod)
	latency := result.Latency.Seconds()
	s.observeLatency(latency, weight)
	s.baseline.add(latency)
	if result.Aim > 0 {
		s.observeRelative(latency/result.Aim.Seconds(), weight)
	}
}

// sampleWeight returns the weight of a sample some time after the one before it.
func sampleWeight(elapsed, period time.Duration) float64 {
	return min(1-decay(elapsed, period), maxSampleWeight)
}

// setAim sets the latency aimed for, if there is one.
func (s *sendSignals) setAim(aim time.Duration) {
	if aim > 0 {
		s.aim = aim.Seconds()
	}
}

// expectAim sets the latency aimed for before the first result. Later offers do not, as a request
// that comes back has only a part of its aim left.
func (s *sendSignals) expectAim(aim time.Duration) {
	if s.aim == 0 {
		s.setAim(aim)
	}
}

// observeLatency updates the latency and its deviation.
func (s *sendSignals) observeLatency(latency, weight float64) {
	if s.latency == 0 {
		s.latency = latency
	}
	s.deviation += weight * (math.Abs(latency-s.latency) - s.deviation)
	s.latency += weight * (latency - s.latency)
}

// observeRelative updates the latency of fast answers, from a latency relative to its aim.
func (s *sendSignals) observeRelative(latency, weight float64) {
	s.relativeBaseline.add(latency)
	capped := min(latency, maxSampleShare)
	if s.fast == 0 {
		s.fast = capped
	}
	if capped > s.fast {
		weight *= slowAnswerWeight
	}
	s.fast += weight * (capped - s.fast)
}

// recent reports whether the measurements are recent enough to lower the limit.
func (s *sendSignals) recent(now time.Time) bool {
	return !s.observed.IsZero() && now.Sub(s.observed) <= signalLifetime
}

// eventRate is the exponentially weighted rate of events.
type eventRate struct {
	perSecond float64
	last      time.Time
}

// add counts one event.
func (r *eventRate) add(now time.Time) {
	r.perSecond = r.at(now) + 1/demandPeriod.Seconds()
	r.last = now
}

// at returns the rate in events per second.
func (r *eventRate) at(now time.Time) float64 {
	return r.perSecond * decay(max(now.Sub(r.last), 0), demandPeriod)
}

// decay returns the factor by which a smoothed value decays in a time.
func decay(elapsed, period time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(period))
}
