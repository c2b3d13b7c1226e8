package fault

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/attempt"
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
	// deadline is when the caller's request expires.
	deadline time.Time

	// attempts numbers the attempts; events of earlier ones are ignored.
	attempts int
	replica  port.ReplicaID
	counted  *counter
	// stop cancels the current attempt; nil if there is none.
	stop func()
}

// sink receives the events of a completion.
type sink struct {
	placed func(port.ReplicaID)
	chunk  func(port.GenerateChunk)
	// ended is called once, with nil after success.
	ended func(*port.Error)
}

// generate returns a generation that its attempt method starts.
func (n *node) generate(request port.GenerateRequest, rules attempt.Rules, pool *port.Pool, to sink) *generation {
	g := &generation{node: n, request: request, pool: pool, sink: to, deadline: rules.Deadline, loop: attempt.New(rules)}
	n.later(rules.Deadline.Sub(n.world.clock()), g.expire)
	return g
}

// attempt starts the next attempt.
func (g *generation) attempt() {
	g.attempts++
	g.loop.Begin()
	number := g.attempts
	target, replica, refusal := g.choose()
	if refusal != nil {
		g.failed(attempt.Failure{Error: refusal, Local: true})
		return
	}
	call := homeCall{Request: g.nextRequest(), Attempt: g.loop.Attempts(), Exclude: g.exclude, Avoid: g.avoid, Deadline: g.deadline}
	if call.Avoid == "" {
		call.Avoid = g.loop.LastFailedReplica()
	}
	call.Request.Replica = replica
	g.replica = replica
	g.countSent(replica)
	current := func() bool { return !g.ended && g.attempts == number }
	g.stop = g.node.serveOrDial(target, call, sink{
		placed: func(id port.ReplicaID) {
			if current() {
				g.placed(id)
			}
		},
		chunk: func(chunk port.GenerateChunk) {
			if current() {
				g.loop.AddChunk(chunk)
				g.sink.chunk(chunk)
			}
		},
		ended: func(failure *port.Error) {
			if current() {
				g.attemptEnded(failure)
			}
		},
	})
}

// nextRequest returns the request of the next attempt.
func (g *generation) nextRequest() port.GenerateRequest {
	if g.node.world.without(SafeguardResume) {
		return g.request
	}
	return g.loop.Continue(g.request)
}

// countSent counts an attempt sent to a replica.
func (g *generation) countSent(id port.ReplicaID) {
	g.countFinished()
	if id != "" {
		g.counted = g.node.replicaCounter(id)
		g.counted.sent++
	}
}

func (g *generation) placed(id port.ReplicaID) {
	g.replica = id
	g.countSent(id)
	if g.sink.placed != nil {
		g.sink.placed(id)
	}
}

func (g *generation) countFinished() {
	if g.counted != nil {
		g.counted.finished++
		g.counted = nil
	}
}

// choose picks the node for the attempt, and the replica if it is in this zone.
func (g *generation) choose() (*node, port.ReplicaID, *port.Error) {
	n := g.node
	route := n.snapshot.Pools[g.request.Pool]
	if route == nil {
		return nil, "", placement.NoReplica(nil)
	}
	target, replica, free, refusal := g.chooseLocal(route)
	capacities := make([]placement.ZoneCapacity, len(route.OtherZones))
	for index := range route.OtherZones {
		otherZone := &route.OtherZones[index]
		allowed := len(g.zones) == 0 || slices.Contains(g.zones, otherZone.Aggregate.Zone)
		if allowed && len(otherZone.Nodes) > 0 {
			capacities[index] = placement.ZoneCapacity{Routable: otherZone.Aggregate.Routable, FreePerReplica: otherZone.FreePerReplica()}
		}
	}
	if position, better := n.chooser.Zone(capacities, free, refusal != nil); better {
		otherZone := &route.OtherZones[position]
		otherZone.Counter.(*counter).sent++
		address := otherZone.Nodes[n.chooser.Draw(len(otherZone.Nodes))]
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
		candidates[index] = route.Zone[index].CurrentCandidate(now)
	}
	tried := g.loop.FailedReplicas()
	if g.avoid != "" {
		tried = append(slices.Clip(tried), g.avoid)
	}
	chosen, free, refusal := n.chooser.Local(now, scheduling.Request{
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
	return home, candidates[chosen].Replica, free, nil
}

// attemptEnded handles the end of the current attempt.
func (g *generation) attemptEnded(failure *port.Error) {
	g.stop = nil
	g.countFinished()
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
	case attempt.Retry:
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
	g.countFinished()
	g.sink.ended(failure)
}

// expire ends the completion at its deadline.
func (g *generation) expire() {
	g.giveUp(port.NewError(port.MayHaveRun, port.CodeDeadline, "the deadline passed"))
}

// cancel ends the completion when its caller cancels it.
func (g *generation) cancel() {
	g.giveUp(port.NewError(port.MayHaveRun, port.CodeCancelled, "the caller cancelled the request"))
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
