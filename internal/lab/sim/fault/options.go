package fault

import (
	"io"
	"time"
)

// Options are what one run takes.
type Options struct {
	Scenario Scenario
	Seed     uint64
	// Trace, if set, gets a line for each step that matters.
	Trace io.Writer
	// Without switches a safeguard off, so that tests can show that the audit
	// would find its absence.
	Without Safeguard
}

// Safeguard names what keeps a promise.
type Safeguard string

// The safeguards that a test can switch off.
const (
	// SafeguardVerdict keeps an unsafe request that may have run from being sent
	// again.
	SafeguardVerdict Safeguard = "verdict"
	// SafeguardNotRun keeps a lost connection from being told as not run.
	SafeguardNotRun Safeguard = "not run"
	// SafeguardMatching keeps an answer to another request out.
	SafeguardMatching Safeguard = "matching"
	// SafeguardWhole keeps a completion that was cut off from being taken for
	// whole.
	SafeguardWhole Safeguard = "whole"
	// SafeguardResume continues a completion from what has left already.
	SafeguardResume Safeguard = "resume"
	// SafeguardVersion takes versions from what engines report, not from orders.
	SafeguardVersion Safeguard = "version"
	// SafeguardStaleness bounds the age of samples in the log.
	SafeguardStaleness Safeguard = "staleness"
	// SafeguardLeaving keeps requests off leaving back ends.
	SafeguardLeaving Safeguard = "leaving"
	// SafeguardDrain lets a planned stop wait for what is in flight.
	SafeguardDrain Safeguard = "drain"
	// SafeguardOnce refuses a batch that was acknowledged.
	SafeguardOnce Safeguard = "once"
	// SafeguardPrompts starts the prompts of a lost coordinator again.
	SafeguardPrompts Safeguard = "prompts"
)

// Scenario is a named mix of faults.
type Scenario struct {
	Name  string
	Title string
	// Faulty is how long faults are injected, in virtual time.
	Faulty time.Duration
	// Every is the mean time between two injections, Together the number of
	// faults that one brings.
	Every    time.Duration
	Together int
	Faults   []Fault
}

// settleTime is the calm time after the faults, in which work has to go on.
const settleTime = 40 * time.Second

// Fault names a kind of fault.
type Fault string

// The faults.
const (
	FaultEngineCrash     Fault = "engine crash"
	FaultEngineRefuses   Fault = "engine refuses"
	FaultEngineMixes     Fault = "engine mixes ids"
	FaultEngineGoesOn    Fault = "engine answers after cancel"
	FaultSwapFails       Fault = "swap fails halfway"
	FaultSwapMisdirected Fault = "swap lands on another version"
	FaultLoadLate        Fault = "load reports late"
	FaultBackEndCrash    Fault = "back end crash"
	FaultBackEndMixes    Fault = "back end mixes ids"
	FaultBackEndRefuses  Fault = "back end refuses"
	FaultBackEndFails    Fault = "back end answers with errors"
	FaultBackEndSlow     Fault = "back end slow"
	FaultCutBefore       Fault = "connections cut before the first byte"
	FaultCutAfter        Fault = "connections cut after the first byte"
	FaultNodeKilled      Fault = "node killed"
	FaultCoordinatorStep Fault = "coordinator killed at a step"
	FaultTwoCoordinators Fault = "two coordinators"
	FaultTwoHomes        Fault = "two homes"
	FaultZoneCut         Fault = "zone cut off"
	FaultNodeStop        Fault = "planned stop of a node"
	FaultControlOutage   Fault = "control outage"
	FaultProposalLost    Fault = "proposal lost"
	FaultAnswerLost      Fault = "answer of control lost"
	FaultViewLate        Fault = "views late"
	FaultTrainerCrash    Fault = "trainer crash"
	FaultTrainerTwice    Fault = "trainer asks twice"
	FaultTrainerPrevious Fault = "trainer asks for the batch before"
	FaultPublishRace     Fault = "publication races a commit"
	FaultScorerLate      Fault = "scorer late"
	FaultScorerFails     Fault = "scorer fails"
	FaultEngineLeaves    Fault = "engine leaves"
	FaultBackEndLeaves   Fault = "back end leaves"
)

