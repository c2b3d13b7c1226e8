package retry

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Reason is why an attempt is or is not retried, as stored in records.
type Reason string

// The reasons.
const (
	ReasonRetry      Reason = "retry"
	ReasonNotOwner   Reason = "another layer retries this request"
	ReasonPermanent  Reason = "the error would come again"
	ReasonMayHaveRun Reason = "not safe to repeat and may have run"
	ReasonAttempts   Reason = "all attempts used"
	ReasonDeadline   Reason = "no time left before the deadline"
	ReasonBudget     Reason = "retry budget used up"
	ReasonDisabled   Reason = "retries are off"
)

// Policy limits the attempts of one route.
type Policy struct {
	// MaxAttempts includes the first attempt; 1 or less disables retries.
	MaxAttempts int
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
}

// FromConfiguration returns the policy of a pool's settings.
func FromConfiguration(settings port.Retry) Policy {
	return Policy{
		MaxAttempts: settings.MaxAttempts,
		BaseBackoff: time.Duration(settings.BaseBackoff),
		MaxBackoff:  time.Duration(settings.MaxBackoff),
	}
}

// Attempt describes a failed attempt and its request.
type Attempt struct {
	// Number is the number of attempts so far in all layers, including this one.
	Number int
	// Owner is set in the one layer that retries the request: the node that received
	// it from the caller. All other layers return the error.
	Owner   bool
	Verdict port.Verdict
	Code    port.Code
	// Safe allows the request to run more than once.
	Safe bool
	// Deadline is the deadline of the request; zero means none.
	Deadline time.Time
	// Expected is the expected duration of an attempt; 0 means unknown.
	Expected time.Duration
	// RetryAfter is the wait requested by the error; 0 means none.
	RetryAfter time.Duration
}

// Decision is the action to take after a failed attempt.
type Decision struct {
	Retry bool
	// After is the time to wait before the retry.
	After  time.Duration
	Reason Reason
}

// Decide decides whether to retry after a failed attempt. It withdraws from the budget only
// if every other rule allows the retry.
func (p Policy) Decide(now time.Time, attempt Attempt, budget *Budget, random *rand.Rand) Decision {
	if reason, refused := p.refuse(attempt); refused {
		return Decision{Reason: reason}
	}
	after := max(p.backoff(attempt.Number, random), attempt.RetryAfter)
	if !attempt.Deadline.IsZero() && !now.Add(after+attempt.Expected).Before(attempt.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !budget.Withdraw(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, After: after, Reason: ReasonRetry}
}

// refuse applies the rules that need neither the time nor the budget.
func (p Policy) refuse(attempt Attempt) (Reason, bool) {
	switch {
	case !attempt.Owner:
		return ReasonNotOwner, true
	case !attempt.Safe && attempt.Verdict != port.NotRun:
		return ReasonMayHaveRun, true
	case isPermanent(attempt.Code):
		return ReasonPermanent, true
	case p.MaxAttempts <= 1:
		return ReasonDisabled, true
	case attempt.Number >= p.MaxAttempts:
		return ReasonAttempts, true
	default:
		return "", false
	}
}

// isPermanent reports whether another attempt would fail with the same error.
func isPermanent(code port.Code) bool {
	switch code {
	case port.CodeInvalid, port.CodeNotFound, port.CodeConflict, port.CodeChangeIDReused,
		port.CodeChangeExpired, port.CodeStale, port.CodeDeadline, port.CodeCancelled,
		port.CodeUnauthorized, port.CodeTooLarge, port.CodeUnconfirmed:
		return true
	default:
		return false
	}
}

// backoff returns a random wait between 0 and BaseBackoff doubled for each attempt after the
// first, up to MaxBackoff.
func (p Policy) backoff(attempts int, random *rand.Rand) time.Duration {
	ceiling := p.BaseBackoff
	for count := 1; count < attempts && ceiling < p.MaxBackoff; count++ {
		ceiling *= 2
	}
	if p.MaxBackoff > 0 {
		ceiling = min(ceiling, p.MaxBackoff)
	}
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(random.Int64N(int64(ceiling) + 1))
}
