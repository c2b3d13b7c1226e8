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

// poolWorker coordinates one pool under its lease. One goroutine, run, owns its state.
// It is separate from the node's control goroutine, since a policy program may use many
// milliseconds of CPU time.
type poolWorker struct {
	node    *Node
	pool    port.PoolName
	machine *poolworker.Worker

	// events carries the outcomes of actions; closed is closed when the worker ends.
	events         chan workerEvent
	closed         chan struct{}
	ctx            context.Context
	cancel         context.CancelFunc
	drainRequested chan struct{}
	drainOnce      sync.Once
	// tasks counts the goroutines of actions.
	tasks sync.WaitGroup

	attempts        map[attemptKey]*sampleRun
	pendingRequests map[uint64]chan batchReply
	tokens          atomic.Uint64
}

// workerEvent is an input of the worker's goroutine.
type workerEvent interface {
	apply(worker *poolWorker, now time.Time)
}

func newPoolWorker(node *Node, pool port.PoolName) *poolWorker {
	ctx, cancel := context.WithCancel(node.background)
	return &poolWorker{
		node:            node,
		pool:            pool,
		events:          make(chan workerEvent, workerEvents),
		closed:          make(chan struct{}),
		ctx:             ctx,
		cancel:          cancel,
		drainRequested:  make(chan struct{}),
		attempts:        make(map[attemptKey]*sampleRun),
		pendingRequests: make(map[uint64]chan batchReply),
	}
}

// view returns the node's current view.
func (w *poolWorker) view() *port.View { return w.node.snapshot.Load().View }

// run acquires the lease, and coordinates until the lease is lost or released.
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
	drainRequested := w.drainRequested
	for !machine.Ended() {
		select {
		case next := <-w.events:
			next.apply(w, time.Now())
		case now := <-ticker.C:
			w.carryOut(machine.Tick(now, w.view()))
		case <-drainRequested:
			drainRequested = nil
			w.carryOut(machine.Drain(time.Now()))
		case <-w.ctx.Done():
			w.carryOut(machine.Stop(time.Now()))
		}
	}
}

// end cancels the running actions and answers the pending requests.
func (w *poolWorker) end() {
	w.cancel()
	close(w.closed)
	w.tasks.Wait()
	for token, reply := range w.pendingRequests {
		reply <- batchReply{err: noCoordinatorError(w.pool)}
		delete(w.pendingRequests, token)
	}
}

// post queues the outcome of an action for the worker's goroutine.
func (w *poolWorker) post(next workerEvent) {
	select {
	case w.events <- next:
	case <-w.closed:
	}
}

// drain makes the worker release its lease and end.
func (w *poolWorker) drain() { w.drainOnce.Do(func() { close(w.drainRequested) }) }