// Scenarios gives the table of all scenarios.
func Scenarios() []Scenario {
	engines := []Fault{FaultEngineCrash, FaultEngineRefuses, FaultEngineMixes, FaultEngineGoesOn, FaultLoadLate}
	backEnds := []Fault{FaultBackEndCrash, FaultBackEndMixes, FaultBackEndRefuses, FaultBackEndFails, FaultBackEndSlow}
	cuts := []Fault{FaultCutBefore, FaultCutAfter}
	nodes := []Fault{FaultNodeKilled, FaultTwoHomes, FaultZoneCut}
	coordinators := []Fault{FaultCoordinatorStep, FaultTwoCoordinators}
	control := []Fault{FaultControlOutage, FaultProposalLost, FaultAnswerLost, FaultViewLate}
	trainers := []Fault{FaultTrainerCrash, FaultTrainerTwice, FaultTrainerPrevious, FaultPublishRace, FaultScorerLate, FaultScorerFails}
	weights := []Fault{FaultSwapFails, FaultSwapMisdirected, FaultEngineCrash}
	departures := []Fault{FaultEngineLeaves, FaultBackEndLeaves}
	stops := []Fault{FaultNodeStop, FaultEngineLeaves, FaultBackEndLeaves}
	every := join(engines, backEnds, cuts, nodes, coordinators, control, trainers, weights, departures, stops)
	const faulty = 30 * time.Second
	return []Scenario{
		{Name: "calm", Title: "no faults", Faulty: faulty, Every: time.Hour},
		{Name: "engines", Title: "engines crash, refuse, mix ids, go on after cancel, report late", Faulty: faulty, Every: 2 * time.Second, Together: 1, Faults: engines},
		{Name: "backends", Title: "application back ends crash, refuse, fail, mix ids, get slow", Faulty: faulty, Every: time.Second, Together: 1, Faults: backEnds},
		{Name: "cuts", Title: "connections cut before and after the first byte", Faulty: faulty, Every: 2 * time.Second, Together: 1, Faults: cuts},
		{Name: "nodes", Title: "home nodes lost, two homes, zones cut off", Faulty: faulty, Every: 8 * time.Second, Together: 1, Faults: nodes},
		{Name: "coordinators", Title: "coordinator killed at any step, two at once", Faulty: faulty, Every: 8 * time.Second, Together: 1, Faults: coordinators},
		{Name: "control", Title: "outages, lost proposals and answers, late views", Faulty: faulty, Every: 5 * time.Second, Together: 1, Faults: control},
		{Name: "trainers", Title: "trainer crashes, asks twice and back, publishes early; scorer late and failing", Faulty: faulty, Every: 2 * time.Second, Together: 1, Faults: trainers},
		{Name: "weights", Title: "swaps fail and land elsewhere while engines crash", Faulty: faulty, Every: 4 * time.Second, Together: 1, Faults: weights},
		{Name: "departures", Title: "back ends leave while the list lags", Faulty: faulty, Every: 8 * time.Second, Together: 1, Faults: departures},
		{Name: "stops", Title: "planned stops of nodes and back ends, nothing else", Faulty: faulty, Every: 10 * time.Second, Together: 1, Faults: stops},
		{Name: "delivery", Title: "coordinators, control and trainers together", Faulty: faulty, Every: 4 * time.Second, Together: 2, Faults: join(coordinators, control, trainers)},
		{Name: "all", Title: "all faults, one at a time", Faulty: faulty, Every: 2 * time.Second, Together: 1, Faults: every},
		{Name: "together", Title: "all faults, two at once and twice", Faulty: faulty, Every: 4 * time.Second, Together: 2, Faults: every},
	}
}

func join(lists ...[]Fault) []Fault {
	var joined []Fault
	for _, list := range lists {
		joined = append(joined, list...)
	}
	return joined
}

// ScenarioNamed finds a scenario.
func FindScenario(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}
