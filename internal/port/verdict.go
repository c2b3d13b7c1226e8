package port

import (
	"errors"
	"fmt"
	"time"
)

// Verdict reports whether a failed request may have had an effect.
type Verdict uint8

// The verdicts. The zero value is VerdictUnset, which exposes a missing verdict; readers
// treat it as MayHaveRun.
const (
	VerdictUnset Verdict = iota
	// NotRun: nothing of the request reached a back end. It may be retried.
	NotRun
	// MayHaveRun: part of the request was sent, and its outcome is unknown.
	MayHaveRun
	// Ran: the back end ran the request; the error concerns its outcome.
	Ran
)

// String returns the verdict's name in HTTP headers and reports.
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

// ParseVerdict parses the output of Verdict.String; anything else is VerdictUnset.
func ParseVerdict(text string) Verdict {
	for _, verdict := range []Verdict{NotRun, MayHaveRun, Ran} {
		if verdict.String() == text {
			return verdict
		}
	}
	return VerdictUnset
}

// Code is the reason of an Error, stable across versions.
type Code string

// The error codes.
const (
	CodeInvalid        Code = "invalid"          // a field of the request is invalid
	CodeNotFound       Code = "not_found"        // the named object does not exist
	CodeConflict       Code = "conflict"         // the expected revision is not the current one
	CodeChangeIDReused Code = "change_id_reused" // same change id, different body
	CodeChangeExpired  Code = "change_expired"   // the result of this change id is no longer stored
	CodeFenced         Code = "fenced"           // a higher epoch exists
	CodeLeaseHeld      Code = "lease_held"       // another holder's lease is valid
	CodeStale          Code = "stale"            // a sample is older than the staleness bound
	CodeQueueFull      Code = "queue_full"       // admission rejected the request
	CodeDeadline       Code = "deadline"         // the deadline passed or cannot be met
	CodeNoBackEnd      Code = "no_back_end"      // no replica passed the filters
	CodeBackEnd        Code = "back_end"         // the back end failed
	CodeWithheld       Code = "withheld"         // replicas failed while running the request; it is not sent again
	CodeUnavailable    Code = "unavailable"      // no quorum, leader or peer
	CodeDraining       Code = "draining"         // the process is stopping
	CodeCancelled      Code = "cancelled"        // the caller cancelled the request
	CodeUnauthorized   Code = "unauthorized"     // missing or wrong token
	CodeMisdirected    Code = "misdirected"      // the request is for another cluster
	CodeTooLarge       Code = "too_large"        // a body, header or frame exceeds its limit
	CodeNotReady       Code = "not_ready"        // the batch is not complete; retry later
	CodeInternal       Code = "internal"         // a fault of loomgrade
	CodeUnconfirmed    Code = "unconfirmed"      // the configuration lease expired and the pool rejects requests
)

// Error is the error type of all interfaces of the system.
type Error struct {
	Verdict Verdict `cbor:"1,keyasint" json:"verdict"`
	Code    Code    `cbor:"2,keyasint" json:"code"`
	Message string  `cbor:"3,keyasint" json:"message"`
	// Field and Value are the invalid input, if any, and Allowed describes valid input.
	Field   string `cbor:"4,keyasint,omitempty" json:"field,omitempty"`
	Value   string `cbor:"5,keyasint,omitempty" json:"value,omitempty"`
	Allowed string `cbor:"6,keyasint,omitempty" json:"allowed,omitempty"`
	// RetryAfter is the time to wait before a retry; 0 means unspecified.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty" json:"retry_after_ns,omitempty"`

	// cause is the wrapped error. It is not encoded.
	cause error
}

// WithCause sets the error that e wraps and returns e.
func (e *Error) WithCause(cause error) *Error {
	e.cause = cause
	return e
}

// Unwrap returns the wrapped error, or nil.
func (e *Error) Unwrap() error { return e.cause }

// Error formats the code, verdict, message, field, value and allowed values.
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

// MarshalText encodes the verdict by name, for JSON.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes a verdict's name; an unknown one is VerdictUnset.
func (v *Verdict) UnmarshalText(text []byte) error {
	*v = ParseVerdict(string(text))
	return nil
}

// NewError returns an Error with a formatted message.
func NewError(verdict Verdict, code Code, format string, arguments ...any) *Error {
	return &Error{Verdict: verdict, Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// InvalidField returns the NotRun error for an invalid field.
func InvalidField(field, value, allowed string) *Error {
	return &Error{Verdict: NotRun, Code: CodeInvalid, Message: "not allowed", Field: field, Value: value, Allowed: allowed}
}

// AsError returns the Error in err's chain. For an error without one it returns a
// CodeInternal error with verdict MayHaveRun.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var wrapped *Error
	if errors.As(err, &wrapped) {
		return wrapped
	}
	return &Error{Verdict: MayHaveRun, Code: CodeInternal, Message: err.Error()}
}
