package fault

import (
	"fmt"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

// generation is a request for a completion at the node that accepted it.
type generation struct {
	node    *node
	request port.GenerateRequest
	pool    *port.Pool
	zones   []port.ZoneName
	exclude []port.ReplicaID
	avoid   port.ReplicaID
	loop    *attempt.Loop
	sink    sink
	ended   bool
	// deadline is when the caller gives up.
	deadline time.Time

	// attempts numbers the attempts, so that news of an earlier one is told from
	// that of the present one.
	attempts int
	replica  port.ReplicaID
	counted  *counter
	// stop ends the present attempt; nil while there is none.
	stop func()
}

// sink takes what becomes of a completion.
type sink struct {
	placed func(port.ReplicaID)
	chunk  func(port.GenerateChunk)
	// ended is called once; nil means that the completion is whole.
	ended func(*port.Error)
}

// generate begins a completion. Its pool must be configured.
func (n *node) generate(request port.GenerateRequest, rules attempt.Rules, pool *port.Pool, to sink) *generation {
	g := &generation{node: n, request: request, pool: pool, sink: to, deadline: rules.Deadline, loop: attempt.New(rules)}
	n.later(rules.Deadline.Sub(n.world.clock()), g.expire)
	return g
}

// attempt makes one attempt at the place that it chooses.
func (g *generation) attempt() {
	g.attempts++
	g.loop.Begin()
	number := g.attempts
	target, replica, refusal := g.choose()
	if refusal != nil {
		g.failed(attempt.Failure{Error: refusal, Here: true})
		return
	}
	call := homeCall{Request: g.continued(), Attempt: g.loop.Made(), Exclude: g.exclude, Avoid: g.avoid, Deadline: g.deadline}
	if call.Avoid == "" {
		call.Avoid = g.loop.LastTried()
	}
	call.Request.Replica = replica
	g.replica = replica
	g.count(replica)
	present := func() bool { return !g.ended && g.attempts == number }
	g.stop = g.node.serveOrDial(target, call, sink{
		placed: func(id port.ReplicaID) {
			if present() {
				g.placed(id)
			}
		},
		chunk: func(chunk port.GenerateChunk) {
			if present() {
				g.loop.Took(chunk)
				g.sink.chunk(chunk)
			}
		},
		ended: func(failure *port.Error) {
			if present() {
				g.over(failure)
			}
		},
	})
}

// continued gives the request of the next attempt.
func (g *generation) continued() port.GenerateRequest {
	if g.node.world.without(SafeguardResume) {
		return g.request
	}
	return g.loop.Continue(g.request)
}

// count counts the attempt at a replica from when it is sent.
func (g *generation) count(id port.ReplicaID) {
	g.uncount()
	if id != "" {
		g.counted = g.node.replicaCounter(id)
		g.counted.sent++
	}
}

func (g *generation) placed(id port.ReplicaID) {
	g.replica = id
	g.count(id)
	if g.sink.placed != nil {
		g.sink.placed(id)
	}
}

func (g *generation) uncount() {
	if g.counted != nil {
		g.counted.finished++
		g.counted = nil
	}
}

// choose picks the node that gets the attempt, and the replica if it is of the
// own zone.
func (g *generation) choose() (*node, port.ReplicaID, *port.Error) {
	n := g.node
	route := n.snapshot.Pools[g.request.Pool]
	if route == nil {
		return nil, "", placement.NoReplica(nil)
	}
	target, replica, room, refusal := g.chooseLocal(route)
	offers := make([]placement.Offer, len(route.Elsewhere))
	for index := range route.Elsewhere {
		offer := &route.Elsewhere[index]
		allowed := len(g.zones) == 0 || slices.Contains(g.zones, offer.Aggregate.Zone)
		if allowed && len(offer.Nodes) > 0 {
			offers[index] = placement.Offer{Routable: offer.Aggregate.Routable, Room: offer.Room()}
		}
	}
	if position, better := n.chooser.Zone(offers, room, refusal != nil); better {
		offer := &route.Elsewhere[position]
		offer.Counter.(*counter).sent++
		address := offer.Nodes[n.chooser.Draw(len(offer.Nodes))]
		return n.world.node(address.ID), "", nil
	}
	return target, replica, refusal
}

func (g *generation) chooseLocal(route *nodestate.PoolRoute) (*node, port.ReplicaID, float64, *port.Error) {
	n := g.node
	if len(g.zones) > 0 && !slices.Contains(g.zones, n.zone) {
		return nil, "", 0, placement.NoReplica(nil)
	}
	now := n.world.clock()
	candidates := make([]scheduling.Candidate, len(route.Zone))
	for index := range route.Zone {
		candidates[index] = route.Zone[index].Now(now)
	}
	tried := g.loop.Tried()
	if g.avoid != "" {
		tried = append(slices.Clip(tried), g.avoid)
	}
	chosen, room, refusal := n.chooser.Local(now, scheduling.Request{
		Pool: g.request.Pool, Zone: n.zone, Region: "region", Priority: g.request.Priority,
		PromptTokens: g.request.PromptTokens, MaxTokens: g.request.MaxTokens, MinVersion: g.request.MinVersion,
		PrefixHashes: g.request.PrefixHashes, Exclude: g.exclude,
	}, tried, candidates)
	if refusal != nil {
		return nil, "", 0, refusal
	}
	home := n.world.node(candidates[chosen].Home)
	if home == nil {
		return nil, "", 0, placement.NoReplica(nil)
	}
	return home, candidates[chosen].Replica, room, nil
}

// over takes the end of the present attempt.
func (g *generation) over(failure *port.Error) {
	g.stop = nil
	g.uncount()
	if failure != nil {
		g.failed(attempt.Failure{Replica: g.replica, Error: failure})
		return
	}
	g.node.budget(g.pool).Success(g.node.world.clock())
	g.finish(nil)
}

func (g *generation) failed(failure attempt.Failure) {
	step := g.loop.Failed(failure, g.node.decide(g.pool))
	switch step.Kind {
	case attempt.Final:
		g.finish(step.Error)
	case attempt.Complete:
		g.sink.chunk(port.GenerateChunk{Finish: port.FinishLength})
		g.finish(nil)
	case attempt.Again:
		g.node.world.count.retries++
		number := g.attempts
		g.replica = ""
		g.node.later(step.After, func() {
			if !g.ended && g.attempts == number {
				g.attempt()
			}
		})
	}
}

func (g *generation) finish(failure *port.Error) {
	g.ended = true
	g.uncount()
	g.sink.ended(failure)
}

// expire ends the completion at its deadline.
func (g *generation) expire() {
	g.giveUp(port.NewError(port.MayHaveRun, port.CodeDeadline, "the deadline passed"))
}

// cancel ends the completion on its caller's word.
func (g *generation) cancel() {
	g.giveUp(port.NewError(port.MayHaveRun, port.CodeCancelled, "the caller gave up"))
}

func (g *generation) giveUp(cause *port.Error) {
	if g.ended {
		return
	}
	g.attempts++
	if g.stop != nil {
		g.stop()
	} else {
		cause.Verdict = port.NotRun
	}
	step := g.loop.Failed(attempt.Failure{Replica: g.replica, Error: cause}, g.node.decide(g.pool))
	if step.Kind == attempt.Complete {
		g.sink.chunk(port.GenerateChunk{Finish: port.FinishLength})
		g.finish(nil)
		return
	}
	g.finish(step.Error)
}

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
	judged := home.JudgeGeneration(failure, abandoned, r.tokens, n.world.queue.Now()-r.started)
	r.gate.release(r.ticket, judged.Outcome)
	if judged.Counts {
		n.state.Outcomes(n.world.clock(), []nodestate.CallOutcome{outcomeOf(r.ticket.Replica, judged)})
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
