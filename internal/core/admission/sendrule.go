package admission

import (
	"math"
	"time"
)

// Parameters of the proportional rule.
const (
	// growthPerSecond is the share of the offered rate by which the limit grows each second.
	growthPerSecond = 0.3
	// slackGrowth is the additional growth per excess of latency below its target, relative to
	// growthPerSecond. It has to end a limit within a second after a burst.
	slackGrowth = 20.0
	// latencyFall and refusalFall are the relative decreases per second at a latency equal to
	// the aim, and while all tries are refused. A faster fall makes the rate oscillate.
	latencyFall = 3.0
	refusalFall = 20.0
	// refusalTolerance is the share of refused tries that does not lower the limit.
	refusalTolerance = 0.03
	// noAimTolerance is that of traffic without an aim, which comes back until it is served and
	// shares replicas with traffic that yields to latency.
	noAimTolerance = 0.95
	// targetShare is the share of the aim up to which latency does not lower the limit. The
	// remainder covers the spread of the work and the wait at the sender.
	targetShare = 0.34
	// baselineTolerance is the ratio to the baseline up to which latency does not lower the
	// limit. maxTargetShare bounds it relative to the aim, as a sender that starts during a
	// burst measures too high a baseline.
	baselineTolerance = 1.3
	maxTargetShare    = 0.6
)

// rateRule decides the limit of a sender.
type rateRule interface {
	// overloaded reports whether the measurements are a sign of overload.
	overloaded(signals *sendSignals) bool
	// next returns the limit in requests per second after a step.
	next(signals *sendSignals, rate, offered float64, step time.Duration) float64
}

// proportionalRule lowers the limit in proportion to itself, to the excess of latency and to the
// share of refusals, and raises it by a share of the offered rate. All senders measure the same
// replicas, so that at equilibrium each sends the same share of what it is offered.
type proportionalRule struct{}

// overloaded implements rateRule.
func (proportionalRule) overloaded(s *sendSignals) bool {
	return refusalExcess(s) > 0 || latencyExcess(s) > 0
}

// next implements rateRule.
func (proportionalRule) next(s *sendSignals, rate, offered float64, step time.Duration) float64 {
	excess := latencyExcess(s)
	fall := latencyFall*max(excess, 0) + refusalFall*max(refusalExcess(s), 0)
	growth := growthPerSecond * offered * (1 + slackGrowth*max(-excess, 0))
	return rate*math.Exp(-fall*step.Seconds()) + growth*step.Seconds()
}

// refusalExcess returns the share of refused tries above the tolerated one.
func refusalExcess(s *sendSignals) float64 {
	if s.aim == 0 {
		return s.refusals - noAimTolerance
	}
	return s.refusals - refusalTolerance
}

// latencyExcess returns how far latency is from its target: 0 at the target, 1 at the aim,
// negative below the target.
func latencyExcess(s *sendSignals) float64 {
	if s.fast == 0 {
		return -1
	}
	target := maxTargetShare
	if lowest := s.relativeBaseline.lowest; lowest > 0 {
		target = max(targetShare, min(baselineTolerance*lowest, maxTargetShare))
	}
	return (s.fast - target) / (1 - target)
}
