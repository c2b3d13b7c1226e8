package fault

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/attempt"
	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/core/prefix"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing of the workers.
const (
	workerTick       = 100 * time.Millisecond
	leaseInterval    = 200 * time.Millisecond
	coordinatorLease = 6 * time.Second
	sampleDeadline   = time.Hour
	progressInterval = time.Second
	orderTimeout     = 15 * time.Second
	blockBytes       = 64
)

// worker runs a pool's worker at a node.
type worker struct {
	node          *node
	pool          port.PoolName
	machine       *poolworker.Worker
	attempts      map[attemptKey]*generation
	batchRequests map[uint64]func(*coordinator.Deliver, *port.Error)
	lastToken     uint64
	closed        bool
}

type attemptKey struct {
	id      port.SampleID
	attempt uint32
}

// acquireLeases starts workers for the leases that this node may acquire.
func (n *node) acquireLeases() {
	if !n.confirmed() || n.draining {
		return
	}
	running := func(pool port.PoolName) bool { return n.workers[pool] != nil }
	for _, pool := range n.leaseSelector.Acquirable(n.world.clock(), n.snapshot.View, running) {
		w := &worker{
			node: n, pool: pool, attempts: make(map[attemptKey]*generation),
			batchRequests: make(map[uint64]func(*coordinator.Deliver, *port.Error)),
		}
		n.workers[pool] = w
		machine, actions := poolworker.New(poolworker.Config{
			Pool: pool, Node: n.id, Seed: n.world.options.Seed, Lease: coordinatorLease, CallTimeout: callTimeout,
		}, n.world.clock(), n.snapshot.View)
		w.machine = machine
		w.carryOut(actions)
	}
}

func (n *node) workerPools() []port.PoolName { return slices.Sorted(maps.Keys(n.workers)) }

func (n *node) tickWorkers() {
	for _, pool := range n.workerPools() {
		w := n.workers[pool]
		w.carryOut(w.machine.Tick(n.world.clock(), n.snapshot.View))
	}
}

// handleEvent passes an event to the coordinator.
func (w *worker) handleEvent(event coordinator.Event) {
	w.carryOut(w.machine.Coordinator(w.node.world.clock(), event))
}

func (w *worker) carryOut(actions []poolworker.Action) {
	for _, action := range actions {
		w.node.world.step(w.node, action)
		if !w.node.up {
			return // killed in the middle of a step
		}
		switch action := action.(type) {
		case poolworker.Propose:
			w.node.world.control.propose(&w.node.process, action.Command, action.Timeout, func(result port.Result, failure *port.Error) {
				w.carryOut(w.machine.ProposalAnswered(w.node.world.clock(), action.Token, result, failure))
			})
		case poolworker.PollHomes:
			w.pollHomes(action)
		case poolworker.Order:
			w.order(action)
		case poolworker.CoordinatorAction:
			w.coordinate(action)
		case poolworker.Record:
			w.node.world.recordDecision(w.node, action.Decision)
		case poolworker.PolicyRejected:
			w.node.world.fail("policy rejected: %v", action.Err)
		case poolworker.Ended:
			w.ended()
		}
	}
}

// ended cancels the worker's requests and removes it.
func (w *worker) ended() {
	if w.closed {
		return
	}
	w.closed = true
	for _, key := range w.attemptKeys() {
		if run := w.attempts[key]; run != nil {
			run.cancel()
		}
	}
	for _, token := range slices.Sorted(maps.Keys(w.batchRequests)) {
		w.answer(token, nil, notCoordinator())
	}
	n := w.node
	n.later(0, func() {
		delete(n.workers, w.pool)
		n.leaseSelector.WorkerEnded(n.world.clock(), w.pool)
		n.stopIfIdle()
	})
}

func (w *worker) attemptKeys() []attemptKey {
	return slices.SortedFunc(maps.Keys(w.attempts), func(a, b attemptKey) int {
		if a.id != b.id {
			return compareSamples(a.id, b.id)
		}
		return int(a.attempt) - int(b.attempt)
	})
}

func notCoordinator() *port.Error {
	return port.NewError(port.NotRun, port.CodeUnavailable, "the pool has no coordinator at this moment")
}

// coordinate executes an action of the coordinator.
func (w *worker) coordinate(action poolworker.CoordinatorAction) {
	switch action := action.Action.(type) {
	case coordinator.FetchPrompts:
		w.fetch(action)
	case coordinator.StartSample:
		w.start(action)
	case coordinator.CancelSample:
		if run := w.attempts[attemptKey{action.ID, action.Attempt}]; run != nil {
			run.cancel()
		}
	case coordinator.ScoreSample:
		w.score(action)
	case coordinator.Deliver:
		w.answer(action.Token, &action, nil)
	case coordinator.Refuse:
		w.answer(action.Token, nil, action.Err)
	}
}

