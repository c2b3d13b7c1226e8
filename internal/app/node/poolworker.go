package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/port"
)

const (
	workerTick   = 100 * time.Millisecond
	workerEvents = 1024
)

// poolWorker coordinates one pool under its lease. One goroutine, run, owns its
// state; it isn't the node's control goroutine, since a policy program may take
// many milliseconds of a core.
type poolWorker struct {
	node    *Node
	pool    port.PoolName
	machine *poolworker.Worker

	// events brings the outcomes of actions, and closed ends with the worker.
	events chan workerEvent
	closed chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	drains chan struct{}
	once   sync.Once
	// tasks are the goroutines of actions.
	tasks sync.WaitGroup

	attempts  map[attemptKey]*sampleRun
	questions map[uint64]chan answer
	tokens    atomic.Uint64
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
		attempts:  make(map[attemptKey]*sampleRun),
		questions: make(map[uint64]chan answer),
	}
}

// view gives the node's present view.
func (w *poolWorker) view() *port.View { return w.node.snapshot.Load().View }

// run acquires the lease, and coordinates until it is lost or given back.
func (w *poolWorker) run() {
	defer w.end()
	intervals := &w.node.config.Intervals
	machine, actions := poolworker.New(poolworker.Config{
		Pool: w.pool, Node: w.node.config.ID, Seed: w.node.config.Seed,
		Lease: intervals.CoordinatorLease, CallTimeout: intervals.CallTimeout,
	}, time.Now(), w.view())
	w.machine = machine
	w.carryOut(actions)
	ticker := time.NewTicker(workerTick)
	defer ticker.Stop()
	drains := w.drains
	for !machine.Ended() {
		select {
		case next := <-w.events:
			next.apply(w, time.Now())
		case now := <-ticker.C:
			w.carryOut(machine.Tick(now, w.view()))
		case <-drains:
			drains = nil
			w.carryOut(machine.Drain(time.Now()))
		case <-w.ctx.Done():
			w.carryOut(machine.Stop(time.Now()))
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

// drain asks the worker to give its lease back.
func (w *poolWorker) drain() { w.once.Do(func() { close(w.drains) }) }
