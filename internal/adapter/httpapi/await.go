package httpapi

import (
	"context"
	"errors"
	"runtime/debug"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// outcome is the result of a Backend call.
type outcome[T any] struct {
	value   T
	failure *port.Error
}

// await runs a Backend call. Once ctx ends it waits at most CancelGrace for the
// call's own verdict, so that a cancelled request gets its final answer promptly.
func await[T any](ctx context.Context, s *Server, call func(context.Context) (T, error)) (T, *port.Error) {
	done := make(chan outcome[T], 1)
	go func() { done <- callWithRecover(ctx, s, call) }()
	select {
	case result := <-done:
		return result.value, result.failure
	case <-ctx.Done():
	}
	grace := time.NewTimer(s.limits.CancelGrace)
	defer grace.Stop()
	select {
	case result := <-done:
		return result.value, result.failure
	case <-grace.C:
		var none T
		return none, contextError(ctx)
	}
}

// callWithRecover runs call and turns a panic into an internal error.
func callWithRecover[T any](ctx context.Context, s *Server, call func(context.Context) (T, error)) (result outcome[T]) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		if s.config.OnPanic != nil {
			s.config.OnPanic(recovered, debug.Stack())
		}
		result.failure = port.NewError(port.MayHaveRun, port.CodeInternal, "internal error")
	}()
	value, err := call(ctx)
	return outcome[T]{value, port.AsError(err)}
}

func contextError(ctx context.Context) *port.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return port.NewError(port.MayHaveRun, port.CodeDeadline, "the deadline has passed")
	}
	return port.NewError(port.MayHaveRun, port.CodeCancelled, "the caller gave up")
}
