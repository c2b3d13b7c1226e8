package poolworker

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Config configures a worker.
type Config struct {
	Pool port.PoolName
	Node port.NodeID
	Seed uint64
	// Lease is the duration of the lease. CallTimeout is the timeout of a proposal
	// other than a commit.
	Lease       time.Duration
	CallTimeout time.Duration
}

// phase is the state of a worker.
type phase uint8

const (
	phaseAcquiring phase = iota
	phaseReading
	phaseRunning
	phaseEnded
)

// Worker coordinates one pool. It is not safe for concurrent use.
type Worker struct {
	config  Config
	phase   phase
	view    *port.View
	actions []Action

	token uint64
	// proposals holds the callback of each pending proposal by token.
	proposals map[uint64]func(now time.Time, result port.Result, failure *port.Error)

	epoch       port.Epoch
	leaseUntil  time.Time
	renewing    bool
	nextRenewal time.Time
	draining    bool

	// coordinator is nil for an engine pool that feeds no trainer.
	coordinator *coordinator.Coordinator
	sampling    port.Sampling
	policy      string
	weights     port.WeightVersion

	rollouts map[port.PoolName]*rolloutState
	// stagingLock is shared by all rollouts.
	stagingLock rollout.StagingLock
	polling     bool
	nextPoll    time.Time
	// replicas is the number of replicas in the last poll.
	replicas int
}

// New returns a worker and its first actions.
func New(config Config, now time.Time, view *port.View) (*Worker, []Action) {
	w := &Worker{
		config:    config,
		view:      view,
		proposals: make(map[uint64]func(time.Time, port.Result, *port.Error)),
		rollouts:  make(map[port.PoolName]*rolloutState),
	}
	w.acquire(now)
	return w, w.flush()
}

// Epoch returns the epoch of the lease; 0 until the lease is granted.
func (w *Worker) Epoch() port.Epoch { return w.epoch }

// Running reports whether the worker coordinates the pool.
func (w *Worker) Running() bool { return w.phase == phaseRunning }

// Ended reports whether the worker ended.
func (w *Worker) Ended() bool { return w.phase == phaseEnded }

// Tick advances the time and updates the view. Call it about every 100 ms.
func (w *Worker) Tick(now time.Time, view *port.View) []Action {
	w.view = view
	if w.phase != phaseRunning {
		return w.flush()
	}
	w.renew(now)
	if w.phase == phaseRunning {
		w.followView(now)
	}
	if w.phase == phaseRunning {
		w.pollHomes(now)
		w.step(now, coordinator.Tick{})
		for _, pool := range sortedPools(w.rollouts) {
			w.stepRollout(now, pool, rollout.Tick{})
		}
	}
	return w.flush()
}

// requestRetryAfter is the RetryAfter of a batch request rejected for lack of a
// coordinator.
const requestRetryAfter = 500 * time.Millisecond

// Coordinator passes an event to the coordinator. While there is none, it rejects batch
// requests immediately.
func (w *Worker) Coordinator(now time.Time, event coordinator.Event) []Action {
	if w.phase == phaseRunning && w.coordinator != nil {
		w.step(now, event)
	} else if request, isRequest := event.(coordinator.BatchRequested); isRequest {
		w.refuse(request.Token)
	}
	return w.flush()
}

func (w *Worker) refuse(token uint64) {
	refusal := port.NewError(port.NotRun, port.CodeUnavailable, "pool %s has no coordinator at this moment", w.config.Pool)
	refusal.RetryAfter = requestRetryAfter
	w.emit(CoordinatorAction{Action: coordinator.Refuse{Token: token, Err: refusal}})
}

// ProposalAnswered handles the result of a Propose.
func (w *Worker) ProposalAnswered(now time.Time, token uint64, result port.Result, failure *port.Error) []Action {
	if done := w.proposals[token]; done != nil {
		delete(w.proposals, token)
		done(now, result, failure)
	}
	return w.flush()
}

