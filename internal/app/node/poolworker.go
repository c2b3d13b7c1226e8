package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Pacing of a pool worker.
const (
	workerTick        = 100 * time.Millisecond
	poolStateInterval = 500 * time.Millisecond
	// poolStatePerHome lengthens the interval of a pool with many homes while no
	// weights are being rolled out, so that a coordinator asks 100 homes a second
	// at most.
	poolStatePerHome = 10 * time.Millisecond
	workerEvents     = 1024
	// leaseMargin is the share of the lease's length that is given up as a margin
	// for the drift of clocks.
	leaseMargin = 10
	// renewals is the number of renewals sent within the lease's length.
	renewals = 3
)

// poolWorker coordinates one pool under its lease. One goroutine, run, owns its
// state; it isn't the node's control goroutine, since a policy program may take
// many milliseconds of a core.
type poolWorker struct {
	node *Node
	pool port.PoolName

	// events brings the outcomes of actions, and closed ends with the worker.
	events chan workerEvent
	closed chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	drains chan struct{}
	once   sync.Once
	// tasks are the goroutines of actions.
	tasks sync.WaitGroup

	epoch       port.Epoch
	leaseUntil  time.Time
	renewing    bool
	nextRenewal time.Time

	// coordinator is nil for an engine pool that feeds no trainer.
	coordinator *coordinator.Coordinator
	sampling    port.Sampling
	policy      string
	weights     port.WeightVersion

	rollouts map[port.PoolName]*rolloutState
	// turn is shared by the rollouts.
	turn   rollout.StagingTurn
	states poolStates

	attempts  map[attemptKey]*sampleRun
	questions map[uint64]chan answer
	tokens    atomic.Uint64
	done      bool
}

// rolloutState is the weights rollout of one sampling pool on the engines.
type rolloutState struct {
	machine *rollout.Rollout
	weights port.WeightVersion
	out     map[port.ReplicaID]bool
}

// workerEvent is something that the worker's goroutine takes in.
type workerEvent interface {
	apply(worker *poolWorker, now time.Time)
}

func newPoolWorker(node *Node, pool port.PoolName) *poolWorker {
	ctx, cancel := context.WithCancel(node.background)
	return &poolWorker{
		node:      node,
		pool:      pool,
		events:    make(chan workerEvent, workerEvents),
		closed:    make(chan struct{}),
		ctx:       ctx,
		cancel:    cancel,
		drains:    make(chan struct{}),
		rollouts:  make(map[port.PoolName]*rolloutState),
		attempts:  make(map[attemptKey]*sampleRun),
		questions: make(map[uint64]chan answer),
	}
}

// run acquires the lease, and coordinates until it is lost or given back.
func (w *poolWorker) run() {
	defer w.end()
	if !w.acquire() || !w.begin() {
		return
	}
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	drains := w.drains
	for !w.done {
		select {
		case next := <-w.events:
			next.apply(w, time.Now())
		case now := <-ticker.C:
			w.tick(now)
		case <-drains:
			drains = nil
			w.startDrain(time.Now())
		case <-w.ctx.Done():
			w.lose(time.Now())
		}
	}
}

// end answers what is left and cancels what runs.
func (w *poolWorker) end() {
	w.cancel()
	close(w.closed)
	w.tasks.Wait()
	for token, question := range w.questions {
		question <- answer{err: notCoordinator(w.pool)}
		delete(w.questions, token)
	}
}

// post hands the outcome of an action to the worker's goroutine.
func (w *poolWorker) post(next workerEvent) {
	select {
	case w.events <- next:
	case <-w.closed:
	}
}

// begin makes the state machines from the ledger and the view.
func (w *poolWorker) begin() bool {
	view := w.node.snapshot.Load().view
	pool, found := viewPool(view, w.pool)
	if !found {
		return false
	}
	w.updateRollouts(view, time.Now())
	if pool.Sampling == nil {
		return true
	}
	state, failure := w.readLedger(w.ctx)
	if failure != nil {
		return false
	}
	made, err := coordinator.New(coordinator.Config{
		Pool:       w.pool,
		Sampling:   *pool.Sampling,
		Epoch:      w.epoch,
		Node:       w.node.config.ID,
		LeaseUntil: w.leaseUntil,
		Ledger:     state,
		Weights:    viewWeights(view, w.pool),
		Program:    w.compile(pool.Sampling.Policy),
		Seed:       w.node.config.Seed ^ uint64(w.epoch),
	})
	if err != nil {
		w.node.config.Logger.Error().Str("pool", string(w.pool)).Err(err).Msg("coordinator can't start")
		return false
	}
	w.coordinator = made
	w.sampling = *pool.Sampling
	w.weights = viewWeights(view, w.pool).Version
	return true
}

// compile gives the pool's program, or nil, which leaves the one in force.
func (w *poolWorker) compile(source string) *policy.Program {
	w.policy = source
	program, err := policy.Compile(source)
	if err != nil {
		w.node.config.Logger.Error().Str("pool", string(w.pool)).Err(err).Msg("policy program refused")
		return nil
	}
	return program
}

func (w *poolWorker) tick(now time.Time) {
	w.renew(now)
	if w.done {
		return
	}
	w.followView(now)
	w.pollStates(now)
	w.step(now, coordinator.Tick{})
	for pool, state := range w.rollouts {
		w.stepRollout(now, pool, state, rollout.Tick{})
	}
}

// step hands an event to the coordinator and carries its actions out.
func (w *poolWorker) step(now time.Time, event coordinator.Event) {
	if w.coordinator == nil {
		return
	}
	for _, action := range w.coordinator.Step(now, event) {
		w.carryOut(action)
	}
}

// followView takes over what changed in the view.
func (w *poolWorker) followView(now time.Time) {
	view := w.node.snapshot.Load().view
	w.updateRollouts(view, now)
	pool, found := viewPool(view, w.pool)
	if !found || (pool.Sampling == nil) != (w.coordinator == nil) {
		w.releaseLease(now)
		return
	}
	if w.coordinator == nil {
		return
	}
	if weights := viewWeights(view, w.pool); weights.Version > w.weights {
		w.weights = weights.Version
		w.step(now, coordinator.WeightsPublished{Weights: weights})
	}
	if *pool.Sampling != w.sampling {
		w.sampling = *pool.Sampling
		changed := coordinator.SettingsChanged{Sampling: w.sampling}
		if w.sampling.Policy != w.policy {
			changed.Program = w.compile(w.sampling.Policy)
		}
		w.step(now, changed)
	}
}

// drain asks the worker to give its lease back.
func (w *poolWorker) drain() { w.once.Do(func() { close(w.drains) }) }

func (w *poolWorker) startDrain(now time.Time) {
	if w.coordinator == nil {
		w.releaseLease(now)
		return
	}
	w.step(now, coordinator.Drain{})
}

// lose stops at once: the lease ran out or belongs to someone else.
func (w *poolWorker) lose(now time.Time) {
	w.step(now, coordinator.LeaseLost{})
	w.done = true
}
