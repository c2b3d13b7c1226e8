package node

import (
	"context"
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

func heldDetail(waiting int) string {
	return fmt.Sprintf("every replica that can serve it is busy; %d requests wait", waiting)
}

// serveGenerate runs one attempt on a replica whose home is this node. An attempt
// without a replica comes from another zone and is relayed to a replica of this zone.
func (n *Node) serveGenerate(ctx context.Context, call *peerapi.GenerateCall, emit func(peerapi.GenerateEvent) error) *port.Error {
	current := n.snapshot.Load()
	route := current.Pools[call.Request.Pool]
	if route == nil {
		return poolNotFoundError(call.Request.Pool)
	}
	accepted := acceptance{snapshot: current, pool: &route.Pool, route: route}
	accepted.deadline, _ = ctx.Deadline()
	if call.Request.Replica == "" {
		return n.relayGenerate(ctx, accepted, call, emit)
	}
	if gateOf(route) == nil {
		return port.NewError(port.NotRun, port.CodeUnavailable, "%s is not the home of %s", n.config.ID, call.Request.Replica)
	}
	grant, refusal := n.acquireEngine(ctx, accepted, call, emit)
	if refusal != nil {
		return refusal
	}
	placed := placedDecision(accepted, string(call.Request.ID), call.Attempt, grant)
	placed.Node = n.config.ID
	if err := emit(peerapi.GenerateEvent{Decision: &placed}); err != nil {
		grant.Release(gate.Outcome{Abandoned: true})
		return attempt.WithVerdict(port.AsError(err), port.NotRun)
	}
	return n.runEngine(ctx, accepted, grant, call, emit)
}

// relayGenerate chooses a replica of this zone for a request from another zone.
func (n *Node) relayGenerate(ctx context.Context, accepted acceptance, call *peerapi.GenerateCall, emit func(peerapi.GenerateEvent) error) *port.Error {
	job := &generation{request: call.Request, exclude: call.Exclude, avoid: call.Avoid}
	chosen, _, refusal := n.chooseLocal(accepted, job, nil)
	if refusal != nil {
		return refusal
	}
	relayed := *call
	relayed.Request.Replica = chosen.replica
	if chosen.node.ID == n.config.ID {
		return n.serveGenerate(ctx, &relayed, emit)
	}
	return n.generateRemote(ctx, chosen.node, &relayed, emit)
}

func (n *Node) acquireEngine(ctx context.Context, accepted acceptance, call *peerapi.GenerateCall, emit func(peerapi.GenerateEvent) error) (*gate.Grant, *port.Error) {
	request := &call.Request
	return gateOf(accepted.route).Acquire(ctx, gate.Request{
		ID:          request.ID,
		Tenant:      request.Tenant,
		TenantShare: call.TenantShare,
		Deadline:    accepted.deadline,
		Preferred:   request.Replica,
		Avoid:       call.Avoid,
		Scheduling: scheduling.Request{
			Pool:         request.Pool,
			Zone:         n.config.Zone,
			Region:       n.config.Region,
			Priority:     request.Priority,
			PromptTokens: request.PromptTokens + request.ResumeTokens,
			MaxTokens:    request.MaxTokens,
			MinVersion:   request.MinVersion,
			Adapter:      request.Adapter,
			PrefixHashes: request.PrefixHashes,
			Exclude:      call.Exclude,
		},
	}, func(waiting int) {
		held := heldDecision(accepted, string(request.ID), waiting)
		held.Node = n.config.ID
		_ = emit(peerapi.GenerateEvent{Decision: &held})
	})
}

// runEngine streams the completion from the granted engine.
func (n *Node) runEngine(ctx context.Context, accepted acceptance, grant *gate.Grant, call *peerapi.GenerateCall, emit func(peerapi.GenerateEvent) error) *port.Error {
	replica, configured := n.snapshot.Load().Replicas[grant.Replica]
	if !configured {
		grant.Release(gate.Outcome{Abandoned: true})
		return replicaRemovedError(grant.Replica)
	}
	request := call.Request
	request.Replica = grant.Replica
	if call.Attempt > 1 {
		request.ID = port.RequestID(fmt.Sprintf("%s.%d", request.ID, call.Attempt))
	}
	n.metrics.Attempt(request.Pool)
	started := time.Now()
	tokens := 0
	var emitErr error
	err := n.backEnds.engine(replica.Address).Generate(ctx, request, func(chunk port.GenerateChunk) error {
		tokens += chunk.Tokens
		emitErr = emit(peerapi.GenerateEvent{Chunk: &chunk})
		return emitErr
	})
	failure := port.AsError(err)
	abandoned := emitErr != nil || ctx.Err() != nil
	n.endGeneration(grant, tokens, failure, abandoned, time.Since(started))
	return failure
}

// endGeneration releases the slot and reports the outcome of the generation.
func (n *Node) endGeneration(grant *gate.Grant, tokens int, failure *port.Error, abandoned bool, elapsed time.Duration) {
	classified := home.ClassifyGeneration(failure, abandoned, tokens, elapsed)
	grant.Release(classified.Outcome)
	if classified.AffectsHealth {
		n.post(outcomesMessage{[]nodestate.CallOutcome{outcomeOf(grant.Replica, classified)}})
	}
}

func outcomeOf(replica port.ReplicaID, classified home.Classification) nodestate.CallOutcome {
	return nodestate.CallOutcome{Replica: replica, Failed: classified.Failed, LatencyMicros: classified.Latency.Microseconds()}
}