// Drain starts a graceful stop: the worker starts nothing new, and releases the lease
// once no commit has an unknown outcome.
func (w *Worker) Drain(now time.Time) []Action {
	w.draining = true
	switch {
	case w.phase == phaseEnded:
	case w.phase != phaseRunning || w.coordinator == nil:
		w.release(now)
	default:
		w.step(now, coordinator.Drain{})
	}
	return w.flush()
}

// Stop ends the worker immediately.
func (w *Worker) Stop(now time.Time) []Action {
	w.end(now, nil)
	return w.flush()
}

// start creates the rollouts and the coordinator from the ledger and the view.
func (w *Worker) start(now time.Time, state *port.LedgerState) {
	pool := findPool(w.view, w.config.Pool)
	if pool == nil {
		w.release(now)
		return
	}
	w.phase = phaseRunning
	w.updateRollouts(now)
	if pool.Sampling == nil {
		return
	}
	weights := weightsOf(w.view, w.config.Pool)
	created, err := coordinator.New(coordinator.Config{
		Pool: w.config.Pool, Sampling: *pool.Sampling, Epoch: w.epoch, Node: w.config.Node,
		LeaseUntil: w.leaseUntil, Ledger: *state, Weights: weights,
		Program: w.compile(pool.Sampling.Policy), Seed: w.config.Seed ^ uint64(w.epoch),
	})
	if err != nil {
		w.end(now, err)
		return
	}
	w.coordinator = created
	w.sampling = *pool.Sampling
	w.weights = weights.Version
}

// compile returns the compiled program, or nil if it is invalid: the previous one stays in
// use.
func (w *Worker) compile(source string) *policy.Program {
	w.policy = source
	program, err := policy.Compile(source)
	if err != nil {
		w.emit(PolicyRejected{Err: err})
		return nil
	}
	return program
}

// followView applies changes of the view.
func (w *Worker) followView(now time.Time) {
	w.updateRollouts(now)
	pool := findPool(w.view, w.config.Pool)
	if pool == nil || (pool.Sampling == nil) != (w.coordinator == nil) {
		w.release(now)
		return
	}
	if w.coordinator == nil {
		return
	}
	if weights := weightsOf(w.view, w.config.Pool); weights.Version > w.weights {
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

// step passes an event to the coordinator and handles the actions it returns.
func (w *Worker) step(now time.Time, event coordinator.Event) {
	if w.coordinator == nil {
		return
	}
	for _, action := range w.coordinator.Step(now, event) {
		w.dispatch(now, action)
	}
}

// dispatch converts an action of the coordinator into actions of the worker.
func (w *Worker) dispatch(now time.Time, action coordinator.Action) {
	switch action := action.(type) {
	case coordinator.Commit:
		w.commit(action)
	case coordinator.ReadLedger:
		w.readLedger(func(now time.Time, state *port.LedgerState, failure *port.Error) {
			read := coordinator.LedgerRead{Err: failure}
			if state != nil {
				read.State = *state
			}
			w.step(now, read)
		})
	case coordinator.Record:
		w.emit(Record{Decision: action.Decision})
	case coordinator.Drained:
		w.release(now)
	default:
		w.emit(CoordinatorAction{Action: action, Sampling: w.sampling})
	}
}

func (w *Worker) commit(action coordinator.Commit) {
	batch := action.Batch
	command := port.Command{ChangeID: action.ChangeID, CommitBatch: &batch}
	w.propose(command, coordinator.DefaultTimeouts().Commit, func(now time.Time, result port.Result, failure *port.Error) {
		w.step(now, coordinator.CommitAnswered{
			ChangeID: action.ChangeID, Number: batch.Number, Attempt: batch.Attempt, Result: result, Err: failure,
		})
	})
}

func (w *Worker) propose(command port.Command, timeout time.Duration, done func(time.Time, port.Result, *port.Error)) {
	w.token++
	if done != nil {
		w.proposals[w.token] = done
	}
	w.emit(Propose{Token: w.token, Command: command, Timeout: timeout})
}

func (w *Worker) emit(action Action) { w.actions = append(w.actions, action) }

// flush returns the pending actions and clears them.
func (w *Worker) flush() []Action {
	actions := w.actions
	w.actions = nil
	return actions
}
