package attempt

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Rules are what the caller allows for a request.
type Rules struct {
	// Safe says that the request may run more than once.
	Safe bool
	// Single switches retries off, for callers that retry themselves.
	Single bool
	// Resume says that a completion that was cut off may be continued; otherwise
	// it is an error once a token has left.
	Resume bool
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	// MaxTokens is the length of a completion; 0 means that the engine decides.
	MaxTokens int
}

// Loop is one request over its attempts. It is not safe for concurrent use.
type Loop struct {
	rules   Rules
	made    int
	failed  []port.ReplicaID
	verdict port.Verdict
	// refused is set once the caller refused a chunk.
	refused bool
	text    []byte
	tokens  int
	spans   []port.Span
}

// New makes the loop of a request that was not attempted yet.
func New(rules Rules) *Loop { return &Loop{rules: rules, verdict: port.NotRun} }

// Begin counts an attempt and gives its number, from 1.
func (l *Loop) Begin() int {
	l.made++
	return l.made
}

// Made counts the attempts.
func (l *Loop) Made() int { return l.made }

// Single says whether another layer retries the request.
func (l *Loop) Single() bool { return l.rules.Single }

// Tried lists the replicas of the attempts that failed.
func (l *Loop) Tried() []port.ReplicaID { return l.failed }

// LastTried gives the replica of the last failed attempt, to be avoided by the
// next; empty means none.
func (l *Loop) LastTried() port.ReplicaID {
	if len(l.failed) == 0 {
		return ""
	}
	return l.failed[len(l.failed)-1]
}

// Failure is the end of an attempt without an answer.
type Failure struct {
	// Replica is that of the attempt; empty where it is not known.
	Replica port.ReplicaID
	Error   *port.Error
	// Here is set when the layer itself refused: nothing was sent, and another
	// attempt would meet the same refusal.
	Here bool
}

// Decide decides on another attempt by policy and budget; see retry.Policy.
type Decide func(retry.Attempt) retry.Decision

// Step says what to do after a failed attempt.
type Step struct {
	Kind StepKind
	// After is the wait before the next attempt.
	After time.Duration
	// Error is the final answer, with the verdict of all attempts.
	Error *port.Error
	// Reason says why there is no other attempt; empty where the failure says it.
	Reason retry.Reason
}

// StepKind names a Step.
type StepKind uint8

// The kinds of step.
const (
	// Final: the request ends with Step.Error.
	Final StepKind = iota
	// Again: make another attempt after Step.After.
	Again
	// Complete: all tokens had left already and only the end was missing.
	Complete
)

// Failed takes the failure of the present attempt.
func (l *Loop) Failed(failure Failure, decide Decide) Step {
	l.verdict = worst(l.verdict, failure.Error.Verdict)
	if failure.Replica != "" {
		l.failed = append(l.failed, failure.Replica)
	}
	if failure.Here || !l.mayGoOn(failure.Error) {
		return l.final(failure, "")
	}
	if l.tokens > 0 && l.rules.MaxTokens > 0 && l.tokens >= l.rules.MaxTokens {
		return Step{Kind: Complete}
	}
	decided := decide(retry.Attempt{
		Made:       l.made,
		Owner:      true,
		Verdict:    failure.Error.Verdict,
		Code:       failure.Error.Code,
		Safe:       l.rules.Safe,
		Deadline:   l.rules.Deadline,
		RetryAfter: waitAdvice(failure.Error),
	})
	if !decided.Retry {
		return l.final(failure, decided.Reason)
	}
	return Step{Kind: Again, After: decided.After}
}

// GiveUp gives the final answer when the caller's time ran out, or the caller
// left, during the wait before another attempt.
func (l *Loop) GiveUp(failure *port.Error) *port.Error { return WithVerdict(failure, l.verdict) }

func (l *Loop) final(failure Failure, reason retry.Reason) Step {
	return Step{Kind: Final, Error: WithVerdict(failure.Error, l.verdict), Reason: reason}
}

// mayGoOn says whether another attempt could serve the caller: nothing has left
// yet, or the completion can be continued.
func (l *Loop) mayGoOn(failure *port.Error) bool {
	if l.rules.Single || l.refused {
		return false
	}
	if l.tokens == 0 {
		return true
	}
	return l.rules.Resume && l.rules.Safe && failure.Code != port.CodeInvalid
}

// waitAdvice is the wait that a failure asks for before a retry. A home that
// stops or doesn't know the replica says nothing about the other homes.
func waitAdvice(failure *port.Error) time.Duration {
	switch failure.Code {
	case port.CodeDraining, port.CodeUnavailable, port.CodeNoBackEnd, port.CodeQueueFull:
		return 0
	default:
		return failure.RetryAfter
	}
}
