package httpapi

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// outcome is what a call to the Backend gave.
type outcome[T any] struct {
	value   T
	failure *port.Error
}

// await runs a call to the Backend. When ctx ends it waits no longer than the
// grace for the call's own verdict, so that a request that is given up on gets
// its final answer at once.
func await[T any](ctx context.Context, s *Server, call func(context.Context) (T, error)) (T, *port.Error) {
	done := make(chan outcome[T], 1)
	go func() { done <- guarded(ctx, s, call) }()
	select {
	case result := <-done:
		return result.value, result.failure
	case <-ctx.Done():
	}
	grace := time.NewTimer(s.limits.GiveUpGrace)
	defer grace.Stop()
	select {
	case result := <-done:
		return result.value, result.failure
	case <-grace.C:
		var none T
		return none, givenUp(ctx)
	}
}

// guarded turns a panic into an internal error.
func guarded[T any](ctx context.Context, s *Server, call func(context.Context) (T, error)) (result outcome[T]) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		if s.config.OnPanic != nil {
			s.config.OnPanic(recovered, debug.Stack())
		}
		result.failure = port.NewError(port.MayHaveRun, port.CodeInternal, "internal fault")
	}()
	value, err := call(ctx)
	return outcome[T]{value, port.AsError(err)}
}

func givenUp(ctx context.Context) *port.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return port.NewError(port.MayHaveRun, port.CodeDeadline, "the deadline has passed")
	}
	return port.NewError(port.MayHaveRun, port.CodeCancelled, "the caller gave up")
}
