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
	// one before the limit falls.
	latencyTolerance = 1.5
	// longSmoothing and limitSmoothing weigh one window in the usual latency
	// and in the limit.
	longSmoothing  = 0.05
	limitSmoothing = 0.2
	// failureBackoff multiplies the limit after a window with failures.
	failureBackoff = 0.7
	// failureShare is the share of failures in a window that counts as overload.
	failureShare = 0.1
	// leastGradient bounds the fall of one window.
	leastGradient = 0.5
)

// Limiter adapts a replica's concurrency limit. It follows the gradient of
// latency (as Netflix's concurrency-limits does): while the recent latency is
// near the usual one the limit grows by its square root, above it the limit
// falls in proportion; failures cut it by a fixed factor. It is not safe for
// concurrent use.
type Limiter struct {
	min, max float64
	limit    float64
	// usual is the long-term mean latency in nanoseconds.
	usual  float64
	window window
}

// window gathers answers between two changes.
type window struct {
	started  time.Time
	sum      time.Duration
	answers  int
	failures int
	inflight int
}

// NewLimiter makes a limiter.
func NewLimiter(config LimiterConfig) *Limiter {
	low := max(config.Min, 1)
	high := max(config.Max, low)
	return &Limiter{min: float64(low), max: float64(high), limit: float64(low+high) / 2}
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
	if l.window.started.IsZero() {
		l.window.started = now
	}
	l.window.inflight = max(l.window.inflight, inflight)
	if failed {
		l.window.failures++
	} else {
		l.window.answers++
		l.window.sum += latency
	}
	total := l.window.answers + l.window.failures
	if total >= limitSamples && now.Sub(l.window.started) >= limitWindow {
		l.adjust()
		l.window = window{started: now}
	}
}

// adjust ends a window.
func (l *Limiter) adjust() {
	total := l.window.answers + l.window.failures
	if float64(l.window.failures) > failureShare*float64(total) {
		l.set(l.limit * failureBackoff)
		return
	}
	if l.window.answers == 0 {
		return
	}
	recent := float64(l.window.sum) / float64(l.window.answers)
	if l.usual == 0 {
		l.usual = recent
	}
	gradient := min(max(latencyTolerance*l.usual/max(recent, 1), leastGradient), 1)
	l.remember(recent)
	target := l.limit*gradient + math.Sqrt(l.limit)
	if target > l.limit && float64(l.window.inflight) < l.limit/2 {
		return // too little in flight to tell whether more would do
	}
	l.set(l.limit + limitSmoothing*(target-l.limit))
}

// remember moves the usual latency: down at once, up slowly, so that a long
// overload does not become usual soon.
func (l *Limiter) remember(recent float64) {
	if recent < l.usual {
		l.usual = (l.usual + recent) / 2
		return
	}
	l.usual += longSmoothing * (recent - l.usual)
}

func (l *Limiter) set(limit float64) { l.limit = min(max(limit, l.min), l.max) }
