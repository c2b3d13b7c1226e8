package admission

import "time"

// Constants of the drain rate's estimate.
const (
	// drainSmoothing is the weight of a new observation.
	drainSmoothing = 0.1
	// defaultRetryAfter is told while nothing has been observed.
	defaultRetryAfter = time.Second
	minRetryAfter     = 10 * time.Millisecond
	maxRetryAfter     = time.Minute
)

// drainRate estimates how fast the queue drains: the mean time between two
// requests that leave it while others wait. Times without a backlog say
// nothing about the rate and are not counted.
type drainRate struct {
	interval time.Duration
	observed bool
	// last is when a request left last, or when the backlog began.
	last    time.Time
	service time.Duration
}

// restart begins a time with a backlog.
func (d *drainRate) restart(now time.Time) { d.last = now }

// departed counts one request that left to be served.
func (d *drainRate) departed(now time.Time) {
	d.interval = smooth(d.interval, now.Sub(d.last), d.observed)
	d.observed = true
	d.last = now
}

// observeService counts one served request.
func (d *drainRate) observeService(duration time.Duration) {
	d.service = smooth(d.service, duration, d.service > 0)
}

// timeFor estimates how long a number of requests take to leave. A queue that
// has stood still for longer than its mean interval is as slow as that.
func (d *drainRate) timeFor(now time.Time, requests int) time.Duration {
	if !d.observed || requests == 0 {
		return 0
	}
	interval := max(d.interval, now.Sub(d.last))
	return time.Duration(requests) * interval
}

// retryAfter says when a refused caller may expect room.
func (d *drainRate) retryAfter(now time.Time, waiting int) time.Duration {
	if !d.observed {
		return defaultRetryAfter
	}
	return min(max(d.timeFor(now, waiting), minRetryAfter), maxRetryAfter)
}

// smooth moves a mean towards a new value; the first value is the mean.
func smooth(mean, value time.Duration, started bool) time.Duration {
	if !started {
		return value
	}
	return mean + time.Duration(drainSmoothing*float64(value-mean))
}
