package wire

import (
	"context"
	"errors"

	"github.com/loomgrade/loomgrade/internal/port"
)

// CodeProtocol is the code of an answer that breaks the protocol.
const CodeProtocol port.Code = "protocol"

// VerdictOf returns the verdict of an error, MayHaveRun if it has none.
func VerdictOf(err error) port.Verdict {
	var wrapped *port.Error
	if errors.As(err, &wrapped) && wrapped.Verdict != port.VerdictUnset {
		return wrapped.Verdict
	}
	return port.MayHaveRun
}

// CodeOf returns the code of an error, empty if it has none.
func CodeOf(err error) port.Code {
	var wrapped *port.Error
	if errors.As(err, &wrapped) {
		return wrapped.Code
	}
	return ""
}

// contextError converts the error of a finished context into one with a verdict.
func contextError(ctx context.Context, verdict port.Verdict) *port.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return port.NewError(verdict, port.CodeDeadline, "the deadline passed")
	}
	return port.NewError(verdict, port.CodeCancelled, "the caller gave up")
}

// toError converts a handler's error for the caller. An error without a verdict may
// have had effects.
func toError(err error) *port.Error {
	var wrapped *port.Error
	if errors.As(err, &wrapped) {
		return wrapped
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return port.NewError(port.MayHaveRun, port.CodeDeadline, "the deadline passed")
	}
	return port.NewError(port.MayHaveRun, port.CodeInternal, "%s", err.Error())
}

// sendError converts the error of an unsent frame into one with the verdict NotRun.
func sendError(err error) *port.Error {
	var wrapped *port.Error
	switch {
	case errors.As(err, &wrapped):
		return port.NewError(port.NotRun, wrapped.Code, "%s", wrapped.Message)
	case errors.Is(err, ErrFrameTooLarge):
		return port.NewError(port.NotRun, port.CodeTooLarge, "%s", err.Error())
	case errors.Is(err, errQueueFull):
		return port.NewError(port.NotRun, port.CodeQueueFull, "%s", err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed before sending")
	case errors.Is(err, context.Canceled):
		return port.NewError(port.NotRun, port.CodeCancelled, "the caller gave up before sending")
	}
	return port.NewError(port.NotRun, port.CodeUnavailable, "%s", err.Error())
}

// decodeError decodes the error that a peer sent; an undecodable one is MayHaveRun.
func decodeError(body []byte) *port.Error {
	refusal := &port.Error{}
	if err := Unmarshal(body, refusal); err != nil {
		return port.NewError(port.MayHaveRun, CodeProtocol, "undecodable error: %s", err.Error())
	}
	if refusal.Verdict < port.NotRun || refusal.Verdict > port.Ran {
		refusal.Verdict = port.MayHaveRun
	}
	return refusal
}
