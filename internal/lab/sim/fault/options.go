package fault

import (
	"io"
	"time"
)

// Options are the inputs of one run.
type Options struct {
	Scenario Scenario
	Seed     uint64
	// Trace, if set, receives a line for each significant step.
	Trace io.Writer
	// Without switches off a safeguard, so that tests can check that the audit
	// detects it.
	Without Safeguard
}

// Safeguard names a mechanism that upholds a guarantee.
type Safeguard string

// The safeguards.
const (
	// SafeguardVerdict prevents retries of unsafe requests that may have run.
	SafeguardVerdict Safeguard = "verdict"
	// SafeguardNotRun prevents reporting a lost connection as not run.
	SafeguardNotRun Safeguard = "not run"
	// SafeguardMatching rejects answers to other requests.
	SafeguardMatching Safeguard = "matching"
	// SafeguardComplete prevents reporting a cut-off completion as complete.
	SafeguardComplete Safeguard = "whole"
	// SafeguardResume resumes a completion from the tokens already sent.
	SafeguardResume Safeguard = "resume"
	// SafeguardVersion reads versions from engine reports instead of orders.
	SafeguardVersion Safeguard = "version"
	// SafeguardStaleness limits the age of committed samples.
	SafeguardStaleness Safeguard = "staleness"
	// SafeguardDeparture routes no requests to leaving back ends.
	SafeguardDeparture Safeguard = "leaving"
	// SafeguardDrain makes a graceful stop wait for requests in flight.
	SafeguardDrain Safeguard = "drain"
	// SafeguardSingleDelivery refuses to deliver an acknowledged batch again.
	SafeguardSingleDelivery Safeguard = "once"
	// SafeguardPrompts restarts the prompts of a lost coordinator.
	SafeguardPrompts Safeguard = "prompts"
)

// Scenario is a named mix of faults.
type Scenario struct {
	Name  string
	Title string
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// InjectionInterval is the mean time between injections, FaultsPerInjection the number of faults in
	// one injection.
	InjectionInterval  time.Duration
	FaultsPerInjection int
	Faults             []Fault
}

// settleTime is the fault-free time at the end, in which work must make progress.
const settleTime = 40 * time.Second

// Fault is a kind of fault.
type Fault string

