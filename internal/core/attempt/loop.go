package attempt

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Rules are the retry rules of a request.
type Rules struct {
	// Safe allows the request to run more than once.
	Safe bool
	// CallerRetries disables retries, for callers that retry themselves.
	CallerRetries bool
	// Resume allows a completion that was cut off to be resumed; otherwise a failure
	// after the first token is final.
	Resume bool
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	// MaxTokens limits the length of a completion; 0 leaves it to the engine.
	MaxTokens int
}

// Loop tracks the attempts of one request. It is not safe for concurrent use.
type Loop struct {
	rules          Rules
	attempts       int
	failedReplicas []port.ReplicaID
	verdict        port.Verdict
	// chunkRefused is set when the caller refuses a chunk.
	chunkRefused bool
	text         []byte
	tokens       int
	spans        []port.Span
}

// New returns the loop of a request before its first attempt.
func New(rules Rules) *Loop { return &Loop{rules: rules, verdict: port.NotRun} }

// Begin counts an attempt and returns its number, starting at 1.
func (l *Loop) Begin() int {
	l.attempts++
	return l.attempts
}

// Attempts returns the number of attempts.
func (l *Loop) Attempts() int { return l.attempts }

// CallerRetries reports whether another layer retries the request.
func (l *Loop) CallerRetries() bool { return l.rules.CallerRetries }

// FailedReplicas returns the replicas of the failed attempts.
func (l *Loop) FailedReplicas() []port.ReplicaID { return l.failedReplicas }

// LastFailedReplica returns the replica of the last failed attempt, to be avoided by the next one;
// empty means none.
func (l *Loop) LastFailedReplica() port.ReplicaID {
	if len(l.failedReplicas) == 0 {
		return ""
	}
	return l.failedReplicas[len(l.failedReplicas)-1]
}

// Failure describes a failed attempt.
type Failure struct {
	// Replica is the replica of the attempt; empty if unknown.
	Replica port.ReplicaID
	Error   *port.Error
	// Local is set if this layer refused the request: nothing was sent, and another
	// attempt would be refused as well.
	Local bool
}

// Decide decides whether to retry after a failed attempt; see retry.Policy.
type Decide func(retry.Attempt) retry.Decision

// Step is the action to take after a failed attempt.
type Step struct {
	Kind StepKind
	// After is the wait before the next attempt.
	After time.Duration
	// Error is the final error, with the verdict of all attempts.
	Error *port.Error
	// Reason is why there is no retry; empty if Error is the reason.
	Reason retry.Reason
}

// StepKind is the kind of a Step.
type StepKind uint8

// The kinds of step.
const (
	// Final: the request ends with Step.Error.
	Final StepKind = iota
	// Retry: make another attempt after Step.After.
	Retry
	// Complete: all tokens were already sent to the caller; only the end was missing.
	Complete
)

// Failed records the failure of the current attempt and returns the next step.
func (l *Loop) Failed(failure Failure, decide Decide) Step {
	l.verdict = combineVerdicts(l.verdict, failure.Error.Verdict)
	if failure.Replica != "" {
		l.failedReplicas = append(l.failedReplicas, failure.Replica)
	}
	if failure.Local || !l.canContinue(failure.Error) {
		return l.final(failure, "")
	}
	if l.tokens > 0 && l.rules.MaxTokens > 0 && l.tokens >= l.rules.MaxTokens {
		return Step{Kind: Complete}
	}
	decision := decide(retry.Attempt{
		Number:     l.attempts,
		Owner:      true,
		Verdict:    failure.Error.Verdict,
		Code:       failure.Error.Code,
		Safe:       l.rules.Safe,
		Deadline:   l.rules.Deadline,
		RetryAfter: retryAfter(failure.Error),
	})
	if !decision.Retry {
		return l.final(failure, decision.Reason)
	}
	return Step{Kind: Retry, After: decision.After}
}

// GiveUp returns the final error if the deadline passes or the caller disconnects during the wait
// before another attempt.
func (l *Loop) GiveUp(failure *port.Error) *port.Error { return WithVerdict(failure, l.verdict) }

func (l *Loop) final(failure Failure, reason retry.Reason) Step {
	return Step{Kind: Final, Error: WithVerdict(failure.Error, l.verdict), Reason: reason}
}

// canContinue reports whether another attempt could serve the caller: no tokens were sent
// yet, or the completion can be resumed.
func (l *Loop) canContinue(failure *port.Error) bool {
	if l.rules.CallerRetries || l.chunkRefused {
		return false
	}
	if l.tokens == 0 {
		return true
	}
	return l.rules.Resume && l.rules.Safe && failure.Code != port.CodeInvalid
}

// retryAfter returns the wait that a failure requests before a retry. The wait of a home that
// is draining or unavailable doesn't apply to other homes.
func retryAfter(failure *port.Error) time.Duration {
	switch failure.Code {
	case port.CodeDraining, port.CodeUnavailable, port.CodeNoBackEnd, port.CodeQueueFull:
		return 0
	default:
		return failure.RetryAfter
	}
}
