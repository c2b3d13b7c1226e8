package node

import (
	"context"
	"errors"
	"io"

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
	tried := &attempts{safe: job.request.Safe}
	verdict := port.NotRun
	progress := &generated{job: job, request: job.request}
	for {
		tried.made++
		replica, failure := n.generateAttempt(ctx, accepted, job, tried, progress)
		if failure == nil {
			n.budgets.succeeded(accepted.pool)
			n.recordCompletion(accepted, job, tried, replica, progress)
			return nil
		}
		verdict = worst(verdict, failure.Verdict)
		if !n.mayGoOn(job, progress, failure) || !n.next(ctx, accepted, job.subject, tried, replica, failure) {
			return withVerdict(failure, verdict)
		}
		if progress.continueWith(&job.request) {
			continue
		}
		// All tokens had left already; only the end was missing.
		if err := progress.take(port.GenerateChunk{Finish: port.FinishLength}); err != nil {
			return withVerdict(port.AsError(err), port.Ran)
		}
		n.recordCompletion(accepted, job, tried, replica, progress)
		return nil
	}
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

// mayGoOn says whether another attempt could serve the caller: nothing has left
// yet, or the completion can be continued.
func (n *Node) mayGoOn(job *generation, progress *generated, failure *port.Error) bool {
	if job.single || progress.refused != nil {
		return false
	}
	if progress.tokens == 0 {
		return true
	}
	return job.resume && job.request.Safe && failure.Code != port.CodeInvalid
}

// generated follows what has left to the caller, over all attempts.
type generated struct {
	job *generation
	// request is the request as it was accepted.
	request port.GenerateRequest
	text    []byte
	tokens  int
	spans   []port.Span
	// refused is the error with which the caller refused a chunk.
	refused error
}

// take hands a chunk to the caller and remembers it.
func (g *generated) take(chunk port.GenerateChunk) error {
	if err := g.job.receive(chunk); err != nil {
		g.refused = err
		return err
	}
	g.text = append(g.text, chunk.Text...)
	g.tokens += chunk.Tokens
	if chunk.Tokens > 0 {
		g.spans = port.AppendTokens(g.spans, chunk.Version, chunk.Tokens)
	}
	return nil
}

// continueWith makes the request of the next attempt: what has left already is
// carried as a resumed prefix. False means that no token is left to generate.
func (g *generated) continueWith(request *port.GenerateRequest) bool {
	if g.tokens == 0 {
		return true
	}
	if g.request.MaxTokens > 0 && g.tokens >= g.request.MaxTokens {
		return false
	}
	request.Resume = g.request.Resume + string(g.text)
	request.ResumeTokens = g.request.ResumeTokens + g.tokens
	if g.request.MaxTokens > 0 {
		request.MaxTokens = g.request.MaxTokens - g.tokens
	}
	request.KVHandle = ""
	return true
}

// generateAttempt makes one attempt at the place that it chooses, and says which
// replica served it as far as that is known.
func (n *Node) generateAttempt(ctx context.Context, accepted acceptance, job *generation, tried *attempts, progress *generated) (port.ReplicaID, *port.Error) {
	place, refusal := n.choose(accepted, job, tried)
	if refusal != nil {
		tried.refusedHere = true
		return "", refusal
	}
	call := generateCall{
		Request:     job.request,
		TenantShare: accepted.snapshot.tenantShare(job.request.Tenant),
		Attempt:     tried.made,
		Exclude:     job.exclude,
		Avoid:       job.avoid,
	}
	if job.avoid == "" {
		call.Avoid = lastOf(tried.failed)
	}
	call.Request.Replica = place.replica
	run := &attemptRun{node: n, job: job, progress: progress, replica: place.replica}
	defer run.end()
	if place.node.ID == n.config.ID {
		return run.replica, n.serveGenerate(ctx, &call, run.take)
	}
	failure := n.generateRemote(ctx, place.node, &call, run.take)
	return run.replica, failure
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
func (r *attemptRun) take(next generateEvent) error {
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

func (r *attemptRun) begin(replica port.ReplicaID) {
	r.end()
	r.replica = replica
	r.counted = r.node.counters.of(replica)
	r.counted.sent.Add(1)
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
func (n *Node) generateRemote(ctx context.Context, target port.NodeAddress, call *generateCall, take func(generateEvent) error) *port.Error {
	stream, err := n.peers.client(target.PeerAddress).Stream(ctx, methodGenerate, call)
	if err != nil {
		return port.AsError(err)
	}
	defer stream.Close()
	finished := false
	for {
		var next generateEvent
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

func (n *Node) recordCompletion(accepted acceptance, job *generation, tried *attempts, replica port.ReplicaID, progress *generated) {
	n.recorder.record(port.Decision{
		Kind: port.DecisionAnswered, Subject: job.subject, Pool: accepted.pool.Name, Replica: replica,
		Revision: accepted.snapshot.view.Revision, Attempt: tried.made, Verdict: port.Ran, Spans: progress.spans,
	})
}
