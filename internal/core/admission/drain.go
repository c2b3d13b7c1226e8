package admission

import "time"

// Parameters of the drain rate estimate.
const (
	// drainSmoothing is the weight of a new observation.
	drainSmoothing = 0.1
	// defaultRetryAfter is used before the first observation.
	defaultRetryAfter = time.Second
	minRetryAfter     = 10 * time.Millisecond
	maxRetryAfter     = time.Minute
)

// drainRate estimates how fast the queue drains: the mean interval between two
// requests that leave it to be served while others wait. Times without a backlog
// are not counted.
type drainRate struct {
	interval time.Duration
	observed bool
	// last is when the last request left, or when the backlog began.
	last    time.Time
	service time.Duration
}

// beginBacklog starts the interval of the first departure from a backlog.
func (d *drainRate) beginBacklog(now time.Time) { d.last = now }

// recordDeparture records a request that left the queue to be served.
func (d *drainRate) recordDeparture(now time.Time) {
	d.interval = smooth(d.interval, now.Sub(d.last), d.observed)
	d.observed = true
	d.last = now
}

// observeService records the duration of one served request.
func (d *drainRate) observeService(duration time.Duration) {
	d.service = smooth(d.service, duration, d.service > 0)
}

// estimate returns how long a number of requests take to leave the queue. The
// interval is at least the time since the last departure, to account for a stall.
func (d *drainRate) estimate(now time.Time, requests int) time.Duration {
	if !d.observed || requests == 0 {
		return 0
	}
	interval := max(d.interval, now.Sub(d.last))
	return time.Duration(requests) * interval
}

// retryAfter returns the time until a refused caller can expect a free slot.
func (d *drainRate) retryAfter(now time.Time, waiting int) time.Duration {
	if !d.observed {
		return defaultRetryAfter
	}
	return min(max(d.estimate(now, waiting), minRetryAfter), maxRetryAfter)
}

// smooth returns the exponentially weighted mean, or the value if it is the first.
func smooth(mean, value time.Duration, initialized bool) time.Duration {
	if !initialized {
		return value
	}
	return mean + time.Duration(drainSmoothing*float64(value-mean))
}
