package retry

import (
	"math/rand/v2"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Reason says why an attempt is or is not repeated, in words for records.
type Reason string

// The reasons.
const (
	ReasonRetry        Reason = "retry"
	ReasonNotOwner     Reason = "another layer retries this request"
	ReasonPermanent    Reason = "the error would come again"
	ReasonMayHaveRun   Reason = "not safe to repeat and may have run"
	ReasonAttempts     Reason = "all attempts used"
	ReasonDeadline     Reason = "no time left before the deadline"
	ReasonBudget       Reason = "retry budget used up"
	ReasonUnconfigured Reason = "retries are off"
)

// Policy bounds the attempts of one route.
type Policy struct {
	// MaxAttempts counts the first attempt too; 1 or less switches retries off.
	MaxAttempts int
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
}

// FromConfiguration takes the policy out of a pool's settings.
func FromConfiguration(settings port.Retry) Policy {
	return Policy{
		MaxAttempts: settings.MaxAttempts,
		BaseBackoff: time.Duration(settings.BaseBackoff),
		MaxBackoff:  time.Duration(settings.MaxBackoff),
	}
}

// Attempt describes a failed attempt and its request.
type Attempt struct {
	// Made counts the attempts made so far in all layers, this one included.
	Made int
	// Owner is set in the one layer that retries the request: the node that got
	// it from the caller. All other hops pass the error back.
	Owner   bool
	Verdict port.Verdict
	Code    port.Code
	// Safe says that the request may run more than once.
	Safe bool
	// Deadline is the request's; the zero time means none.
	Deadline time.Time
	// Expected is the usual time of an attempt; 0 means not known.
	Expected time.Duration
	// RetryAfter is the time that the error asked to wait; 0 means not stated.
	RetryAfter time.Duration
}

// Decision says what to do after a failed attempt.
type Decision struct {
	Retry bool
	// After is the time to wait before the retry.
	After  time.Duration
	Reason Reason
}

// Decide says whether to repeat an attempt. It spends the budget only when
// every other rule allows the retry.
func (p Policy) Decide(now time.Time, attempt Attempt, budget *Budget, random *rand.Rand) Decision {
	if reason, refused := p.refuse(attempt); refused {
		return Decision{Reason: reason}
	}
	after := max(p.backoff(attempt.Made, random), attempt.RetryAfter)
	if !attempt.Deadline.IsZero() && !now.Add(after+attempt.Expected).Before(attempt.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !budget.Withdraw(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, After: after, Reason: ReasonRetry}
}

// refuse applies the rules that need neither time nor budget.
func (p Policy) refuse(attempt Attempt) (Reason, bool) {
	switch {
	case !attempt.Owner:
		return ReasonNotOwner, true
	case !attempt.Safe && attempt.Verdict != port.NotRun:
		return ReasonMayHaveRun, true
	case permanent(attempt.Code):
		return ReasonPermanent, true
	case p.MaxAttempts <= 1:
		return ReasonUnconfigured, true
	case attempt.Made >= p.MaxAttempts:
		return ReasonAttempts, true
	default:
		return "", false
	}
}

// permanent says whether another attempt would meet the same error.
func permanent(code port.Code) bool {
	switch code {
	case port.CodeInvalid, port.CodeNotFound, port.CodeConflict, port.CodeChangeIDReused,
		port.CodeChangeExpired, port.CodeStale, port.CodeDeadline, port.CodeCancelled,
		port.CodeUnauthorized, port.CodeTooLarge, port.CodeUnconfirmed:
		return true
	default:
		return false
	}
}

// backoff draws a wait between 0 and the doubled base, bounded by MaxBackoff.
func (p Policy) backoff(made int, random *rand.Rand) time.Duration {
	ceiling := p.BaseBackoff
	for count := 1; count < made && ceiling < p.MaxBackoff; count++ {
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
