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

// Constants of the prompt blocks that engines cache.
const (
	blockTokens   = 16
	bytesPerToken = 4
	blockBytes    = blockTokens * bytesPerToken
)

// generation is one request for a completion on its way through the node that
// accepted it.
type generation struct {
	request port.GenerateRequest
	// subject is what the records are about: the request or a sample.
	subject string
	zones   []port.ZoneName
	exclude []port.ReplicaID
	avoid   port.ReplicaID
	// resume says that a cut-off completion is continued elsewhere; otherwise it
	// is an error once a token has left.
	resume bool
	// single switches retries off, for callers who retry themselves.
	single bool
	// receive takes the chunks, placed is told of the replica of each attempt.
	receive func(port.GenerateChunk) error
	placed  func(port.ReplicaID)
}

// generate serves a request for a completion that was accepted here.
func (n *Node) generate(ctx context.Context, job *generation) *port.Error {
	ctx, cancel, accepted, refusal := n.accept(ctx, job.request.Pool, port.PoolGeneration)
	if refusal != nil {
		n.recordRefusal(job.subject, job.request.Pool, refusal)
		return refusal
	}
	defer cancel()
	n.prepare(accepted, job)
	loop := attempt.New(attempt.Rules{
		Safe: job.request.Safe, CallerRetries: job.single, Resume: job.resume,
		Deadline: accepted.deadline, MaxTokens: job.request.MaxTokens,
	})
	progress := &generated{job: job, loop: loop}
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
		step := n.next(ctx, accepted, job.subject, loop, failure)
		switch step.Kind {
		case attempt.Final:
			return step.Error
		case attempt.Complete:
			return n.complete(accepted, job, progress, failure.Replica)
		}
	}
}

// complete gives the end of a completion whose tokens have all left already.
func (n *Node) complete(accepted acceptance, job *generation, progress *generated, replica port.ReplicaID) *port.Error {
	if err := progress.take(port.GenerateChunk{Finish: port.FinishLength}); err != nil {
		return attempt.WithVerdict(port.AsError(err), port.Ran)
	}
	n.recordCompletion(accepted, job, progress.loop, replica)
	return nil
}

// prepare fills in what the choice of a replica and the engine need.
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

// generated follows what has left to the caller, over all attempts.
type generated struct {
	job  *generation
	loop *attempt.Loop
}

// take hands a chunk to the caller and remembers it.
func (g *generated) take(chunk port.GenerateChunk) error {
	if err := g.job.receive(chunk); err != nil {
		g.loop.RefuseChunk()
		return err
	}
	g.loop.AddChunk(chunk)
	return nil
}

// generateAttempt makes one attempt at the place that it chooses, and says which
// replica served it as far as that is known, also when there is no error.
func (n *Node) generateAttempt(ctx context.Context, accepted acceptance, job *generation, progress *generated) attempt.Failure {
	loop := progress.loop
	place, refusal := n.choose(accepted, job, loop.FailedReplicas())
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
	call.Request.Replica = place.replica
	run := &attemptRun{node: n, job: job, progress: progress, replica: place.replica}
	defer run.end()
	run.count(place.replica)
	if place.node.ID == n.config.ID {
		failure := n.serveGenerate(ctx, &call, run.take)
		return attempt.Failure{Replica: run.replica, Error: failure}
	}
	failure := n.generateRemote(ctx, place.node, &call, run.take)
	return attempt.Failure{Replica: run.replica, Error: failure}
}

// attemptRun follows one attempt: its replica and this node's count of it.
type attemptRun struct {
	node     *Node
	job      *generation
	progress *generated
	replica  port.ReplicaID
	counted  *replicaCounters
}

// take handles one event of the attempt.
func (r *attemptRun) take(next peerapi.GenerateEvent) error {
	if next.Decision != nil {
		decided := *next.Decision
		decided.Subject = r.job.subject
		r.node.recorder.record(decided)
		if decided.Kind == port.DecisionPlaced {
			r.begin(decided.Replica)
		}
	}
	if next.Chunk != nil {
		return r.progress.take(*next.Chunk)
	}
	return nil
}

// count counts the attempt at a replica from when it is sent: until its home tells
// of what waits there, this node would send all that comes at once to one place.
func (r *attemptRun) count(replica port.ReplicaID) {
	r.end()
	if replica != "" {
		r.counted = r.node.counters.of(replica)
		r.counted.sent.Add(1)
	}
}

func (r *attemptRun) begin(replica port.ReplicaID) {
	r.replica = replica
	r.count(replica)
	if r.job.placed != nil {
		r.job.placed(replica)
	}
}

func (r *attemptRun) end() {
	if r.counted != nil {
		r.counted.finished.Add(1)
		r.counted = nil
	}
}

// generateRemote lets another node serve the attempt.
func (n *Node) generateRemote(ctx context.Context, target port.NodeAddress, call *peerapi.GenerateCall, take func(peerapi.GenerateEvent) error) *port.Error {
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
		if err := take(next); err != nil {
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
