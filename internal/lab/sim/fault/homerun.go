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

// homeCall asks a node to generate on a replica that it is the home of, or,
// without a replica, on one of its zone.
type homeCall struct {
	Request  port.GenerateRequest
	Attempt  int
	Exclude  []port.ReplicaID
	Avoid    port.ReplicaID
	Deadline time.Time
}

// serveOrDial serves a call here or at another node; the function that it gives
// ends it.
func (n *node) serveOrDial(target *node, call homeCall, to sink) (stop func()) {
	if target == n {
		return n.serveGenerate(call, to)
	}
	s := n.world.dial(&n.process, &target.process, func(s *stream) {
		if target.draining {
			s.answer(true, func() { to.ended(port.NewError(port.NotRun, port.CodeDraining, "the node is stopping")) })
			return
		}
		end := target.begin()
		s.left = target.serveGenerate(call, sink{
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

// homeRun is one attempt at the home of its replica.
type homeRun struct {
	node    *node
	gate    *nodeGate
	call    homeCall
	sink    sink
	ticket  *gate.Ticket
	out     *stream
	id      port.RequestID
	started time.Duration
	tokens  int
	ended   bool
}

// serveGenerate runs one attempt on a replica that this node is the home of. The
// function that it gives ends it.
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
		Pick: scheduling.Request{
			Pool: request.Pool, Zone: n.zone, Region: "region", Priority: request.Priority,
			PromptTokens: request.PromptTokens + request.ResumeTokens, MaxTokens: request.MaxTokens,
			MinVersion: request.MinVersion, PrefixHashes: request.PrefixHashes, Exclude: call.Exclude,
		},
	}}
	run.gate.offer(run.ticket)
	return run.stop
}

// relay chooses a replica of this zone for a request of another one.
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

// settled implements settler.
func (r *homeRun) settled(ticket *gate.Ticket) {
	switch {
	case r.ended:
		r.gate.cancel(ticket)
	case ticket.State == gate.Refused:
		r.finish(ticket.Refusal)
	case ticket.State == gate.Granted:
		r.run()
	}
}

// run streams the completion from the engine that was granted.
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
	r.id, r.started = request.ID, w.queue.Now()
	target := w.engineAt(replica.Address)
	r.out = w.dial(&n.process, &target.process, func(s *stream) {
		target.generate(s, request, r.take, func(refusal *port.Error) { r.over(refusal) })
	}, func(failure *port.Error) {
		if w.without(SafeguardWhole) && r.tokens > 0 {
			r.sink.chunk(port.GenerateChunk{Finish: port.FinishStop})
			failure = nil
		}
		r.over(w.verdictOf(failure))
	})
}

// take checks a piece of the engine's answer and hands it on.
func (r *homeRun) take(piece engineChunk) {
	if r.ended {
		return
	}
	w := r.node.world
	if isMixed(piece, r.id) && !w.without(SafeguardMatching) {
		r.out.close()
		r.over(port.NewError(port.MayHaveRun, port.CodeBackEnd, "chunk belongs to request %q", piece.ID))
		return
	}
	if w.without(SafeguardVersion) && piece.Chunk.Tokens > 0 {
		piece.Chunk.Version = w.orderedVersion()
	}
	r.tokens += piece.Chunk.Tokens
	r.sink.chunk(piece.Chunk)
	if piece.Chunk.Finish != "" {
		r.over(nil)
	}
}

// over ends the run at the engine.
func (r *homeRun) over(failure *port.Error) {
	if r.ended {
		return
	}
	r.release(failure, false)
	r.finish(failure)
}

func (r *homeRun) release(failure *port.Error, abandoned bool) {
	n := r.node
	judged := home.ClassifyGeneration(failure, abandoned, r.tokens, n.world.queue.Now()-r.started)
	r.gate.release(r.ticket, judged.Outcome)
	if judged.AffectsHealth {
		n.state.HandleOutcomes(n.world.clock(), []nodestate.CallOutcome{outcomeOf(r.ticket.Replica, judged)})
		n.carryOut()
	}
}

func (r *homeRun) finish(failure *port.Error) {
	r.ended = true
	r.sink.ended(failure)
}

// stop ends the run because its asker is gone; nothing is told any more.
func (r *homeRun) stop() {
	if r.ended {
		return
	}
	r.ended = true
	if r.out != nil {
		r.out.close()
		r.release(port.NewError(port.MayHaveRun, port.CodeCancelled, "the asker left"), true)
	} else {
		r.gate.cancel(r.ticket)
	}
	r.sink.ended(port.NewError(port.MayHaveRun, port.CodeCancelled, "the asker left"))
}
