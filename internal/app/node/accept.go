package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/retry"
	"github.com/loomgrade/loomgrade/internal/port"
)

// acceptance is what a node settles when it accepts a request.
type acceptance struct {
	snapshot *snapshot
	pool     *port.Pool
	route    *poolRoute
	deadline time.Time
}

// accept checks whether a pool's requests are taken now, and gives the request
// its deadline. The context ends at the deadline; cancel must be called.
func (n *Node) accept(ctx context.Context, name port.PoolName, kind port.PoolKind) (context.Context, context.CancelFunc, acceptance, *port.Error) {
	current := n.snapshot.Load()
	route := current.pools[name]
	if route == nil || route.pool.Kind != kind {
		if len(current.pools) == 0 {
			return nil, nil, acceptance{}, notReady()
		}
		return nil, nil, acceptance{}, notFoundPool(name)
	}
	if route.pool.RefuseUnconfirmed && !n.confirmed() {
		return nil, nil, acceptance{}, unconfirmedError()
	}
	deadline, set := ctx.Deadline()
	if !set {
		deadline = time.Now().Add(time.Duration(route.pool.Admission.DefaultDeadline))
	}
	limited, cancel := context.WithDeadline(ctx, deadline)
	return limited, cancel, acceptance{snapshot: current, pool: &route.pool, route: route, deadline: deadline}, nil
}

func notReady() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeUnavailable, "the node has no configuration yet")
	refusal.RetryAfter = time.Second
	return refusal
}

func unconfirmedError() *port.Error {
	refusal := port.NewError(port.NotRun, port.CodeUnconfirmed, "the configuration isn't confirmed and this pool refuses then")
	refusal.RetryAfter = time.Second
	return refusal
}

// attempts counts what was tried for one request.
type attempts struct {
	made int
	// failed are the replicas of earlier attempts.
	failed []port.ReplicaID
	safe   bool
	// refusedHere is set when this node itself refused: nothing was sent, and
	// another attempt would meet the same refusal.
	refusedHere bool
}

// next decides after a failure whether to try again, records the decision and
// waits. False means that the failure is final.
func (n *Node) next(ctx context.Context, accepted acceptance, subject string, tried *attempts, replica port.ReplicaID, failure *port.Error) bool {
	if replica != "" {
		tried.failed = append(tried.failed, replica)
	}
	if tried.refusedHere {
		n.recordEnd(accepted, subject, tried, replica, failure, "")
		return false
	}
	decided := n.budgets.decide(accepted.pool, retry.Attempt{
		Made: tried.made, Owner: true, Verdict: failure.Verdict, Code: failure.Code,
		Safe: tried.safe, Deadline: accepted.deadline, RetryAfter: waitAdvice(failure),
	})
	if !decided.Retry {
		n.recordEnd(accepted, subject, tried, replica, failure, string(decided.Reason))
		return false
	}
	n.recorder.record(port.Decision{
		Kind: port.DecisionRetried, Subject: subject, Pool: accepted.pool.Name, Replica: replica,
		Revision: accepted.snapshot.view.Revision, Attempt: tried.made, Verdict: failure.Verdict,
		Code: failure.Code, Detail: failure.Message,
	})
	timer := time.NewTimer(decided.After)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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

// recordEnd records the final answer of a request that failed.
func (n *Node) recordEnd(accepted acceptance, subject string, tried *attempts, replica port.ReplicaID, failure *port.Error, reason string) {
	kind := port.DecisionAnswered
	if failure.Verdict == port.NotRun {
		kind = port.DecisionRefused
	}
	detail := failure.Message
	if reason != "" && reason != string(retry.ReasonPermanent) {
		detail += " (" + reason + ")"
	}
	n.recorder.record(port.Decision{
		Kind: kind, Subject: subject, Pool: accepted.pool.Name, Replica: replica,
		Revision: accepted.snapshot.view.Revision, Attempt: tried.made,
		Verdict: failure.Verdict, Code: failure.Code, Detail: detail,
	})
}

// worst gives the verdict that holds for a request after several attempts: a
// request that may have run once stays so, whatever later attempts say.
func worst(earlier, later port.Verdict) port.Verdict {
	if earlier == port.VerdictUnset || earlier == port.NotRun {
		return later
	}
	if later == port.Ran || earlier == port.Ran {
		return port.Ran
	}
	return earlier
}

// withVerdict gives the failure with a verdict that covers all attempts.
func withVerdict(failure *port.Error, verdict port.Verdict) *port.Error {
	if failure.Verdict == verdict {
		return failure
	}
	covered := *failure
	covered.Verdict = verdict
	return &covered
}
