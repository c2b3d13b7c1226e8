package admission

import (
	"math"
	"time"
)

// LimiterConfig limits the range of a Limiter, which starts halfway between Min and Max.
type LimiterConfig struct {
	Min int
	Max int
}

// Parameters of the limiter.
const (
	// minWindowDuration and minWindowSamples are the minimum duration and number of
	// requests between two changes of the limit.
	minWindowDuration = 500 * time.Millisecond
	minWindowSamples  = 8
	// latencyTolerance is the minimum ratio of the recent to the baseline latency at
	// which the limit falls.
	latencyTolerance = 1.5
	// The tolerance grows with the number of requests in flight, as a batching server
	// takes longer per answer but serves more of them: latency may rise by the ratio
	// of requests in flight to those at the baseline, at most maxBatchingRatio, to
	// the power of batchingExponent.
	batchingExponent = 0.6
	maxBatchingRatio = probeDivisor
	// limitSmoothing is the weight of one window in the limit.
	limitSmoothing = 0.2
	// failureBackoff is the factor applied to the limit after an overloaded window.
	failureBackoff = 0.7
	// overloadFailureShare is the share of failures above which a window counts as
	// overloaded.
	overloadFailureShare = 0.1
	// minGradient limits the decrease in one window.
	minGradient = 0.5
	// minWindowsBetweenProbes is the minimum number of windows between two probes of
	// the baseline latency, minWindowsBeforeFirstProbe that before the first one.
	minWindowsBetweenProbes    = 120
	minWindowsBeforeFirstProbe = 4
	// probeDivisor divides the limit during a probe.
	probeDivisor = 4
	// maxProbeWindows limits the duration of a probe.
	maxProbeWindows = 20
)

// Limiter adapts a replica's concurrency limit. Like Netflix's concurrency-limits, it
// follows the gradient of latency: while the recent latency is near the baseline, the
// limit grows by its square root; above it, the limit falls in proportion. Failures
// reduce it by a fixed factor.
//
// The baseline latency only falls, as a slow overload would otherwise raise it. After
// latency has reduced the limit, the limiter probes a new baseline at a quarter of the
// limit, like BBR probes the minimum round-trip time. It does not probe otherwise, since
// a probe could not raise the limit and lasts as long as the longest request in flight.
// A Limiter is not safe for concurrent use.
type Limiter struct {
	min, max float64
	limit    float64
	// baseline is the latency in nanoseconds without overload, measured with
	// baselineInflight requests in flight.
	baseline         float64
	baselineInflight int
	window           window
	// windowsSinceProbe counts the windows since the last probe began; latencyLimited
	// is set if latency lowered the limit in one of them.
	windowsSinceProbe int
	latencyLimited    bool
	probing           bool
	// limitAfterProbe is restored when the probe ends.
	limitAfterProbe float64
}

// window collects the answers between two changes of the limit.
type window struct {
	started time.Time
	// sum is the sum of the latencies in nanoseconds, multiplied by their weights.
	sum      float64
	weight   float64
	answers  int
	failures int
	inflight int
}

// NewLimiter returns a limiter with the given bounds.
func NewLimiter(config LimiterConfig) *Limiter {
	low := max(config.Min, 1)
	high := max(config.Max, low)
	return &Limiter{
		min: float64(low), max: float64(high), limit: float64(low+high) / 2,
		windowsSinceProbe: minWindowsBetweenProbes - minWindowsBeforeFirstProbe, latencyLimited: true,
	}
}

// SetBounds changes the bounds and clamps the limit to them.
func (l *Limiter) SetBounds(config LimiterConfig) {
	l.min = float64(max(config.Min, 1))
	l.max = max(float64(config.Max), l.min)
	l.limit = min(max(l.limit, l.min), l.max)
}

// Limit returns the number of requests that the replica may run at a time.
func (l *Limiter) Limit() int { return int(l.limit) }

// Observe records the end of one request: its latency, whether it failed in a way that
// indicates overload, and the number of requests in flight when it ended. Latencies
// must be comparable: for generation, the time per output token.
func (l *Limiter) Observe(now time.Time, latency time.Duration, failed bool, inflight int) {
	l.ObserveWeighted(now, latency, 1, failed, inflight)
}

// ObserveWeighted is Observe for an answer that counts as weight equal ones, such as
// the tokens of a completion. Without weights, a pause of the engine during a short
// answer would look like overload.
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
	if total >= minWindowSamples && now.Sub(l.window.started) >= minWindowDuration {
		l.adjust()
		l.window = window{started: now}
	}
}

// adjust updates the limit at the end of a window.
func (l *Limiter) adjust() {
	l.windowsSinceProbe++
	total := l.window.answers + l.window.failures
	if float64(l.window.failures) > overloadFailureShare*float64(total) {
		l.probing = false
		l.setLimit(l.limit * failureBackoff)
		return
	}
	if l.window.answers == 0 {
		return
	}
	recent := l.window.sum / l.window.weight
	switch {
	case l.probing:
		l.finishProbe(recent)
	case l.windowsSinceProbe >= minWindowsBetweenProbes && l.latencyLimited:
		l.windowsSinceProbe = 0
		l.latencyLimited = false
		l.probing = true
		l.limitAfterProbe = l.limit
		l.setLimit(l.limit / probeDivisor)
	default:
		l.followGradient(recent)
	}
}

// finishProbe ends a probe once the requests in flight are within the reduced limit,
// or after maxProbeWindows.
func (l *Limiter) finishProbe(recent float64) {
	drained := l.window.inflight <= l.Limit()
	if !drained && l.windowsSinceProbe < maxProbeWindows {
		return
	}
	if drained {
		l.setBaseline(recent)
	}
	l.probing = false
	l.setLimit(l.limitAfterProbe)
}

// followGradient moves the limit along the latency gradient.
func (l *Limiter) followGradient(recent float64) {
	if l.baseline == 0 || recent < l.baseline {
		l.setBaseline(recent)
	}
	gradient := min(max(l.tolerance()*l.baseline/max(recent, 1), minGradient), 1)
	l.latencyLimited = l.latencyLimited || gradient < 1
	target := l.limit*gradient + math.Sqrt(l.limit)
	if target > l.limit && float64(l.window.inflight) < l.limit/2 {
		return // too few requests in flight to tell whether a higher limit would help
	}
	l.setLimit(l.limit + limitSmoothing*(target-l.limit))
}

func (l *Limiter) setBaseline(latency float64) {
	l.baseline, l.baselineInflight = latency, l.window.inflight
}

// tolerance returns the ratio of the recent to the baseline latency above which the
// limit falls, for the current number of requests in flight.
func (l *Limiter) tolerance() float64 {
	ratio := float64(l.window.inflight) / float64(max(l.baselineInflight, 1))
	return max(latencyTolerance, math.Pow(min(ratio, maxBatchingRatio), batchingExponent))
}

func (l *Limiter) setLimit(limit float64) { l.limit = min(max(limit, l.min), l.max) }
