package home

import "time"

const (
	// PollBytes is what asking an engine for its load and for cache events costs
	// both ways, in bytes of two HTTP exchanges without events: 716 as measured by
	// the fleet emulation.
	PollBytes = 720
	// PollBudget bounds the polls of a home's engines, in bytes per second: a
	// quarter of what a node may spend on control.
	PollBudget = 3000
	// MaxPollInterval bounds the time between two polls of an engine, so that a
	// restart or a new version is seen within 3 s. An engine that takes questions
	// and does not answer takes longer: each poll waits for its timeout.
	MaxPollInterval = time.Second
)

// PollInterval gives the time between two polls of each engine of a home, such
// that all of them stay within a budget in bytes per second; it is never less
// than least, nor more than MaxPollInterval unless least is.
func PollInterval(least time.Duration, engines, bytes, budget int) time.Duration {
	if budget <= 0 {
		return least
	}
	needed := time.Duration(engines*bytes) * time.Second / time.Duration(budget)
	return max(least, min(needed, MaxPollInterval))
}

// PollDue says whether a home that looks every so often polls now: the look that
// is nearest to the end of the interval does.
func PollDue(passed, interval, look time.Duration) bool {
	return passed >= interval-look/2
}

// PollSoon says whether polls of the replica must not be put off: it has not
// answered yet or stopped answering, a rollout keeps it out, or it has staged
// weights that it is about to switch to.
func (r *Record) PollSoon(now time.Time) bool {
	return !r.known() || r.silent > 0 || now.Before(r.outUntil) || r.report.Staged > r.report.Version
}
