package poolworker

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Config says whose worker it is.
type Config struct {
	Pool port.PoolName
	Node port.NodeID
	Seed uint64
	// Lease is the length of the lease, CallTimeout bounds one proposal that
	// isn't a commit.
	Lease       time.Duration
	CallTimeout time.Duration
}

// phase is how far a worker has come.
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
	// proposals tells what is done with the answer to each.
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
	// turn is shared by the rollouts.
	turn     rollout.StagingTurn
	polling  bool
	nextPoll time.Time
	// replicas is the number of replicas that the last poll told of.
	replicas int
}

// New makes a worker and gives its first actions.
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

// Epoch gives that of the lease; 0 before there is one.
func (w *Worker) Epoch() port.Epoch { return w.epoch }

// Running says whether the worker coordinates the pool now.
func (w *Worker) Running() bool { return w.phase == phaseRunning }

// Ended says whether the worker is done.
func (w *Worker) Ended() bool { return w.phase == phaseEnded }

// Tick lets time pass under the present view. Call it every 100 ms or so.
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

// retryQuestion is the advised wait of a trainer whose question came before the
// coordinator was there.
const retryQuestion = 500 * time.Millisecond

// Coordinator hands an event to the coordinator. While there is none, as before
// the lease is acquired, a trainer's question is refused at once.
func (w *Worker) Coordinator(now time.Time, event coordinator.Event) []Action {
	if w.phase == phaseRunning && w.coordinator != nil {
		w.step(now, event)
	} else if asked, isQuestion := event.(coordinator.BatchRequested); isQuestion {
		w.refuse(asked.Token)
	}
	return w.flush()
}

func (w *Worker) refuse(token uint64) {
	refusal := port.NewError(port.NotRun, port.CodeUnavailable, "pool %s has no coordinator at this moment", w.config.Pool)
	refusal.RetryAfter = retryQuestion
	w.emit(Coordinate{Action: coordinator.Refuse{Token: token, Err: refusal}})
}

// Answered gives the outcome of a Propose.
func (w *Worker) Answered(now time.Time, token uint64, result port.Result, failure *port.Error) []Action {
	if take := w.proposals[token]; take != nil {
		delete(w.proposals, token)
		take(now, result, failure)
	}
	return w.flush()
}

// Drain prepares a planned stop: nothing new is started, and the lease is given
// back once nothing is in doubt.
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

// Stop ends the worker at once, as when its node dies in order.
func (w *Worker) Stop(now time.Time) []Action {
	w.lose(now, nil)
	return w.flush()
}

// begin makes the state machines from the ledger and the view.
func (w *Worker) begin(now time.Time, state *port.LedgerState) {
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
	made, err := coordinator.New(coordinator.Config{
		Pool: w.config.Pool, Sampling: *pool.Sampling, Epoch: w.epoch, Node: w.config.Node,
		LeaseUntil: w.leaseUntil, Ledger: *state, Weights: weights,
		Program: w.compile(pool.Sampling.Policy), Seed: w.config.Seed ^ uint64(w.epoch),
	})
	if err != nil {
		w.lose(now, err)
		return
	}
	w.coordinator = made
	w.sampling = *pool.Sampling
	w.weights = weights.Version
}

// compile gives the pool's program, or nil, which leaves the one in force.
func (w *Worker) compile(source string) *policy.Program {
	w.policy = source
	program, err := policy.Compile(source)
	if err != nil {
		w.emit(PolicyRefused{Err: err})
		return nil
	}
	return program
}

// followView takes over what changed in the view.
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

// step hands an event to the coordinator and takes its actions over.
func (w *Worker) step(now time.Time, event coordinator.Event) {
	if w.coordinator == nil {
		return
	}
	for _, action := range w.coordinator.Step(now, event) {
		w.takeOver(now, action)
	}
}

// takeOver turns an action of the coordinator into those of the worker.
func (w *Worker) takeOver(now time.Time, action coordinator.Action) {
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
		w.emit(Coordinate{Action: action, Sampling: w.sampling})
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

func (w *Worker) propose(command port.Command, timeout time.Duration, take func(time.Time, port.Result, *port.Error)) {
	w.token++
	if take != nil {
		w.proposals[w.token] = take
	}
	w.emit(Propose{Token: w.token, Command: command, Timeout: timeout})
}

func (w *Worker) emit(action Action) { w.actions = append(w.actions, action) }

// flush gives the actions gathered by a call.
func (w *Worker) flush() []Action {
	actions := w.actions
	w.actions = nil
	return actions
}
