package port

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request that failed may have had an effect.
type Verdict uint8

// The verdicts. The zero value is VerdictUnset, so that a forgotten verdict
// shows; readers treat it as MayHaveRun.
const (
	VerdictUnset Verdict = iota
	// NotRun: nothing of the request reached a back end. It may be sent again.
	NotRun
	// MayHaveRun: some of the request left and no answer tells what became of it.
	MayHaveRun
	// Ran: the back end ran the request, and the error concerns its outcome.
	Ran
)

// String gives the verdict as it stands in HTTP headers and reports.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Ran:
		return "ran"
	default:
		return "unset"
	}
}

// ParseVerdict reads what Verdict.String gives; anything else is VerdictUnset.
func ParseVerdict(text string) Verdict {
	for _, verdict := range []Verdict{NotRun, MayHaveRun, Ran} {
		if verdict.String() == text {
			return verdict
		}
	}
	return VerdictUnset
}

// Code names the reason of an Error, stable across versions.
type Code string

// The codes of errors that cross a border of the system.
const (
	CodeInvalid        Code = "invalid"          // a field of the request is not allowed
	CodeNotFound       Code = "not_found"        // the named thing does not exist
	CodeConflict       Code = "conflict"         // expected revision is not the current one
	CodeChangeIDReused Code = "change_id_reused" // same change id, other body
	CodeChangeExpired  Code = "change_expired"   // the answer to this change id is no longer kept
	CodeFenced         Code = "fenced"           // a higher epoch exists
	CodeLeaseHeld      Code = "lease_held"       // another holder's lease is still valid
	CodeStale          Code = "stale"            // a sample is older than its bound
	CodeQueueFull      Code = "queue_full"       // admission refused early
	CodeDeadline       Code = "deadline"         // the deadline passed or cannot be met
	CodeNoBackEnd      Code = "no_back_end"      // no replica passed the filters
	CodeBackEnd        Code = "back_end"         // the back end failed
	CodeWithheld       Code = "withheld"         // replicas ended under the request; it is not sent
	CodeUnavailable    Code = "unavailable"      // no quorum, leader or peer
	CodeDraining       Code = "draining"         // the process is stopping
	CodeCancelled      Code = "cancelled"        // the caller gave up
	CodeUnauthorized   Code = "unauthorized"     // no or wrong token
	CodeTooLarge       Code = "too_large"        // a body, header or frame over its bound
	CodeNotReady       Code = "not_ready"        // ask again later: a batch is not whole yet
	CodeInternal       Code = "internal"         // a fault of loomgrade itself
	CodeUnconfirmed    Code = "unconfirmed"      // configuration lease lost and the route refuses
)

// Error is the error that crosses every border of the system.
type Error struct {
	Verdict Verdict `cbor:"1,keyasint" json:"verdict"`
	Code    Code    `cbor:"2,keyasint" json:"code"`
	Message string  `cbor:"3,keyasint" json:"message"`
	// Field and Value name the offending input where there is one, Allowed says
	// what would be accepted.
	Field   string `cbor:"4,keyasint,omitempty" json:"field,omitempty"`
	Value   string `cbor:"5,keyasint,omitempty" json:"value,omitempty"`
	Allowed string `cbor:"6,keyasint,omitempty" json:"allowed,omitempty"`
	// RetryAfter says when it makes sense to ask again; 0 means not stated.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty" json:"retry_after_ns,omitempty"`

	// cause is what errors.Is and errors.As find behind it, in this process only.
	cause error
}

// WithCause sets the error behind e, for errors.Is and errors.As in this process, and
// gives e.
func (e *Error) WithCause(cause error) *Error {
	e.cause = cause
	return e
}

// Unwrap gives the cause, nil for none.
func (e *Error) Unwrap() error { return e.cause }

// Error gives one line with code, field, value and what is allowed.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Message)
	if e.Field != "" {
		text += fmt.Sprintf(": field %s", e.Field)
	}
	if e.Value != "" {
		text += fmt.Sprintf(" = %q", e.Value)
	}
	if e.Allowed != "" {
		text += fmt.Sprintf(", allowed: %s", e.Allowed)
	}
	return text
}

// MarshalText gives the verdict's name, so that JSON bodies carry it in words.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads a verdict's name; an unknown one is VerdictUnset.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = ParseVerdict(string(text))
	return nil
}

// NewError makes an Error with a formatted message.
func NewError(verdict Verdict, code Code, format string, arguments ...any) *Error {
	return &Error{Verdict: verdict, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// InvalidField makes the NotRun error for input that is not allowed.
func InvalidField(field, value, allowed string) *Error {
	return &Error{Verdict: NotRun, Code: CodeInvalid, Message: "not allowed", Field: field, Value: value, Allowed: allowed}
}

// AsError finds the Error in err's chain. An error without one becomes a
// CodeInternal error with verdict MayHaveRun, the careful reading.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{Verdict: MayHaveRun, Code: CodeInternal, Message: err.Error()}
}
