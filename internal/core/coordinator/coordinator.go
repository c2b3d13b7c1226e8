package coordinator

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Coordinator is the state of one pool under one lease epoch. It is not safe
// for concurrent use.
type Coordinator struct {
	config     Config
	timeouts   Timeouts
	leaseUntil time.Time
	lost       bool
	draining   bool
	drained    bool

	// now and actions belong to the current Step.
	now     time.Time
	actions []Action

	version port.WeightVersion
	// versionReadAt is when the last command or read that the log answered was sent.
	// Every publication before it is reflected in version.
	versionReadAt      time.Time
	pendingPublication pendingPublication
	publications       publicationRate
	replicas           replicaLoads
	planning           planning
	prompts            promptQueue
	lengths            lengthDistribution

	// groups holds all groups in progress by prompt; order lists them by creation.
	groups  map[port.PromptIndex]*group
	order   []*group
	samples map[port.SampleID]*sample
	// running counts attempts on replicas, finishedSamples the samples whose text is
	// complete.
	running         int
	finishedSamples int
	sequence        uint64
	// startDue is set when a waiting sample may start before the next tick.
	startDue bool

	ledger           port.LedgerState
	highestRequested port.BatchNumber
	waiters          []waiter
	pending          *pendingCommit
	stored           *storedBatch
	reading          readState
	// commitAfter is the earliest time for the next commit after a failed one.
	commitAfter   time.Time
	commitTries   int
	commitCounter uint64

	counters Counters
}

// Counters count what a coordinator did since it was created.
type Counters struct {
	Started      uint64
	Finished     uint64
	Retried      uint64
	Moved        uint64
	DroppedStale uint64
	Surplus      uint64
	ScoreFailed  uint64
	Committed    uint64
	Voided       uint64
	Delivered    uint64
	Ignored      uint64
}

// Status summarizes a coordinator for operators and experiments.
type Status struct {
	Version   port.WeightVersion
	Running   int
	Scoring   int
	Buffered  int
	Groups    int
	Prompts   int
	Waiters   int
	Committed port.BatchNumber
	Pending   bool
	Lost      bool
	Draining  bool
	Plan      policy.Plan
	// PolicyError is the error of the last policy run; empty if it succeeded.
	PolicyError string
	Counters    Counters
}

// New returns a coordinator that starts from the ledger state in config. The error
// is ErrNoLease or a *port.Error that names the invalid setting.
func New(config Config) (*Coordinator, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	program := config.Program
	if program == nil {
		compiled, err := policy.Compile(policy.Default)
		if err != nil {
			return nil, err
		}
		program = compiled
	}
	c := &Coordinator{
		config:     config,
		timeouts:   config.Timeouts.withDefaults(),
		leaseUntil: config.LeaseUntil,
		version:    config.Weights.Version,
		groups:     make(map[port.PromptIndex]*group),
		samples:    make(map[port.SampleID]*sample),
		planning:   planning{program: program, due: true},
		ledger:     config.Ledger,
	}
	c.prompts = newPromptQueue(config.Ledger)
	c.planning.plan = policy.DefaultPlan(c.policyView())
	return c, nil
}

// Step handles one event and returns the actions to carry out, in order.
func (c *Coordinator) Step(now time.Time, event Event) []Action {
	c.now = now
	c.actions = nil
	if c.lost {
		c.stepLost(event)
		return c.actions
	}
	c.dispatch(event)
	if !c.lost {
		c.serveWaiters()
		c.replan()
		c.startWaiting()
		c.startGroups()
		c.fetchPrompts()
		c.reportDrained()
	}
	return c.actions
}

