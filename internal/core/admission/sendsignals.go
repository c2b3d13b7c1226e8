package admission

import (
	"math"
	"time"
)

// Parameters of the measurements of a sender.
const (
	// demandPeriod is the time constant of the rate of offered requests. It spans some ten
	// requests of a usual sender.
	demandPeriod = 500 * time.Millisecond
	// signalPeriod is the time constant of the latency and of the share of refused tries.
	signalPeriod = 300 * time.Millisecond
	// maxSampleWeight limits the weight of one sample, as a sender with few requests would
	// otherwise follow single answers.
	maxSampleWeight = 0.2
	// signalLifetime is the age at which measurements are no longer used.
	signalLifetime = 2 * time.Second
	// slowAnswerWeight is the weight of an answer that is slower than the smoothed latency of
	// fast answers, relative to a faster one.
	slowAnswerWeight = 0.3
	// maxSampleShare limits an answer's part in the latency of fast answers, relative to the
	// aim: a replica that is slow, rather than overloaded, would otherwise lower the limit.
	maxSampleShare = 0.7
	// baselineSamples is the number of answers whose mean is compared with the baseline.
	baselineSamples = 8
)

// sendSignals holds what one sender measures about a service.
type sendSignals struct {
	// offered is the rate of offered requests, sent and accepted those of tries.
	offered  eventRate
	sent     eventRate
	accepted eventRate
	// latency is the smoothed latency of answers in seconds, deviation its mean deviation.
	latency   float64
	deviation float64
	// fast is the smoothed latency of the faster answers, in seconds. A slow replica raises it
	// less than an overload of all replicas does.
	fast float64
	// refusals is the smoothed share of tries that were refused, from 0 to 1.
	refusals float64
	// baseline is the lowest mean latency seen, in seconds; 0 means not yet known.
	baseline float64
	window   latencyWindow
	// aim is the last latency aimed for, in seconds; 0 means that latency does not limit.
	aim      float64
	observed time.Time
}

// latencyWindow collects the answers of one mean.
type latencyWindow struct {
	sum   float64
	count int
}

// observe records the result of one try.
func (s *sendSignals) observe(now time.Time, result TryResult) {
	weight := s.sampleWeight(now)
	s.observed = now
	s.sent.add(now)
	if result.Refused {
		s.refusals += weight * (1 - s.refusals)
		return
	}
	s.accepted.add(now)
	s.refusals -= weight * s.refusals
	if result.Aim > 0 {
		s.aim = result.Aim.Seconds()
	}
	s.observeLatency(result.Latency.Seconds(), weight)
}

// sampleWeight returns the weight of a sample taken now.
func (s *sendSignals) sampleWeight(now time.Time) float64 {
	elapsed := max(now.Sub(s.observed), 0)
	weight := 1 - math.Exp(-elapsed.Seconds()/signalPeriod.Seconds())
	return min(weight, maxSampleWeight)
}

// observeLatency updates the latency, its deviation and the baseline.
func (s *sendSignals) observeLatency(latency, weight float64) {
	if s.latency == 0 {
		s.latency = latency
	}
	s.deviation += weight * (math.Abs(latency-s.latency) - s.deviation)
	s.latency += weight * (latency - s.latency)
	s.observeFast(latency, weight)
	s.window.sum += latency
	s.window.count++
	if s.window.count < baselineSamples {
		return
	}
	mean := s.window.sum / float64(s.window.count)
	if s.baseline == 0 || mean < s.baseline {
		s.baseline = mean
	}
	s.window = latencyWindow{}
}

// observeFast updates the latency of fast answers.
func (s *sendSignals) observeFast(latency, weight float64) {
	if s.aim > 0 {
		latency = min(latency, maxSampleShare*s.aim)
	}
	if s.fast == 0 {
		s.fast = latency
	}
	if latency > s.fast {
		weight *= slowAnswerWeight
	}
	s.fast += weight * (latency - s.fast)
}

// recent reports whether the measurements are recent enough to limit.
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
	elapsed := max(now.Sub(r.last), 0)
	return r.perSecond * math.Exp(-elapsed.Seconds()/demandPeriod.Seconds())
}
