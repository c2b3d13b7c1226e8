package node

import (
	"context"
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// drainingRetryAfter is the advised wait on an error of a node that stops.
const drainingRetryAfter = time.Second

func drainingError() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")
	refusal.RetryAfter = drainingRetryAfter
	return refusal
}

func notFoundPool(name port.PoolName) *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeNotFound, "no such pool")
	refusal.Field = "pool"
	refusal.Value = string(name)
	return refusal
}

// contextError tells why a context ended before a request was sent.
func contextError(ctx context.Context) *port.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return port.NewError(port.NotRun, port.CodeDeadline, "the deadline passed")
	}
	return port.NewError(port.NotRun, port.CodeCancelled, "the caller gave up")
}

// orNil gives a plain nil error for a nil *port.Error.
func orNil(failure *port.Error) error {
	if failure == nil {
		return nil
	}
	return failure
}
