package admission

import (
	"math"
	"time"
)

// Parameters of the token bucket.
const (
	// defaultFloor is the minimum limit in requests per second while the capacity is unknown.
	defaultFloor = 0.5
	// floorShare is the share of an equal division of the capacity below which the limit does
	// not fall.
	floorShare = 0.5
	// burstPeriod is the time in which unused permits accumulate, and minBurst the number that
	// accumulates at any rate: a sender with few requests gets them in clusters.
	burstPeriod = 200 * time.Millisecond
	minBurst    = 6
	// heavyReserve and lateReserve are the shares of the bucket that requests of heavy tenants,
	// and requests whose aim has passed, leave to others.
	heavyReserve = 0.6
	lateReserve  = 1.0
	// signFreePeriod is the time without a sign of overload after which a limit ends. It must
	// be below the second in which service is back to normal after a burst.
	signFreePeriod = 800 * time.Millisecond
	// restorePeriod is the time in which a limit that ended is restored by a sign of overload,
	// increased by restoreGrowth. Otherwise it would start at the rate of the burst again.
	restorePeriod = 5 * time.Second
	restoreGrowth = 1.1
	// maxStep limits the time between two changes of the limit that is taken into account.
	maxStep = time.Second
	// permitTolerance covers rounding, so that the wait for a permit ends with one.
	permitTolerance = 1e-6
)

// sendRate is the limit of one sender: a token bucket whose rate a rule adapts.
type sendRate struct {
	rule    rateRule
	signals sendSignals
	limited bool
	// rate is in requests per second, permits in requests.
	rate    float64
	permits float64
	updated time.Time
	// signed is the time of the last sign of overload, ended that of the end of the last limit.
	signed  time.Time
	ended   time.Time
	slots   int
	senders int
}

// advance applies the time since the last call. A clock that goes back changes nothing and
// restarts the measurement.
func (r *sendRate) advance(now time.Time) {
	step := min(now.Sub(r.updated), maxStep)
	r.updated = now
	if !r.limited || step <= 0 {
		return
	}
	r.permits = min(r.permits+r.rate*step.Seconds(), r.burst())
	offered := r.signals.offered.at(now)
	if r.signals.recent(now) {
		r.rate = r.rule.next(&r.signals, r.rate, offered, step)
	} else {
		r.rate += growthPerSecond * offered * step.Seconds()
	}
	r.rate = max(r.rate, r.floor())
	if r.recovered(now) {
		r.limited = false
		r.ended = now
	}
}

// recovered reports whether answers have shown no sign of overload for some time.
func (r *sendRate) recovered(now time.Time) bool {
	return now.Sub(r.signed) >= signFreePeriod && r.signals.observed.After(r.signed)
}

// observe records the result of a try, and begins to limit at the first sign of overload.
func (r *sendRate) observe(now time.Time, result TryResult) {
	r.advance(now)
	r.signals.observe(now, result)
	overloaded := r.rule.overloaded(&r.signals)
	// An answer without an aim says nothing about latency, which would otherwise stay a sign.
	if result.Refused || overloaded && result.Aim > 0 {
		r.signed = now
	}
	if overloaded && !r.limited {
		r.begin(now)
	}
}

// begin begins to limit, at the offered rate or at the limit that ended recently.
func (r *sendRate) begin(now time.Time) {
	rate := r.signals.offered.at(now)
	if !r.ended.IsZero() && now.Sub(r.ended) < restorePeriod {
		rate = min(rate, restoreGrowth*r.rate)
	}
	r.limited = true
	r.rate = max(rate, r.floor())
	r.permits = 1
}

// burst returns the maximum number of permits.
func (r *sendRate) burst() float64 { return max(minBurst, r.rate*burstPeriod.Seconds()) }

// floor returns the minimum limit, which keeps measurements coming.
func (r *sendRate) floor() float64 {
	if r.slots == 0 || r.senders == 0 || r.signals.baseline.lowest == 0 {
		return defaultFloor
	}
	return floorShare * float64(r.slots) / float64(r.senders) / r.signals.baseline.lowest
}

// required returns the number of permits from which a request may be sent that leaves a share
// of the bucket to others.
func (r *sendRate) required(reserve float64) float64 { return 1 + reserve*(r.burst()-1) }

// take uses one permit; false means that there are fewer than required.
func (r *sendRate) take(reserve float64) bool {
	if !r.limited {
		return true
	}
	if r.permits < r.required(reserve)-permitTolerance {
		return false
	}
	r.permits--
	return true
}

// sendable returns how many requests with a reserve can be sent within a time.
func (r *sendRate) sendable(wait time.Duration, reserve float64) float64 {
	return r.permits + r.rate*wait.Seconds() - r.required(reserve) + 1
}

// untilPermit returns the time until a request with a reserve may be sent.
func (r *sendRate) untilPermit(reserve float64) time.Duration {
	missing := max(r.required(reserve)-r.permits, 0)
	return time.Duration(math.Ceil(missing / r.rate * float64(time.Second)))
}
