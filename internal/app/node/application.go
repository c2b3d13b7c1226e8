package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// callApplication serves an application call: it chooses a back end, sends the call,
// and retries where the verdict allows it.
func (n *Node) callApplication(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, *port.Error) {
	ctx, cancel, accepted, refusal := n.accept(ctx, request.Pool, port.PoolApplication)
	if refusal != nil {
		n.recordRefusal(string(request.ID), request.Pool, refusal)
		return port.ApplicationResponse{}, refusal
	}
	defer cancel()
	request.Deadline = accepted.deadline
	subject := string(request.ID)
	loop := attempt.New(attempt.Rules{Safe: request.Safe, Deadline: accepted.deadline})
	for {
		loop.Begin()
		response, failure := n.applicationAttempt(ctx, accepted, request, loop)
		if failure.Error == nil {
			n.budgets.succeeded(accepted.pool)
			n.recordAnswer(accepted, subject, loop.Attempts(), failure.Replica)
			return response, nil
		}
		if step := n.handleFailure(ctx, accepted, subject, loop, failure); step.Kind == attempt.Final {
			return port.ApplicationResponse{}, step.Error
		}
	}
}

// applicationAttempt makes one attempt on the back end that the gate chooses. The
// returned failure names the replica even if its error is nil.
func (n *Node) applicationAttempt(ctx context.Context, accepted acceptance, request port.ApplicationRequest, loop *attempt.Loop) (port.ApplicationResponse, attempt.Failure) {
	grant, refusal := n.acquireApplication(ctx, accepted, request, loop.LastFailedReplica())
	if refusal != nil {
		return port.ApplicationResponse{}, attempt.Failure{Error: refusal, Local: true}
	}
	n.recordPlaced(accepted, string(request.ID), loop.Attempts(), grant)
	// The replica may have been removed since the request was accepted.
	replica, configured := n.snapshot.Load().Replicas[grant.Replica]
	if !configured {
		grant.Release(gate.Outcome{Abandoned: true})
		return port.ApplicationResponse{}, attempt.Failure{Replica: grant.Replica, Error: replicaRemovedError(grant.Replica)}
	}
	n.metrics.Attempt(request.Pool)
	started := time.Now()
	response, err := n.backEnds.application(replica.Address).Call(ctx, request)
	elapsed := time.Since(started)
	failure := port.AsError(err)
	n.endApplication(ctx, grant, response, failure, elapsed)
	return response, attempt.Failure{Replica: grant.Replica, Error: failure}
}

func replicaRemovedError(replica port.ReplicaID) *port.Error {
	return port.NewError(port.NotRun, port.CodeNoBackEnd, "replica %s was removed", replica)
}

func (n *Node) acquireApplication(ctx context.Context, accepted acceptance, request port.ApplicationRequest, avoid port.ReplicaID) (*gate.Grant, *port.Error) {
	return gateOf(accepted.route).Acquire(ctx, gate.Request{
		ID:          request.ID,
		Tenant:      request.Tenant,
		TenantShare: accepted.snapshot.TenantShare(request.Tenant),
		Deadline:    accepted.deadline,
		Avoid:       avoid,
		Scheduling: scheduling.Request{
			Pool:     request.Pool,
			Zone:     n.config.Zone,
			Region:   n.config.Region,
			Priority: request.Priority,
		},
	}, func(waiting int) { n.recordHeld(accepted, string(request.ID), waiting) })
}

// endApplication releases the slot and reports the outcome of the call.
func (n *Node) endApplication(ctx context.Context, grant *gate.Grant, response port.ApplicationResponse, failure *port.Error, elapsed time.Duration) {
	classified := home.ClassifyCall(failure, ctx.Err() == context.Canceled, response.Status, elapsed)
	grant.Release(classified.Outcome)
	if classified.AffectsHealth {
		n.post(callEnded{outcomeOf(grant.Replica, classified)})
	}
}

// recordPlaced records the choice of a replica.
func (n *Node) recordPlaced(accepted acceptance, subject string, attempt int, grant *gate.Grant) {
	n.recorder.record(placedDecision(accepted, subject, attempt, grant))
}

func placedDecision(accepted acceptance, subject string, attempt int, grant *gate.Grant) port.Decision {
	return port.Decision{
		Kind: port.DecisionPlaced, Subject: subject, Pool: accepted.pool.Name, Replica: grant.Replica,
		Revision: accepted.snapshot.View.Revision, Attempt: attempt, Considered: grant.Result.Considered,
		Filtered: grant.Result.Filtered, Scores: grant.Result.Scores,
	}
}

func heldDecision(accepted acceptance, subject string, waiting int) port.Decision {
	return port.Decision{
		Kind: port.DecisionHeld, Subject: subject, Pool: accepted.pool.Name,
		Revision: accepted.snapshot.View.Revision, Detail: heldDetail(waiting),
	}
}

func (n *Node) recordHeld(accepted acceptance, subject string, waiting int) {
	n.recorder.record(heldDecision(accepted, subject, waiting))
}

func (n *Node) recordAnswer(accepted acceptance, subject string, attempts int, replica port.ReplicaID) {
	n.recorder.record(port.Decision{
		Kind: port.DecisionAnswered, Subject: subject, Pool: accepted.pool.Name, Replica: replica,
		Revision: accepted.snapshot.View.Revision, Attempt: attempts, Verdict: port.Ran,
	})
}

func (n *Node) recordRefusal(subject string, pool port.PoolName, refusal *port.Error) {
	n.recorder.record(port.Decision{
		Kind: port.DecisionRefused, Subject: subject, Pool: pool, Revision: n.snapshot.Load().View.Revision,
		Verdict: refusal.Verdict, Code: refusal.Code, Detail: refusal.Message,
	})
}
