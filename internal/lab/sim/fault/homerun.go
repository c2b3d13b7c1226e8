package fault

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// homeCall requests generation on a replica of which the called node is the home,
// or, without a replica, on any replica of the node's zone.
type homeCall struct {
	Request  port.GenerateRequest
	Attempt  int
	Exclude  []port.ReplicaID
	Avoid    port.ReplicaID
	Deadline time.Time
}

// serveOrDial serves a call here or at another node; stop cancels it.
func (n *node) serveOrDial(target *node, call homeCall, to sink) (stop func()) {
	if target == n {
		return n.serveGenerate(call, to)
	}
	s := n.world.dial(&n.process, &target.process, func(s *stream) {
		if target.draining {
			s.answer(true, func() { to.ended(port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")) })
			return
		}
		end := target.trackRequest()
		s.onDisconnect = target.serveGenerate(call, sink{
			placed: func(id port.ReplicaID) { s.answer(false, func() { to.placed(id) }) },
			chunk:  func(chunk port.GenerateChunk) { s.answer(false, func() { to.chunk(chunk) }) },
			ended: func(failure *port.Error) {
				s.answer(true, func() { to.ended(failure) })
				end()
			},
		})
	}, func(failure *port.Error) { to.ended(n.world.verdictOf(failure)) })
	return s.close
}

// homeRun is one attempt at the home node of its replica.
type homeRun struct {
	node      *node
	gate      *nodeGate
	call      homeCall
	sink      sink
	ticket    *gate.Ticket
	upstream  *stream
	id        port.RequestID
	startedAt time.Duration
	tokens    int
	ended     bool
}

// serveGenerate runs one attempt on a replica of which this node is the home; stop
// cancels it.
func (n *node) serveGenerate(call homeCall, to sink) (stop func()) {
	route := n.snapshot.Pools[call.Request.Pool]
	fail := func(refusal *port.Error) func() {
		n.later(0, func() { to.ended(refusal) })
		return func() {}
	}
	if route == nil {
		return fail(port.NewError(port.NotRun, port.CodeUnavailable, "the node has no configuration yet"))
	}
	if call.Request.Replica == "" {
		return n.relay(route, call, to)
	}
	if route.Gate == nil {
		return fail(port.NewError(port.NotRun, port.CodeUnavailable, "%s is not the home of %s", n.id, call.Request.Replica))
	}
	run := &homeRun{node: n, gate: route.Gate.(*nodeGate), call: call, sink: to}
	request := &call.Request
	run.ticket = &gate.Ticket{Owner: run, Request: gate.Request{
		ID: request.ID, Deadline: call.Deadline, Preferred: request.Replica, Avoid: call.Avoid,
		Scheduling: scheduling.Request{
			Pool: request.Pool, Zone: n.zone, Region: "region", Priority: request.Priority,
			PromptTokens: request.PromptTokens + request.ResumeTokens, MaxTokens: request.MaxTokens,
			MinVersion: request.MinVersion, PrefixHashes: request.PrefixHashes, Exclude: call.Exclude,
		},
	}}
	run.gate.offer(run.ticket)
	return run.stop
}

// relay chooses a replica of this zone for a request from another zone.
func (n *node) relay(route *nodestate.PoolRoute, call homeCall, to sink) func() {
	chosen := &generation{node: n, request: call.Request, exclude: call.Exclude, avoid: call.Avoid, loop: attempt.New(attempt.Rules{})}
	target, replica, _, refusal := chosen.chooseLocal(route)
	if refusal != nil {
		n.later(0, func() { to.ended(refusal) })
		return func() {}
	}
	call.Request.Replica = replica
	return n.serveOrDial(target, call, to)
}

// ticketResolved implements ticketOwner.
func (r *homeRun) ticketResolved(ticket *gate.Ticket) {
	switch {
	case r.ended:
		r.gate.cancel(ticket)
	case ticket.State == gate.Refused:
		r.finish(ticket.Refusal)
	case ticket.State == gate.Granted:
		r.run()
	}
}

// run streams the completion from the engine that the gate granted.
func (r *homeRun) run() {
	n, w := r.node, r.node.world
	replica, configured := n.snapshot.Replicas[r.ticket.Replica]
	if !configured {
		r.gate.release(r.ticket, gate.Outcome{Abandoned: true})
		r.finish(port.NewError(port.NotRun, port.CodeNoBackEnd, "replica %s was removed", r.ticket.Replica))
		return
	}
	request := r.call.Request
	request.Replica = replica.ID
	if r.call.Attempt > 1 {
		request.ID = port.RequestID(fmt.Sprintf("%s.%d", request.ID, r.call.Attempt))
	}
	r.sink.placed(replica.ID)
	r.id, r.startedAt = request.ID, w.queue.Now()
	target := w.engineAt(replica.Address)
	r.upstream = w.dial(&n.process, &target.process, func(s *stream) {
		target.generate(s, request, r.handleChunk, func(refusal *port.Error) { r.attemptEnded(refusal) })
	}, func(failure *port.Error) {
		if w.without(SafeguardComplete) && r.tokens > 0 {
			r.sink.chunk(port.GenerateChunk{Finish: port.FinishStop})
			failure = nil
		}
		r.attemptEnded(w.verdictOf(failure))
	})
}

// handleChunk checks a chunk of the engine's response and forwards it.
func (r *homeRun) handleChunk(message engineChunk) {
	if r.ended {
		return
	}
	w := r.node.world
	if isMixed(message, r.id) && !w.without(SafeguardMatching) {
		r.upstream.close()
		r.attemptEnded(port.NewError(port.MayHaveRun, port.CodeBackEnd, "chunk belongs to request %q", message.ID))
		return
	}
	if w.without(SafeguardVersion) && message.Chunk.Tokens > 0 {
		message.Chunk.Version = w.orderedVersion()
	}
	r.tokens += message.Chunk.Tokens
	r.sink.chunk(message.Chunk)
	if message.Chunk.Finish != "" {
		r.attemptEnded(nil)
	}
}

// attemptEnded handles the end of the request at the engine.
func (r *homeRun) attemptEnded(failure *port.Error) {
	if r.ended {
		return
	}
	r.release(failure, false)
	r.finish(failure)
}

func (r *homeRun) release(failure *port.Error, abandoned bool) {
	n := r.node
	classification := home.ClassifyGeneration(failure, abandoned, r.tokens, n.world.queue.Now()-r.startedAt)
	r.gate.release(r.ticket, classification.Outcome)
	if classification.AffectsHealth {
		n.state.HandleOutcomes(n.world.clock(), []nodestate.CallOutcome{outcomeOf(r.ticket.Replica, classification)})
		n.carryOut()
	}
}

func (r *homeRun) finish(failure *port.Error) {
	r.ended = true
	r.sink.ended(failure)
}

// stop cancels the run when its client disconnects.
func (r *homeRun) stop() {
	if r.ended {
		return
	}
	r.ended = true
	if r.upstream != nil {
		r.upstream.close()
		r.release(port.NewError(port.MayHaveRun, port.CodeCancelled, "the caller disconnected"), true)
	} else {
		r.gate.cancel(r.ticket)
	}
	r.sink.ended(port.NewError(port.MayHaveRun, port.CodeCancelled, "the caller disconnected"))
}
