package admission

import (
	"math"
	"time"
)

// Parameters of the limit.
const (
	// growthPerSecond is the share of the offered rate by which the limit grows each second.
	growthPerSecond = 0.3
	// slackGrowth is the additional growth while latency is far below its target, relative to
	// growthPerSecond.
	slackGrowth = 8.0
	// maxGrowthRatio limits the offered rate that growth is computed from, relative to the
	// limit: at many times the capacity the limit would otherwise follow the load.
	maxGrowthRatio = 4
	// latencyFall and refusalFall are the relative decrease per second at a latency equal to
	// the aim, and while all tries are refused.
	latencyFall = 3.0
	refusalFall = 4.0
	// refusalTolerance is the share of refused tries that does not lower the limit. Refusals by
	// one slow replica stay below it.
	refusalTolerance = 0.05
	// targetShare is the share of the aim up to which latency does not lower the limit. The
	// remainder covers the spread of the service times and the wait at the sender.
	targetShare = 0.33
	// baselineTolerance is the ratio to the baseline up to which latency does not lower the
	// limit, and maxTargetShare bounds it: a baseline measured under load is too high.
	baselineTolerance = 1.3
	maxTargetShare    = 0.6
	// releaseRatio is the ratio of the limit to the offered rate at which the limit ends.
	releaseRatio = 2
	// defaultFloor is the minimum limit in requests per second while the capacity is unknown.
	defaultFloor = 0.5
	// floorShare is the share of an equal division of the capacity below which the limit does
	// not fall.
	floorShare = 0.1
	// burstPeriod is the time in which unused permits accumulate.
	burstPeriod = 200 * time.Millisecond
	minBurst    = 5
	// heavyReserve and lateReserve are the numbers of permits that requests of heavy tenants,
	// and requests whose target has passed, leave to others.
	heavyReserve = 2
	lateReserve  = 4
	// maxStep limits the time between two changes of the limit that is taken into account.
	maxStep = time.Second
)

// rateRule computes the limit of a sender.
type rateRule interface {
	// overloaded reports whether a sender without a limit needs one.
	overloaded(signals *sendSignals) bool
	// next returns the limit in requests per second after a step, from the one before it.
	next(signals *sendSignals, rate, offered float64, step time.Duration) float64
}

// sendRate is the limit of one sender: a token bucket whose rate a rule adapts.
type sendRate struct {
	rule    rateRule
	signals sendSignals
	limited bool
	// rate is in requests per second, permits in requests.
	rate    float64
	permits float64
	updated time.Time
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
	if r.rate >= releaseRatio*offered && !r.rule.overloaded(&r.signals) {
		r.limited = false
	}
}

// observe records the result of a try, and begins to limit at the first sign of overload.
func (r *sendRate) observe(now time.Time, result TryResult) {
	r.advance(now)
	r.signals.observe(now, result)
	if r.limited || !r.rule.overloaded(&r.signals) {
		return
	}
	r.limited = true
	r.rate = max(r.signals.offered.at(now), r.floor())
	r.permits = 1
}

// burst returns the maximum number of permits.
func (r *sendRate) burst() float64 { return max(minBurst, r.rate*burstPeriod.Seconds()) }

// floor returns the minimum limit, which keeps measurements coming.
func (r *sendRate) floor() float64 {
	if r.slots == 0 || r.senders == 0 || r.signals.baseline == 0 {
		return defaultFloor
	}
	return floorShare * float64(r.slots) / float64(r.senders) / r.signals.baseline
}

// take uses one permit and leaves a reserve; false means that there are too few.
func (r *sendRate) take(reserve float64) bool {
	if !r.limited {
		return true
	}
	if r.permits < 1+reserve-permitTolerance {
		return false
	}
	r.permits--
	return true
}

// permitTolerance covers rounding, so that the wait until the next permit ends with one.
const permitTolerance = 1e-6

// sendable returns how many requests can be sent within a time.
func (r *sendRate) sendable(wait time.Duration) float64 {
	return r.permits + r.rate*wait.Seconds()
}

// untilPermit returns the time until the next permit.
func (r *sendRate) untilPermit(reserve float64) time.Duration {
	missing := max(1+reserve-r.permits, 0)
	return time.Duration(math.Ceil(missing / r.rate * float64(time.Second)))
}

// proportionalRule lowers the limit in proportion to the excess of latency and to the share
// of refusals, and raises it by a share of the offered rate. At equilibrium all senders send
// the same share of what they are offered, as all of them see the same replicas.
type proportionalRule struct{}

func (proportionalRule) overloaded(s *sendSignals) bool {
	return s.refusals > refusalTolerance || latencyExcess(s) > 0
}

func (proportionalRule) next(s *sendSignals, rate, offered float64, step time.Duration) float64 {
	excess := latencyExcess(s)
	fall := latencyFall*max(excess, 0) + refusalFall*max(s.refusals-refusalTolerance, 0)
	growth := growthPerSecond * min(offered, maxGrowthRatio*rate) * (1 + slackGrowth*max(-excess, 0))
	return rate*math.Exp(-fall*step.Seconds()) + growth*step.Seconds()
}

// latencyExcess returns how far latency is above its target: 0 at the target, 1 at the aim,
// negative below the target.
func latencyExcess(s *sendSignals) float64 {
	if s.aim == 0 {
		return -1
	}
	target := max(targetShare*s.aim, min(baselineTolerance*s.baseline, maxTargetShare*s.aim))
	if s.baseline == 0 {
		target = maxTargetShare * s.aim
	}
	return (s.fast - target) / (s.aim - target)
}