// answer answers a batch request once.
func (w *worker) answer(token uint64, batch *coordinator.Deliver, failure *port.Error) {
	if reply := w.batchRequests[token]; reply != nil {
		delete(w.batchRequests, token)
		reply(batch, failure)
	}
}

func (w *worker) fetch(action coordinator.FetchPrompts) {
	world, n := w.node.world, w.node
	world.dial(&n.process, &world.prompts, func(s *stream) {
		prompts := world.promptsFrom(action.From, action.Count)
		s.answer(true, func() { w.handleEvent(coordinator.PromptsArrived{From: action.From, Prompts: prompts}) })
	}, func(failure *port.Error) { w.handleEvent(coordinator.PromptsFailed{From: action.From, Err: failure}) })
}

func (w *worker) score(action coordinator.ScoreSample) {
	world, n := w.node.world, w.node
	failed := func(failure *port.Error) { w.handleEvent(coordinator.ScoreFailed{ID: action.ID, Err: failure}) }
	world.dial(&n.process, &world.scorer.process, func(s *stream) {
		world.scorer.score(s, func() { w.handleEvent(coordinator.Scored{ID: action.ID, Reward: 1}) }, failed)
	}, failed)
}

// start starts one attempt at a sample through the node's request path.
func (w *worker) start(action coordinator.StartSample) {
	n := w.node
	key := attemptKey{action.ID, action.Attempt}
	run := &sampleRun{worker: w, action: action}
	pool := n.snapshot.Pools[w.pool]
	if pool == nil || !n.confirmed() {
		n.later(0, func() {
			run.ended(port.NewError(port.NotRun, port.CodeUnconfirmed, "the configuration is not confirmed"))
		})
		return
	}
	request := port.GenerateRequest{
		ID:   port.RequestID(fmt.Sprintf("%s.%d", action.ID, action.Attempt)),
		Pool: w.pool, Prompt: action.Prompt.Text, PromptTokens: action.Prompt.Tokens, MaxTokens: action.MaxTokens,
		Priority: action.Priority, Seed: action.Seed, Resume: action.Resume, ResumeTokens: action.ResumeTokens,
		MinVersion: action.MinVersion, Safe: true, PrefixHashes: prefix.HashBlocks(action.Prompt.Text, blockBytes),
	}
	rules := attempt.Rules{Safe: true, CallerRetries: true, MaxTokens: action.MaxTokens, Deadline: n.world.clock().Add(sampleDeadline)}
	g := n.generate(request, rules, &pool.Pool, sink{
		placed: func(id port.ReplicaID) { run.replica = id }, chunk: run.chunk, ended: run.ended,
	})
	g.zones, g.exclude, g.avoid = action.Zones, action.Exclude, action.Avoid
	w.attempts[key] = g
	g.attempt()
}

// sampleRun accumulates the output of an attempt at a sample.
type sampleRun struct {
	worker     *worker
	action     coordinator.StartSample
	replica    port.ReplicaID
	text       []byte
	tokens     int
	spans      []port.Span
	progressAt time.Duration
}

func (r *sampleRun) chunk(chunk port.GenerateChunk) {
	r.text = append(r.text, chunk.Text...)
	r.tokens += chunk.Tokens
	if chunk.Tokens > 0 {
		r.spans = port.AppendTokens(r.spans, chunk.Version, chunk.Tokens)
	}
	if now := r.worker.node.world.queue.Now(); now-r.progressAt >= progressInterval {
		r.progressAt = now
		r.worker.handleEvent(coordinator.SampleProgress{
			ID: r.action.ID, Attempt: r.action.Attempt, Replica: r.replica, Tokens: r.tokens, Spans: slices.Clone(r.spans),
		})
	}
}

func (r *sampleRun) ended(failure *port.Error) {
	delete(r.worker.attempts, attemptKey{r.action.ID, r.action.Attempt})
	if failure != nil {
		r.worker.handleEvent(coordinator.SampleFailed{
			ID: r.action.ID, Attempt: r.action.Attempt, Replica: r.replica, Err: failure,
			Text: string(r.text), Tokens: r.tokens, Spans: r.spans,
		})
		return
	}
	r.worker.handleEvent(coordinator.SampleFinished{
		ID: r.action.ID, Attempt: r.action.Attempt, Replica: r.replica,
		Text: string(r.text), Tokens: r.tokens, Spans: r.spans,
	})
}

