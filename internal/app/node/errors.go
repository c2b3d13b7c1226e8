package node

import (
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// drainingRetryAfter is the RetryAfter of errors of a stopping node.
const drainingRetryAfter = time.Second

func drainingError() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")
	refusal.RetryAfter = drainingRetryAfter
	return refusal
}

func poolNotFoundError(name port.PoolName) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeNotFound, "no such pool")
	refusal.Field = "pool"
	refusal.Value = string(name)
	return refusal
}

// contextError returns the error of a request whose context ended before it was sent.
func contextError(ctx context.Context) *port.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed")
	}
	return port.NewError(port.NotRun, port.CodeCancelled, "the caller gave up")
}

// toError returns a nil error for a nil *port.Error.
func toError(failure *port.Error) error {
	if failure == nil {
		return nil
	}
	return failure
}
