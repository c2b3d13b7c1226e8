package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// acceptance holds the routing state and the deadline of an accepted request.
type acceptance struct {
	snapshot *nodestate.Snapshot
	pool     *port.Pool
	route    *nodestate.PoolRoute
	deadline time.Time
}

// accept checks that the pool exists and that the configuration is confirmed if the pool
// requires it, and sets the request's deadline. The returned context ends at the
// deadline; the caller must call cancel.
func (n *Node) accept(ctx context.Context, name port.PoolName, kind port.PoolKind) (context.Context, context.CancelFunc, acceptance, *port.Error) {
	current := n.snapshot.Load()
	route := current.Pools[name]
	if route == nil || route.Pool.Kind != kind {
		if len(current.Pools) == 0 {
			return nil, nil, acceptance{}, notReadyError()
		}
		return nil, nil, acceptance{}, poolNotFoundError(name)
	}
	if route.Pool.RefuseUnconfirmed && !n.confirmed() {
		return nil, nil, acceptance{}, unconfirmedError()
	}
	deadline, set := ctx.Deadline()
	if !set {
		deadline = time.Now().Add(time.Duration(route.Pool.Admission.DefaultDeadline))
	}
	limited, cancel := context.WithDeadline(ctx, deadline)
	return limited, cancel, acceptance{snapshot: current, pool: &route.Pool, route: route, deadline: deadline}, nil
}

func notReadyError() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeUnavailable, "the node has no configuration yet")
	refusal.RetryAfter = time.Second
	return refusal
}

func unconfirmedError() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeUnconfirmed, "the configuration isn't confirmed and the pool requires it")
	refusal.RetryAfter = time.Second
	return refusal
}

// handleFailure records a failed attempt and decides whether to retry. Before a retry
// it waits for the backoff.
func (n *Node) handleFailure(ctx context.Context, accepted acceptance, subject string, loop *attempt.Loop, failure attempt.Failure) attempt.Step {
	step := loop.Failed(failure, func(failed retry.Attempt) retry.Decision {
		return n.budgets.decide(accepted.pool, failed)
	})
	switch step.Kind {
	case attempt.Final:
		// The caller that retries records the final failure.
		if !loop.CallerRetries() {
			n.recordEnd(accepted, subject, loop.Attempts(), failure, string(step.Reason))
		}
	case attempt.Retry:
		n.recordRetry(accepted, subject, loop.Attempts(), failure)
		if !wait(ctx, step.After) {
			n.recordEnd(accepted, subject, loop.Attempts(), failure, endedDuringBackoff)
			return attempt.Step{Kind: attempt.Final, Error: loop.GiveUp(failure.Error)}
		}
	}
	return step
}

// endedDuringBackoff is the recorded reason of a request that ended between attempts.
const endedDuringBackoff = "the caller left, or its deadline passed, before another attempt"

// wait blocks for the duration. It returns false if ctx ended first.
func wait(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (n *Node) recordRetry(accepted acceptance, subject string, attempts int, failure attempt.Failure) {
	n.recorder.record(port.Decision{
		Kind: port.DecisionRetried, Subject: subject, Pool: accepted.pool.Name, Replica: failure.Replica,
		Revision: accepted.snapshot.View.Revision, Attempt: attempts, Verdict: failure.Error.Verdict,
		Code: failure.Error.Code, Detail: failure.Error.Message,
	})
}

// recordEnd records the final answer of a request that failed.
func (n *Node) recordEnd(accepted acceptance, subject string, attempts int, failure attempt.Failure, reason string) {
	kind := port.DecisionAnswered
	if failure.Error.Verdict == port.NotRun {
		kind = port.DecisionRefused
	}
	detail := failure.Error.Message
	if reason != "" && reason != string(retry.ReasonPermanent) {
		detail += " (" + reason + ")"
	}
	n.recorder.record(port.Decision{
		Kind: kind, Subject: subject, Pool: accepted.pool.Name, Replica: failure.Replica,
		Revision: accepted.snapshot.View.Revision, Attempt: attempts,
		Verdict: failure.Error.Verdict, Code: failure.Error.Code, Detail: detail,
	})
}
