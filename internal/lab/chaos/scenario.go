package chaos

import "time"

// Scenario is a named mix of faults.
type Scenario struct {
	Name  string
	Title string
	// Faulty is how long faults are injected, in virtual time.
	Faulty time.Duration
	// Every is the mean time between two injections, Together the number of faults per
	// injection.
	Every    time.Duration
	Together int
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
	every := []Fault{
		FaultCut, FaultIsolate, FaultIsolateLeader, FaultSplit, FaultPowerLoss, FaultKill, FaultCrashPoints,
		FaultPause, FaultClock, FaultClockElection, FaultSync, FaultDiskFull, FaultLose, FaultStorm, FaultObserverAway,
	}
	return []Scenario{
		{Name: "calm", Title: "no faults", Faulty: time.Minute, Every: time.Hour},
		{Name: "lossy", Title: "loss, delay, duplication and reordering of messages", Faulty: 90 * time.Second, Every: 10 * time.Second, Together: 1, Network: lossy, Faults: []Fault{FaultStorm}},
		{Name: "cuts", Title: "one-way cuts and splits", Faulty: 90 * time.Second, Every: 4 * time.Second, Together: 1, Faults: []Fault{FaultCut, FaultCut, FaultSplit}},
		{Name: "isolation", Title: "silent isolation for minutes, of the leader too", Faulty: 5 * time.Minute, Every: 60 * time.Second, Together: 1, Faults: []Fault{FaultIsolateLeader, FaultIsolate, FaultPause}},
		{Name: "crashes", Title: "power loss and kills between any two steps, lost and torn writes", Faulty: 90 * time.Second, Every: 3 * time.Second, Together: 1, Faults: []Fault{FaultPowerLoss, FaultKill, FaultCrashPoints}},
		{Name: "disks", Title: "failed syncs and full disks", Faulty: 2 * time.Minute, Every: 6 * time.Second, Together: 1, Faults: []Fault{FaultSync, FaultDiskFull, FaultPowerLoss}},
		{Name: "clocks", Title: "clock jumps and pauses", Faulty: 90 * time.Second, Every: 5 * time.Second, Together: 1, Faults: []Fault{FaultClock, FaultClockElection, FaultPause, FaultKill}},
		{Name: "replace", Title: "a machine lost and replaced, a second one lost right after", Faulty: 3 * time.Minute, Every: 40 * time.Second, Together: 1, Members: 3, Faults: []Fault{FaultLose, FaultLoseAfterRepair}},
		{Name: "absence", Title: "members and observers away for minutes and hundreds of changes", Faulty: 4 * time.Minute, Every: 12 * time.Second, Together: 1, Learners: 1, MaxPause: 600 * time.Millisecond, Faults: []Fault{FaultAbsence, FaultKill, FaultObserverAway, FaultObserverAway, FaultIsolate}},
		{Name: "all", Title: "all faults, one at a time", Faulty: 3 * time.Minute, Every: 4 * time.Second, Together: 1, Learners: 1, Network: Network{Loss: 0.02, Duplicate: 0.02, Delay: 20 * time.Millisecond}, Faults: every},
		{Name: "together", Title: "all faults, two at once and twice", Faulty: 3 * time.Minute, Every: 6 * time.Second, Together: 2, Learners: 1, Network: lossy, Faults: append(every, FaultLoseAfterRepair)},
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