// The faults.
const (
	FaultEngineCrash             Fault = "engine crash"
	FaultEngineRefuses           Fault = "engine refuses"
	FaultEngineMixesIDs          Fault = "engine mixes ids"
	FaultEngineIgnoresCancel     Fault = "engine answers after cancel"
	FaultSwapFails               Fault = "swap fails halfway"
	FaultSwapMisdirected         Fault = "swap lands on another version"
	FaultLoadReportsLate         Fault = "load reports late"
	FaultBackEndCrash            Fault = "back end crash"
	FaultBackEndMixesIDs         Fault = "back end mixes ids"
	FaultBackEndRefuses          Fault = "back end refuses"
	FaultBackEndFails            Fault = "back end answers with errors"
	FaultBackEndSlow             Fault = "back end slow"
	FaultCutBefore               Fault = "connections cut before the first byte"
	FaultCutAfter                Fault = "connections cut after the first byte"
	FaultNodeKilled              Fault = "node killed"
	FaultCoordinatorStep         Fault = "coordinator killed at a step"
	FaultTwoCoordinators         Fault = "two coordinators"
	FaultTwoHomes                Fault = "two homes"
	FaultZonePartition           Fault = "zone cut off"
	FaultNodeStop                Fault = "planned stop of a node"
	FaultControlOutage           Fault = "control outage"
	FaultProposalLost            Fault = "proposal lost"
	FaultAnswerLost              Fault = "answer of control lost"
	FaultViewLate                Fault = "views late"
	FaultTrainerCrash            Fault = "trainer crash"
	FaultTrainerRepeats          Fault = "trainer asks twice"
	FaultTrainerRequestsPrevious Fault = "trainer asks for the batch before"
	FaultPublishRace             Fault = "publication races a commit"
	FaultScorerLate              Fault = "scorer late"
	FaultScorerFails             Fault = "scorer fails"
	FaultEngineLeaves            Fault = "engine leaves"
	FaultBackEndLeaves           Fault = "back end leaves"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	engines := []Fault{FaultEngineCrash, FaultEngineRefuses, FaultEngineMixesIDs, FaultEngineIgnoresCancel, FaultLoadReportsLate}
	backEnds := []Fault{FaultBackEndCrash, FaultBackEndMixesIDs, FaultBackEndRefuses, FaultBackEndFails, FaultBackEndSlow}
	cuts := []Fault{FaultCutBefore, FaultCutAfter}
	nodes := []Fault{FaultNodeKilled, FaultTwoHomes, FaultZonePartition}
	coordinators := []Fault{FaultCoordinatorStep, FaultTwoCoordinators}
	control := []Fault{FaultControlOutage, FaultProposalLost, FaultAnswerLost, FaultViewLate}
	trainers := []Fault{FaultTrainerCrash, FaultTrainerRepeats, FaultTrainerRequestsPrevious, FaultPublishRace, FaultScorerLate, FaultScorerFails}
	weights := []Fault{FaultSwapFails, FaultSwapMisdirected, FaultEngineCrash}
	departures := []Fault{FaultEngineLeaves, FaultBackEndLeaves}
	stops := []Fault{FaultNodeStop, FaultEngineLeaves, FaultBackEndLeaves}
	every := join(engines, backEnds, cuts, nodes, coordinators, control, trainers, weights, departures, stops)
	const faulty = 30 * time.Second
	return []Scenario{
		{Name: "calm", Title: "no faults", FaultDuration: faulty, InjectionInterval: time.Hour},
		{Name: "engines", Title: "engines crash, refuse, mix ids, go on after cancel, report late", FaultDuration: faulty, InjectionInterval: 2 * time.Second, FaultsPerInjection: 1, Faults: engines},
		{Name: "backends", Title: "application back ends crash, refuse, fail, mix ids, get slow", FaultDuration: faulty, InjectionInterval: time.Second, FaultsPerInjection: 1, Faults: backEnds},
		{Name: "cuts", Title: "connections cut before and after the first byte", FaultDuration: faulty, InjectionInterval: 2 * time.Second, FaultsPerInjection: 1, Faults: cuts},
		{Name: "nodes", Title: "home nodes lost, two homes, zones cut off", FaultDuration: faulty, InjectionInterval: 8 * time.Second, FaultsPerInjection: 1, Faults: nodes},
		{Name: "coordinators", Title: "coordinator killed at any step, two at once", FaultDuration: faulty, InjectionInterval: 8 * time.Second, FaultsPerInjection: 1, Faults: coordinators},
		{Name: "control", Title: "outages, lost proposals and answers, late views", FaultDuration: faulty, InjectionInterval: 5 * time.Second, FaultsPerInjection: 1, Faults: control},
		{Name: "trainers", Title: "trainer crashes, asks twice and back, publishes early; scorer late and failing", FaultDuration: faulty, InjectionInterval: 2 * time.Second, FaultsPerInjection: 1, Faults: trainers},
		{Name: "weights", Title: "swaps fail and land elsewhere while engines crash", FaultDuration: faulty, InjectionInterval: 4 * time.Second, FaultsPerInjection: 1, Faults: weights},
		{Name: "departures", Title: "back ends leave while the list lags", FaultDuration: faulty, InjectionInterval: 8 * time.Second, FaultsPerInjection: 1, Faults: departures},
		{Name: "stops", Title: "planned stops of nodes and back ends, nothing else", FaultDuration: faulty, InjectionInterval: 10 * time.Second, FaultsPerInjection: 1, Faults: stops},
		{Name: "delivery", Title: "coordinators, control and trainers together", FaultDuration: faulty, InjectionInterval: 4 * time.Second, FaultsPerInjection: 2, Faults: join(coordinators, control, trainers)},
		{Name: "all", Title: "all faults, one at a time", FaultDuration: faulty, InjectionInterval: 2 * time.Second, FaultsPerInjection: 1, Faults: every},
		{Name: "together", Title: "all faults, two at once and twice", FaultDuration: faulty, InjectionInterval: 4 * time.Second, FaultsPerInjection: 2, Faults: every},
	}
}

func join(lists ...[]Fault) []Fault {
	var joined []Fault
	for _, list := range lists {
		joined = append(joined, list...)
	}
	return joined
}

// FindScenario returns the scenario with the given name.
func FindScenario(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}
