package home

import "time"

const (
	// PollBytes is the cost in bytes of polling an engine for load and cache events:
	// two HTTP exchanges, both directions, without events. The fleet emulation measured 716.
	PollBytes = 720
	// PollBudget limits the polls of a home's engines, in bytes per second: a quarter
	// of a node's budget for control traffic.
	PollBudget = 3000
	// MaxPollInterval limits the time between two polls of an engine, so that a restart
	// or a new version is detected within 3 s if the engine answers its polls.
	MaxPollInterval = time.Second
)

// PollInterval returns the time between two polls of each engine with which the polls of
// all engines stay within the budget, in bytes per second. It is between minimum and
// MaxPollInterval, or minimum if that is longer.
func PollInterval(minimum time.Duration, engines, bytes, budget int) time.Duration {
	if budget <= 0 {
		return minimum
	}
	needed := time.Duration(engines*bytes) * time.Second / time.Duration(budget)
	return max(minimum, min(needed, MaxPollInterval))
}

// PollDue reports whether a home that checks at checkInterval polls now: it polls at the
// check nearest to the end of the poll interval.
func PollDue(elapsed, interval, checkInterval time.Duration) bool {
	return elapsed >= interval-checkInterval/2
}

// NeedsFastPolls reports whether the replica must be polled at the minimum interval: it
// has no report yet, its last poll failed, a rollout excludes it, or it has staged
// weights that it is about to load.
func (r *Record) NeedsFastPolls(now time.Time) bool {
	return !r.hasReport() || r.failedPolls > 0 || now.Before(r.excludedUntil) || r.report.Staged > r.report.Version
}
