package node

import (
	"context"
	"errors"
	"io"

	"github.com/loomgrade/loomgrade/internal/adapter/peerapi"
	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/prefix"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Sizes of the prompt blocks that engines cache.
const (
	blockTokens   = 16
	bytesPerToken = 4
	blockBytes    = blockTokens * bytesPerToken
)

// generation is a completion request at the node that accepted it.
type generation struct {
	request port.GenerateRequest
	// subject is the subject of the records: the request or a sample.
	subject string
	zones   []port.ZoneName
	exclude []port.ReplicaID
	avoid   port.ReplicaID
	// resume continues a cut-off completion on another replica; without it, a
	// completion that is cut off after its first token fails.
	resume bool
	// noRetry disables retries, for callers that retry themselves.
	noRetry bool
	// receive receives the chunks; onPlaced receives the replica of each attempt.
	receive  func(port.GenerateChunk) error
	onPlaced func(port.ReplicaID)
}

// generate serves a completion request that this node accepted.
func (n *Node) generate(ctx context.Context, job *generation) *port.Error {
	ctx, cancel, accepted, refusal := n.accept(ctx, job.request.Pool, port.PoolGeneration)
	if refusal != nil {
		n.recordRefusal(job.subject, job.request.Pool, refusal)
		return refusal
	}
	defer cancel()
	n.prepare(accepted, job)
	loop := attempt.New(attempt.Rules{
		Safe: job.request.Safe, CallerRetries: job.noRetry, Resume: job.resume,
		Deadline: accepted.deadline, MaxTokens: job.request.MaxTokens,
	})
	progress := &completionProgress{job: job, loop: loop}
	original := job.request
	for {
		loop.Begin()
		job.request = loop.Continue(original)
		failure := n.generateAttempt(ctx, accepted, job, progress)
		if failure.Error == nil {
			n.budgets.succeeded(accepted.pool)
			n.recordCompletion(accepted, job, loop, failure.Replica)
			return nil
		}
		step := n.handleFailure(ctx, accepted, job.subject, loop, failure)
		switch step.Kind {
		case attempt.Final:
			return step.Error
		case attempt.Complete:
			return n.complete(accepted, job, progress, failure.Replica)
		}
	}
}

// complete ends a completion whose tokens have all been delivered already.
func (n *Node) complete(accepted acceptance, job *generation, progress *completionProgress, replica port.ReplicaID) *port.Error {
	if err := progress.forward(port.GenerateChunk{Finish: port.FinishLength}); err != nil {
		return attempt.WithVerdict(port.AsError(err), port.Ran)
	}
	n.recordCompletion(accepted, job, progress.loop, replica)
	return nil
}

// prepare fills in the fields that placement and the engine need.
func (n *Node) prepare(accepted acceptance, job *generation) {
	request := &job.request
	if request.Adapter == "" {
		request.Adapter = accepted.pool.Adapter
	}
	if request.PromptTokens == 0 {
		request.PromptTokens = len(request.Prompt)/bytesPerToken + 1
	}
	if request.PrefixHashes == nil {
		request.PrefixHashes = prefix.HashBlocks(request.Prompt, blockBytes)
	}
}

// completionProgress tracks the chunks delivered to the caller over all attempts.
type completionProgress struct {
	job  *generation
	loop *attempt.Loop
}

// forward passes a chunk to the caller and records it.
func (g *completionProgress) forward(chunk port.GenerateChunk) error {
	if err := g.job.receive(chunk); err != nil {
		g.loop.RefuseChunk()
		return err
	}
	g.loop.AddChunk(chunk)
	return nil
}

// generateAttempt makes one attempt at the chosen target. The returned failure names
// the replica, if known, even if its error is nil.
func (n *Node) generateAttempt(ctx context.Context, accepted acceptance, job *generation, progress *completionProgress) attempt.Failure {
	loop := progress.loop
	chosen, refusal := n.choose(accepted, job, loop.FailedReplicas())
	if refusal != nil {
		return attempt.Failure{Error: refusal, Local: true}
	}
	call := peerapi.GenerateCall{
		Request:     job.request,
		TenantShare: accepted.snapshot.TenantShare(job.request.Tenant),
		Attempt:     loop.Attempts(),
		Exclude:     job.exclude,
		Avoid:       job.avoid,
	}
	if job.avoid == "" {
		call.Avoid = loop.LastFailedReplica()
	}
	call.Request.Replica = chosen.replica
	run := &attemptRun{node: n, job: job, progress: progress, replica: chosen.replica}
	defer run.end()
	run.countSent(chosen.replica)
	if chosen.node.ID == n.config.ID {
		failure := n.serveGenerate(ctx, &call, run.handle)
		return attempt.Failure{Replica: run.replica, Error: failure}
	}
	failure := n.generateRemote(ctx, chosen.node, &call, run.handle)
	return attempt.Failure{Replica: run.replica, Error: failure}
}

// attemptRun tracks one attempt, its replica and the replica's request counters.
type attemptRun struct {
	node     *Node
	job      *generation
	progress *completionProgress
	replica  port.ReplicaID
	counters *requestCounters
}

// handle handles one event of the attempt.
func (r *attemptRun) handle(next peerapi.GenerateEvent) error {
	if next.Decision != nil {
		d := *next.Decision
		d.Subject = r.job.subject
		r.node.recorder.record(d)
		if d.Kind == port.DecisionPlaced {
			r.setReplica(d.Replica)
		}
	}
	if next.Chunk != nil {
		return r.progress.forward(*next.Chunk)
	}
	return nil
}

// countSent counts the attempt as sent to a replica. Until the replica's home reports
// its queue, these counts keep this node from sending every request to one replica.
func (r *attemptRun) countSent(replica port.ReplicaID) {
	r.end()
	if replica != "" {
		r.counters = r.node.replicaCounters.of(replica)
		r.counters.sent.Add(1)
	}
}

func (r *attemptRun) setReplica(replica port.ReplicaID) {
	r.replica = replica
	r.countSent(replica)
	if r.job.onPlaced != nil {
		r.job.onPlaced(replica)
	}
}

func (r *attemptRun) end() {
	if r.counters != nil {
		r.counters.finished.Add(1)
		r.counters = nil
	}
}

// generateRemote runs the attempt on another node.
func (n *Node) generateRemote(ctx context.Context, target port.NodeAddress, call *peerapi.GenerateCall, handle func(peerapi.GenerateEvent) error) *port.Error {
	stream, err := n.peers.client(target.PeerAddress).Stream(ctx, peerapi.MethodGenerate, call)
	if err != nil {
		return port.AsError(err)
	}
	defer stream.Close()
	finished := false
	for {
		var next peerapi.GenerateEvent
		err := stream.Recv(&next)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return port.AsError(err)
		}
		if err := handle(next); err != nil {
			return port.AsError(err)
		}
		finished = finished || next.Chunk != nil && next.Chunk.Finish != ""
	}
	if !finished {
		return port.NewError(port.MayHaveRun, port.CodeBackEnd, "the completion ended without its last part")
	}
	return nil
}

func (n *Node) recordCompletion(accepted acceptance, job *generation, loop *attempt.Loop, replica port.ReplicaID) {
	n.recorder.record(port.Decision{
		Kind: port.DecisionAnswered, Subject: job.subject, Pool: accepted.pool.Name, Replica: replica,
		Revision: accepted.snapshot.View.Revision, Attempt: loop.Attempts(), Verdict: port.Ran, Spans: loop.Spans(),
	})
}
