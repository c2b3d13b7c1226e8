package admission

import (
	"math"
	"time"
)

// LimiterConfig bounds a Limiter, which starts halfway between Min and Max.
type LimiterConfig struct {
	Min int
	Max int
}

// Constants of the limiter.
const (
	// limitWindow is the least time, limitSamples the least number of answers
	// between two changes of the limit.
	limitWindow  = 500 * time.Millisecond
	limitSamples = 8
	// latencyTolerance is how far the recent latency may rise over the usual
	// one before the limit falls, at least.
	latencyTolerance = 1.5
	// batchingExponent and batchingRatio let it rise further where more run than
	// when the usual latency was measured: a server that batches takes longer for
	// each answer and gives more of them. Latency may rise by the ratio of the
	// counts, at most batchingRatio, to the power of batchingExponent.
	batchingExponent = 0.6
	batchingRatio    = measureDivisor
	// limitSmoothing weighs one window in the limit.
	limitSmoothing = 0.2
	// failureBackoff multiplies the limit after a window with failures.
	failureBackoff = 0.7
	// failureShare is the share of failures in a window that counts as overload.
	failureShare = 0.1
	// leastGradient bounds the fall of one window.
	leastGradient = 0.5
	// measureEvery is the least number of windows between two measurements of the
	// usual latency, firstMeasure that before the first one.
	measureEvery = 120
	firstMeasure = 4
	// measureDivisor divides the limit for a measurement.
	measureDivisor = 4
	// measureWindows bounds the windows that a measurement takes.
	measureWindows = 20
)

// Limiter adapts a replica's concurrency limit. It follows the gradient of
// latency (as Netflix's concurrency-limits does): while the recent latency is
// near the usual one the limit grows by its square root, above it the limit
// falls in proportion; failures cut it by a fixed factor. The usual latency
// only falls, or else a slow overload would become usual; it is measured anew at
// a quarter of the limit (as BBR measures the round trip), but only after latency
// has held the limit down: otherwise no limit could come out higher, and a
// measurement costs as long as the longest request in flight. It is not safe for
// concurrent use.
type Limiter struct {
	min, max float64
	limit    float64
	// usual is the latency in nanoseconds of a replica without overload, with
	// usualInflight requests in flight.
	usual         float64
	usualInflight int
	window        window
	// windows counts those since the last measurement began, held says that
	// latency lowered the limit in one of them.
	windows   int
	held      bool
	measuring bool
	// restored is the limit after the measurement.
	restored float64
}

// window gathers answers between two changes.
type window struct {
	started time.Time
	// sum adds up the latencies in nanoseconds, each times its weight.
	sum      float64
	weight   float64
	answers  int
	failures int
	inflight int
}

// NewLimiter makes a limiter.
func NewLimiter(config LimiterConfig) *Limiter {
	low := max(config.Min, 1)
	high := max(config.Max, low)
	return &Limiter{
		min: float64(low), max: float64(high), limit: float64(low+high) / 2,
		windows: measureEvery - firstMeasure, held: true,
	}
}

// SetBounds changes the bounds and brings the limit between them.
func (l *Limiter) SetBounds(config LimiterConfig) {
	l.min = float64(max(config.Min, 1))
	l.max = max(float64(config.Max), l.min)
	l.limit = min(max(l.limit, l.min), l.max)
}

// Limit gives the number of requests that the replica may run at a time.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe reports the end of one request: its latency, whether it failed in a
// way that speaks of overload, and how many were in flight when it ended.
// Latencies must be comparable: for generation, the time per output token.
func (l *Limiter) Observe(now time.Time, latency time.Duration, failed bool, inflight int) {
	l.ObserveWeighted(now, latency, 1, failed, inflight)
}

// ObserveWeighted is Observe for an answer that stands for weight equal ones: for
// generation, the tokens of the answer. Otherwise a pause of the engine, spread
// over the few tokens of a short answer, would look like overload.
func (l *Limiter) ObserveWeighted(now time.Time, latency time.Duration, weight int, failed bool, inflight int) {
	if l.window.started.IsZero() {
		l.window.started = now
	}
	l.window.inflight = max(l.window.inflight, inflight)
	if failed {
		l.window.failures++
	} else {
		l.window.answers++
		l.window.weight += float64(max(weight, 1))
		l.window.sum += float64(latency) * float64(max(weight, 1))
	}
	total := l.window.answers + l.window.failures
	if total >= limitSamples && now.Sub(l.window.started) >= limitWindow {
		l.adjust()
		l.window = window{started: now}
	}
}

// adjust ends a window.
func (l *Limiter) adjust() {
	l.windows++
	total := l.window.answers + l.window.failures
	if float64(l.window.failures) > failureShare*float64(total) {
		l.measuring = false
		l.set(l.limit * failureBackoff)
		return
	}
	if l.window.answers == 0 {
		return
	}
	recent := l.window.sum / l.window.weight
	switch {
	case l.measuring:
		l.measure(recent)
	case l.windows >= measureEvery && l.held:
		l.windows = 0
		l.held = false
		l.measuring = true
		l.restored = l.limit
		l.set(l.limit / measureDivisor)
	default:
		l.follow(recent)
	}
}

// measure ends a measurement once no more requests are in flight than its
// lower limit allows, or when that takes too long.
func (l *Limiter) measure(recent float64) {
	settled := l.window.inflight <= l.Limit()
	if !settled && l.windows < measureWindows {
		return
	}
	if settled {
		l.setUsual(recent)
	}
	l.measuring = false
	l.set(l.restored)
}

// follow moves the limit along the gradient.
func (l *Limiter) follow(recent float64) {
	if l.usual == 0 || recent < l.usual {
		l.setUsual(recent)
	}
	gradient := min(max(l.tolerance()*l.usual/max(recent, 1), leastGradient), 1)
	l.held = l.held || gradient < 1
	target := l.limit*gradient + math.Sqrt(l.limit)
	if target > l.limit && float64(l.window.inflight) < l.limit/2 {
		return // too little in flight to tell whether more would do
	}
	l.set(l.limit + limitSmoothing*(target-l.limit))
}

func (l *Limiter) setUsual(latency float64) { l.usual, l.usualInflight = latency, l.window.inflight }

// tolerance is how far latency may rise over the usual one at the present number
// in flight.
func (l *Limiter) tolerance() float64 {
	ratio := float64(l.window.inflight) / float64(max(l.usualInflight, 1))
	return max(latencyTolerance, math.Pow(min(ratio, batchingRatio), batchingExponent))
}

func (l *Limiter) set(limit float64) { l.limit = min(max(limit, l.min), l.max) }