// dispatch calls the event's handler.
func (c *Coordinator) dispatch(event Event) {
	switch event := event.(type) {
	case Tick:
		c.tick()
	case PromptsArrived:
		c.promptsArrived(event)
	case PromptsFailed:
		c.promptsFailed(event)
	case SampleProgress:
		c.sampleProgress(event)
	case SampleFinished:
		c.sampleFinished(event)
	case SampleFailed:
		c.sampleFailed(event)
	case Scored:
		c.scored(event)
	case ScoreFailed:
		c.scoreFailed(event)
	case BatchRequested:
		c.batchRequested(event)
	case RequestAbandoned:
		c.dropWaiter(event.Token)
	case CommitAnswered:
		c.commitAnswered(event)
	case LedgerRead:
		c.ledgerRead(event)
	case WeightsPublished:
		c.weightsPublished(event.Weights)
	case PublicationStarted:
		c.pendingPublication.start(event.Version, c.now)
	case PublicationEnded:
		c.publicationEnded(event)
	case CapacityChanged:
		c.replicas = newReplicaLoads(event.Replicas)
		c.planning.due = true
		c.startDue = true
	case SettingsChanged:
		c.settingsChanged(event)
	case LeaseRenewed:
		c.leaseUntil = event.Until
	case LeaseLost:
		c.loseLease("lease lost")
	case Drain:
		c.drain()
	}
}

// stepLost refuses batch requests after the lease was lost and ignores other events.
func (c *Coordinator) stepLost(event Event) {
	if request, isRequest := event.(BatchRequested); isRequest {
		c.refuse(request.Token, port.NotRun, port.CodeUnavailable, "this node no longer coordinates the pool")
	}
}

// tick runs all time-based work.
func (c *Coordinator) tick() {
	c.runPolicy()
	c.sweep()
	c.checkPending()
	c.checkReading()
	c.expireWaiters()
}

// settingsChanged applies new settings. Work in progress continues, except that a
// change of the group size restarts all groups.
func (c *Coordinator) settingsChanged(event SettingsChanged) {
	if validateSampling(event.Sampling) != nil {
		return
	}
	resized := event.Sampling.GroupSize != c.config.Sampling.GroupSize
	c.config.Sampling = event.Sampling
	if event.Program != nil {
		c.planning.program = event.Program
	}
	c.planning.due = true
	if !resized {
		c.dropStaleSamples()
		return
	}
	for _, group := range c.liveGroups() {
		if !group.pinned {
			c.requeueGroup(group)
		}
	}
}

// loseLease stops all work and refuses the waiting requests.
func (c *Coordinator) loseLease(reason string) {
	c.lost = true
	c.cancelAll()
	verdict := port.NotRun
	if c.pending != nil {
		verdict = port.MayHaveRun
	}
	for _, waiting := range c.waiters {
		c.refuse(waiting.token, verdict, port.CodeUnavailable, "coordinator stopped: %s", reason)
	}
	c.waiters, c.pending, c.stored = nil, nil, nil
}

// drain stops new work; a commit with unknown outcome is still resolved.
func (c *Coordinator) drain() {
	c.draining = true
	c.cancelAll()
	for _, group := range c.liveGroups() {
		if !group.pinned {
			c.discardGroup(group)
		}
	}
}

// reportDrained emits Drained once the drain is complete.
func (c *Coordinator) reportDrained() {
	if c.draining && !c.drained && c.pending == nil {
		c.drained = true
		c.emit(Drained{})
	}
}

// cancelAll cancels every attempt on a replica, in order of creation.
func (c *Coordinator) cancelAll() {
	for _, group := range c.order {
		for _, sample := range group.samples {
			c.cancelAttempt(sample)
		}
	}
}

// leaseValid reports whether this coordinator may deliver batches.
func (c *Coordinator) leaseValid() bool { return !c.lost && c.now.Before(c.leaseUntil) }

// Status returns a summary of the coordinator's state.
func (c *Coordinator) Status() Status {
	status := Status{
		Version: c.version, Running: c.running, Groups: len(c.groups), Prompts: c.prompts.length(),
		Waiters: len(c.waiters), Committed: c.ledger.Committed, Pending: c.pending != nil,
		Lost: c.lost, Draining: c.draining, Plan: c.planning.plan, Counters: c.counters,
	}
	if c.planning.err != nil {
		status.PolicyError = c.planning.err.Error()
	}
	status.Scoring, status.Buffered = c.countFinished()
	return status
}

// emit appends an action to the current step.
func (c *Coordinator) emit(action Action) { c.actions = append(c.actions, action) }

// record emits a decision and sets the fields common to all decisions.
func (c *Coordinator) record(decision port.Decision) {
	decision.Time = c.now.UnixMilli()
	decision.Node = c.config.Node
	decision.Pool = c.config.Pool
	if decision.Version == 0 {
		decision.Version = c.version
	}
	c.emit(Record{Decision: decision})
}
