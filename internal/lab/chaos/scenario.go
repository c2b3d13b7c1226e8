package chaos

import "time"

// Scenario is a named mix of faults.
type Scenario struct {
	Name  string
	Title string
	// FaultDuration is how long faults are injected, in virtual time.
	FaultDuration time.Duration
	// InjectionInterval is the mean time between two injections, FaultsPerInjection the
	// number of faults per injection.
	InjectionInterval  time.Duration
	FaultsPerInjection int
	// Network applies while faults are injected.
	Network Network
	Faults  []Fault
	// Members is the number of voters; 0 lets the seed choose 3 or 5.
	Members int
	// Learners is the number of members without a vote.
	Learners int
	// MaxPause is the max pause of an operator between two actions; 0 means 2 s.
	MaxPause time.Duration
}

// Network configures the links between processes.
type Network struct {
	// Loss and Duplicate are probabilities per message.
	Loss, Duplicate float64
	// Delay is the max extra delay, within which messages are reordered.
	Delay time.Duration
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	lossy := Network{Loss: 0.1, Duplicate: 0.1, Delay: 80 * time.Millisecond}
	all := []Fault{
		FaultCut, FaultIsolate, FaultIsolateLeader, FaultSplit, FaultPowerLoss, FaultKill, FaultCrashPoints,
		FaultPause, FaultClock, FaultClockElection, FaultSync, FaultDiskFull, FaultLose, FaultStorm, FaultObserverAway,
	}
	return []Scenario{
		{Name: "calm", Title: "no faults", FaultDuration: time.Minute, InjectionInterval: time.Hour},
		{Name: "lossy", Title: "loss, delay, duplication and reordering of messages", FaultDuration: 90 * time.Second, InjectionInterval: 10 * time.Second, FaultsPerInjection: 1, Network: lossy, Faults: []Fault{FaultStorm}},
		{Name: "cuts", Title: "one-way cuts and splits", FaultDuration: 90 * time.Second, InjectionInterval: 4 * time.Second, FaultsPerInjection: 1, Faults: []Fault{FaultCut, FaultCut, FaultSplit}},
		{Name: "isolation", Title: "silent isolation for minutes, of the leader too", FaultDuration: 5 * time.Minute, InjectionInterval: 60 * time.Second, FaultsPerInjection: 1, Faults: []Fault{FaultIsolateLeader, FaultIsolate, FaultPause}},
		{Name: "crashes", Title: "power loss and kills between any two steps, lost and torn writes", FaultDuration: 90 * time.Second, InjectionInterval: 3 * time.Second, FaultsPerInjection: 1, Faults: []Fault{FaultPowerLoss, FaultKill, FaultCrashPoints}},
		{Name: "disks", Title: "failed syncs and full disks", FaultDuration: 2 * time.Minute, InjectionInterval: 6 * time.Second, FaultsPerInjection: 1, Faults: []Fault{FaultSync, FaultDiskFull, FaultPowerLoss}},
		{Name: "clocks", Title: "clock jumps and pauses", FaultDuration: 90 * time.Second, InjectionInterval: 5 * time.Second, FaultsPerInjection: 1, Faults: []Fault{FaultClock, FaultClockElection, FaultPause, FaultKill}},
		{Name: "replace", Title: "a machine lost and replaced, a second one lost right after", FaultDuration: 3 * time.Minute, InjectionInterval: 40 * time.Second, FaultsPerInjection: 1, Members: 3, Faults: []Fault{FaultLose, FaultLoseAfterRepair}},
		{Name: "absence", Title: "members and observers away for minutes and hundreds of changes", FaultDuration: 4 * time.Minute, InjectionInterval: 12 * time.Second, FaultsPerInjection: 1, Learners: 1, MaxPause: 600 * time.Millisecond, Faults: []Fault{FaultAbsence, FaultKill, FaultObserverAway, FaultObserverAway, FaultIsolate}},
		{Name: "all", Title: "all faults, one at a time", FaultDuration: 3 * time.Minute, InjectionInterval: 4 * time.Second, FaultsPerInjection: 1, Learners: 1, Network: Network{Loss: 0.02, Duplicate: 0.02, Delay: 20 * time.Millisecond}, Faults: all},
		{Name: "together", Title: "all faults, two at once and twice", FaultDuration: 3 * time.Minute, InjectionInterval: 6 * time.Second, FaultsPerInjection: 2, Learners: 1, Network: lossy, Faults: append(all, FaultLoseAfterRepair)},
	}
}

// ScenarioNamed returns the scenario with a name, and whether it exists.
func ScenarioNamed(name string) (Scenario, bool) {
	for _, scenario := range Scenarios() {
		if scenario.Name == name {
			return scenario, true
		}
	}
	return Scenario{}, false
}
