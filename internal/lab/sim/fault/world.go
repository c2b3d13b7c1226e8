package fault

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/virtual"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Size of the site.
const (
	zones        = 3
	nodesPerZone = 3
	engines      = 6
	backEnds     = 6
)

// origin is the wall-clock time at virtual time 0.
var origin = time.Unix(1_750_000_000, 0).UTC()

// world is the state of one run.
type world struct {
	options   Options
	queue     virtual.Queue
	random    randoms
	lengths   engine.Lengths
	store     *engine.Store
	control   *control
	machines  *machineList
	scorer    *scorer
	prompts   process
	callers   process
	nodes     []*node
	engines   []*modelEngine
	backEnds  []*backEnd
	trainer   *trainer
	processes []*process

	partitionedZones map[port.ZoneName]bool
	// departing holds the addresses of back ends that are leaving or have left.
	departing map[string]bool
	// isolated holds processes that reach neither control nor other nodes.
	isolated map[string]bool
	// cutBefore and cutAfter are the shares of connections that break now.
	cutBefore, cutAfter float64
	killAt              killAt
	observed            observed
	count               counts
	failures            []string
	calls               int
	delivered           map[port.BatchNumber]*coordinator.Deliver
	engineNumber        int
	backEndNumber       int
}

// randoms are independent random sources, so that draws of one don't affect another.
type randoms struct{ network, service, faults, callers *rand.Rand }

// observed holds the audit records; see audit.Observations.
type observed struct {
	generations []*audit.Generation
	executions  []*audit.Execution
	rest        audit.Observations
}

// counts are totals of the run.
type counts struct {
	faults      map[Fault]int
	retries     int
	lateAnswers int
	decisions   int
	delivered   int
}

func newWorld(options Options) *world {
	source := func(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(options.Seed, stream)) }
	w := &world{
		options: options, random: randoms{source(1), source(2), source(3), source(4)},
		lengths: engine.Lengths{Median: 40, Sigma: 0.7, Max: maxTokens}, store: engine.NewStore(storeBytesPerSecond),
		delivered:        make(map[port.BatchNumber]*coordinator.Deliver),
		partitionedZones: make(map[port.ZoneName]bool), isolated: make(map[string]bool), departing: make(map[string]bool),
		prompts: process{name: "prompts", up: true}, callers: process{name: "callers", up: true},
	}
	w.count.faults = make(map[Fault]int)
	w.control = w.newControl()
	w.machines = &machineList{process: process{name: "machines", up: true}, world: w}
	w.scorer = &scorer{process: process{name: "scorer", up: true}, world: w}
	for range engines {
		w.addEngine()
	}
	for range backEnds {
		w.addBackEnd()
	}
	for index := range zones * nodesPerZone {
		n := w.newNode(index)
		w.nodes = append(w.nodes, n)
		w.processes = append(w.processes, &n.process)
	}
	w.trainer = w.newTrainer()
	w.processes = append(w.processes, &w.control.process, &w.machines.process, &w.scorer.process, &w.prompts, &w.callers, &w.trainer.process)
	return w
}

func (w *world) addEngine() *modelEngine {
	e := w.newEngine(w.engineNumber)
	w.engineNumber++
	w.engines = append(w.engines, e)
	w.processes = append(w.processes, &e.process)
	return e
}

func (w *world) addBackEnd() *backEnd {
	b := w.newBackEnd(w.backEndNumber)
	w.backEndNumber++
	w.backEnds = append(w.backEnds, b)
	w.processes = append(w.processes, &b.process)
	return b
}

// run simulates the scenario.
func (w *world) run() error {
	if err := w.configure(); err != nil {
		return err
	}
	for _, n := range w.nodes {
		n.start()
	}
	w.trainer.start()
	w.startCallers()
	w.after(warmUp, w.injectNext)
	w.queue.RunUntil(warmUp + w.options.Scenario.FaultDuration + settleTime)
	for _, e := range w.engines {
		e.advance()
	}
	return nil
}

// warmUp is the time before the first fault.
const warmUp = 8 * time.Second

// faultsEnd returns the end of the fault phase.
func (w *world) faultsEnd() time.Duration { return warmUp + w.options.Scenario.FaultDuration }

func (w *world) clock() time.Time { return origin.Add(w.queue.Now()) }

func (w *world) after(delay time.Duration, run func()) { w.queue.After(delay, run) }

func (w *world) zone(index int) port.ZoneName { return port.ZoneName(fmt.Sprintf("z%d", index%zones)) }

func (w *world) without(safeguard Safeguard) bool { return w.options.Without == safeguard }

func (w *world) node(id port.NodeID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) engineAt(address string) *modelEngine {
	for _, e := range w.engines {
		if e.address == address {
			return e
		}
	}
	return nil
}

func (w *world) backEndAt(address string) *backEnd {
	for _, b := range w.backEnds {
		if b.address == address {
			return b
		}
	}
	return nil
}

// profile returns the scheduling profile of a kind of pool.
func (w *world) profile(kind port.PoolKind) scheduling.Profile {
	profile := scheduling.Generation()
	if kind == port.PoolApplication {
		profile = scheduling.Application()
	}
	if w.without(SafeguardDeparture) {
		profile.Filters = slices.DeleteFunc(profile.Filters, func(filter scheduling.Filter) bool {
			return filter.Name() == scheduling.FilterLeaving
		})
	}
	return profile
}

// verdictOf returns the failure of a connection with the verdict that nodes report.
func (w *world) verdictOf(failure *port.Error) *port.Error {
	if failure != nil && w.without(SafeguardNotRun) {
		altered := *failure
		altered.Verdict = port.NotRun
		return &altered
	}
	return failure
}

// orderedVersion returns the newest published version.
func (w *world) orderedVersion() port.WeightVersion {
	for _, weights := range w.control.state.View().Weights {
		if weights.Pool == trainingPool {
			return weights.Version
		}
	}
	return firstVersion
}

// recordDecision counts and traces a decision record.
func (w *world) recordDecision(n *node, decided port.Decision) {
	w.count.decisions++
	w.trace("%s decided %s %s %s: %s", n.name, decided.Kind, decided.Subject, decided.Replica, decided.Detail)
}

// fail records a failure of the run.
func (w *world) fail(format string, arguments ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, arguments...))
}

func (w *world) trace(format string, arguments ...any) {
	if w.options.Trace != nil {
		fmt.Fprintf(w.options.Trace, "%12v  %s\n", w.queue.Now(), fmt.Sprintf(format, arguments...))
	}
}

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

func compareSamples(a, b port.SampleID) int {
	return cmp.Compare(a.String(), b.String())
}