// pollHomes polls the replica states of the pool from every home node.
func (w *worker) pollHomes(action poolworker.PollHomes) {
	n := w.node
	call := nodestate.PoolStateCall{Pool: action.Pool, Fence: action.Fence, Excluded: action.Excluded}
	byReplica := make(map[port.ReplicaID]nodestate.ReplicaState)
	homes := make(map[port.NodeID]bool)
	for _, id := range slices.Sorted(maps.Keys(n.snapshot.Replicas)) {
		if n.snapshot.Replicas[id].Pool != action.Pool {
			continue
		}
		byReplica[id] = nodestate.ReplicaState{Replica: id}
		if home, found := n.snapshot.HomeOf(id); found {
			homes[home.ID] = true
		}
	}
	pending := len(homes)
	answered := func(states []nodestate.ReplicaState) {
		for _, state := range states {
			if _, listed := byReplica[state.Replica]; listed {
				byReplica[state.Replica] = state
			}
		}
		pending--
		if pending == 0 {
			w.homesPolled(byReplica)
		}
	}
	if pending == 0 {
		n.later(0, func() { w.homesPolled(byReplica) })
	}
	for _, id := range slices.Sorted(maps.Keys(homes)) {
		w.pollHome(n.world.node(id), call, answered)
	}
}

func (w *worker) homesPolled(byReplica map[port.ReplicaID]nodestate.ReplicaState) {
	states := make([]nodestate.ReplicaState, 0, len(byReplica))
	for _, id := range slices.Sorted(maps.Keys(byReplica)) {
		states = append(states, byReplica[id])
	}
	w.carryOut(w.machine.StatesPolled(w.node.world.clock(), states))
}

func (w *worker) pollHome(target *node, call nodestate.PoolStateCall, answered func([]nodestate.ReplicaState)) {
	n := w.node
	done := false
	handle := func(states []nodestate.ReplicaState) {
		if !done {
			done = true
			answered(states)
		}
	}
	serve := func() []nodestate.ReplicaState {
		now := n.world.clock()
		states := target.state.PoolState(now, call).Replicas
		target.state.RebuildIfDue(now)
		target.carryOut()
		return states
	}
	if target == n {
		n.later(0, func() { handle(serve()) })
		return
	}
	s := n.world.dial(&n.process, &target.process, func(s *stream) {
		states := serve()
		s.answer(true, func() { handle(states) })
	}, func(*port.Error) { handle(nil) })
	n.later(callTimeout, func() {
		s.close()
		handle(nil)
	})
}

// order sends an order to the engine through the replica's home node.
func (w *worker) order(action poolworker.Order) {
	n := w.node
	done := false
	handle := func(report port.LoadReport, failure *port.Error) {
		if !done {
			done = true
			w.carryOut(w.machine.OrderAnswered(n.world.clock(), action.Rollout, rollout.OrderAnswered{
				Replica: action.Send.Replica, Order: action.Send.Order, Report: report, Err: failure,
			}))
		}
	}
	home, found := n.snapshot.HomeOf(action.Send.Replica)
	if !found || !n.confirmed() {
		n.later(0, func() {
			handle(port.LoadReport{}, port.NewError(port.NotRun, port.CodeUnavailable, "no home or no confirmed configuration"))
		})
		return
	}
	target := n.world.node(home.ID)
	n.later(orderTimeout, func() { handle(port.LoadReport{}, connectionLost()) })
	if target == n {
		n.serveOrder(action.Send, handle)
		return
	}
	n.world.dial(&n.process, &target.process, func(s *stream) {
		target.serveOrder(action.Send, func(report port.LoadReport, failure *port.Error) {
			s.answer(true, func() { handle(report, failure) })
		})
	}, func(failure *port.Error) { handle(port.LoadReport{}, failure) })
}

// serveOrder sends an order to an engine and applies the load report in its answer.
func (n *node) serveOrder(send rollout.SendOrder, handle func(port.LoadReport, *port.Error)) {
	replica, configured := n.snapshot.Replicas[send.Replica]
	if !configured {
		n.later(0, func() { handle(port.LoadReport{}, port.NewError(port.NotRun, port.CodeNotFound, "no such replica")) })
		return
	}
	sentAt := n.world.clock()
	target := n.world.engineAt(replica.Address)
	n.world.dial(&n.process, &target.process, func(s *stream) {
		report, failure := target.order(send.Order)
		s.answer(true, func() {
			if failure == nil {
				n.handleLoadReport(sentAt, send.Replica, report, nil)
			}
			handle(report, failure)
		})
	}, func(failure *port.Error) { handle(port.LoadReport{}, failure) })
}
