package fleet

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/lab/virtual"
)

// Result is what a run measured.
type Result struct {
	Options    Options      `json:"options"`
	Node       RoleUsage    `json:"node"`
	Home       []WorkUsage  `json:"node_by_work"`
	Holder     RoleUsage    `json:"node_as_coordinator"`
	HolderWork []WorkUsage  `json:"node_as_coordinator_by_work"`
	Leader     RoleUsage    `json:"control_leader"`
	LeaderWork []WorkUsage  `json:"control_leader_by_work"`
	Follower   RoleUsage    `json:"control_follower"`
	Log        LogUsage     `json:"log"`
	InForce    Distribution `json:"accept_to_in_force"`
	CatchUp    Distribution `json:"catch_up"`
	Changes    int          `json:"changes_accepted"`
	Refused    int          `json:"changes_refused"`
	Longest    time.Duration
	Faults     FaultCounts  `json:"faults"`
	Recovery   *recovery    `json:"recovery,omitempty"`
	Weights    *WeightsTime `json:"weights,omitempty"`
	Samples    SamplesTime  `json:"samples"`
	Placement  Placement    `json:"placement"`
	Rebuild    Rebuild      `json:"rebuild"`
	Memory     Memory       `json:"memory"`
	Process    Process      `json:"process"`
	Violations []Violation  `json:"violations"`
}

// RoleUsage is what the processes of a role use, each figure over the processes:
// the mean, the 99th percentile and the most.
type RoleUsage struct {
	Processes int `json:"processes"`
	// Messages and Bytes count both ways, a second.
	Messages Spread `json:"messages_per_second"`
	Bytes    Spread `json:"bytes_per_second"`
	// BytesOut counts what is sent.
	BytesOut Spread `json:"bytes_out_per_second"`
	// Busiest is the bytes of the busiest second.
	Busiest Spread `json:"bytes_in_busiest_second"`
	// CPU is in parts of a core.
	CPU Spread `json:"cpu_cores"`
}

// Spread sums up a figure over processes.
type Spread struct {
	Mean float64 `json:"mean"`
	P99  float64 `json:"p99"`
	Max  float64 `json:"max"`
}

// WorkUsage is what one kind of work uses, as a mean over the processes.
type WorkUsage struct {
	Work     string  `json:"work"`
	Messages float64 `json:"messages_per_second"`
	Bytes    float64 `json:"bytes_per_second"`
	CPU      float64 `json:"cpu_cores"`
}

// LogUsage is what the leader's log takes.
type LogUsage struct {
	BytesPerSecond float64 `json:"bytes_per_second"`
	SyncsPerSecond float64 `json:"syncs_per_second"`
	SnapshotBytes  int     `json:"snapshot_bytes"`
}

// Distribution sums up times.
type Distribution struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// FaultCounts counts the random faults of a run.
type FaultCounts struct {
	Failures int `json:"failures"`
	Restarts int `json:"restarts"`
}

// SamplesTime tells of the steps of all trainers.
type SamplesTime struct {
	Steps   int           `json:"steps"`
	Longest time.Duration `json:"longest_step_ns"`
	// Commit is the longest time from a batch's proposal to its answer.
	Commit time.Duration `json:"longest_commit_ns"`
}

// Placement is the cost of choosing a replica, without sending the request.
type Placement struct {
	Sampled    int           `json:"sampled"`
	Placed     int           `json:"placed"`
	Candidates float64       `json:"candidates"`
	Each       time.Duration `json:"each_ns"`
}

// Rebuild is the cost of a tick that made anew what a node's traffic sees.
type Rebuild struct {
	Count int           `json:"count"`
	Each  time.Duration `json:"each_ns"`
}

// Memory is the heap that goes when a role is released, for one process of it.
type Memory struct {
	Node        float64 `json:"node_bytes"`
	Coordinator float64 `json:"coordinator_bytes"`
	Member      float64 `json:"member_bytes"`
	Total       uint64  `json:"heap_bytes"`
}

// Process is what the emulation itself took.
type Process struct {
	Wall       time.Duration `json:"wall_ns"`
	CPU        time.Duration `json:"cpu_ns"`
	CountedCPU time.Duration `json:"counted_cpu_ns"`
	Peak       int64         `json:"peak_resident_bytes"`
	Events     uint64        `json:"events"`
}

// collect reads the counters at the end of the counted time.
func (f *Fleet) collect() *Result {
	result := &Result{Options: f.options}
	leader := f.leader()
	var all, holders, leaders, followers []*tally
	for _, n := range f.nodes {
		all = append(all, &n.tally)
		if len(n.workers) > 0 {
			holders = append(holders, &n.tally)
		}
	}
	for _, m := range f.members {
		if m == leader {
			leaders = append(leaders, &m.tally)
		} else {
			followers = append(followers, &m.tally)
		}
	}
	result.Node, result.Home = f.usage(all), f.byWork(all)
	result.Holder, result.HolderWork = f.usage(holders), f.byWork(holders)
	result.Leader, result.LeaderWork = f.usage(leaders), f.byWork(leaders)
	result.Follower = f.usage(followers)
	if leader != nil {
		seconds := f.options.Length.Seconds()
		result.Log.BytesPerSecond = float64(leader.disk.written-leader.writtenBefore) / seconds
		result.Log.SyncsPerSecond = float64(leader.log.Syncs()-leader.syncsBefore) / seconds
	}
	return result
}

// usage sums up the counters of a role's processes.
func (f *Fleet) usage(tallies []*tally) RoleUsage {
	seconds := f.options.Length.Seconds()
	over := func(read func(*tally) float64) Spread {
		values := make([]float64, 0, len(tallies))
		for _, counted := range tallies {
			values = append(values, read(counted)/seconds)
		}
		return spread(values)
	}
	return RoleUsage{
		Processes: len(tallies),
		Messages:  over(func(t *tally) float64 { return float64(t.messages()) }),
		Bytes:     over(func(t *tally) float64 { sent, received := t.bytes(); return float64(sent + received) }),
		BytesOut:  over(func(t *tally) float64 { sent, _ := t.bytes(); return float64(sent) }),
		Busiest:   over(func(t *tally) float64 { return float64(t.mostBytes) * seconds }),
		CPU:       over(func(t *tally) float64 { return t.cpu().Seconds() }),
	}
}

func (f *Fleet) byWork(tallies []*tally) []WorkUsage {
	var list []WorkUsage
	share := f.options.Length.Seconds() * float64(len(tallies))
	for kind := range works {
		entry := WorkUsage{Work: workNames[kind]}
		for _, counted := range tallies {
			entry.Messages += float64(counted.sent[kind]+counted.received[kind]) / share
			entry.Bytes += float64(counted.sentBytes[kind]+counted.receivedIn[kind]) / share
			entry.CPU += counted.busy[kind].Seconds() / share
		}
		if entry.Messages > 0 || entry.CPU > 0 {
			list = append(list, entry)
		}
	}
	return list
}

// spread sums up values; the 99th percentile is the smallest value that at
// least 99 % do not exceed.
func spread(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	total := 0.0
	for _, value := range values {
		total += value
	}
	rank := (len(values)*99 + 99) / 100
	return Spread{Mean: total / float64(len(values)), P99: values[rank-1], Max: values[len(values)-1]}
}

func distribution(histogram *hdrhistogram.Histogram) Distribution {
	at := func(percentile float64) time.Duration {
		return time.Duration(histogram.ValueAtPercentile(percentile)) * time.Microsecond
	}
	if histogram.TotalCount() == 0 {
		return Distribution{}
	}
	return Distribution{Count: histogram.TotalCount(), P50: at(50), P99: at(99), Max: at(100)}
}

// finish adds what is known after the settling.
func (f *Fleet) finish(result *Result) {
	result.InForce, result.CatchUp = distribution(f.inForce.lags), distribution(f.inForce.catchUps)
	result.Changes, result.Refused = len(f.inForce.accepted), f.changes.refused
	result.Longest = f.changes.longest
	result.Faults = FaultCounts{Failures: f.faults.failures, Restarts: f.faults.restarts}
	if f.faults.recovery.Began > 0 {
		result.Recovery = &f.faults.recovery
	}
	if f.options.Scenario == ScenarioWeights {
		result.Weights = f.weights.times()
	}
	for _, t := range f.trainers {
		result.Samples.Steps += len(t.finished)
		result.Samples.Longest = max(result.Samples.Longest, slices.Max(append(t.finished, 0)))
	}
	result.Samples.Commit = slices.Max(append(f.commits, 0))
	if f.placements.count > 0 {
		result.Placement = Placement{
			Sampled: f.placements.count, Placed: f.placements.placed,
			Candidates: float64(f.placements.candidates) / float64(f.placements.count),
			Each:       f.placements.busy / time.Duration(f.placements.count),
		}
	}
	if f.rebuilds.count > 0 {
		result.Rebuild = Rebuild{Count: f.rebuilds.count, Each: f.rebuilds.busy / time.Duration(f.rebuilds.count)}
	}
	if leader := f.leader(); leader != nil {
		if data, err := leader.core.State().Snapshot(); err == nil {
			result.Log.SnapshotBytes = len(data)
		}
	}
	result.Violations = f.violations
	result.Process.Events, result.Process.Peak = f.Steps(), peakResident()
	result.Memory = f.measureMemory()
}

// measureMemory releases one role after the other and gives the heap that goes
// with each.
func (f *Fleet) measureMemory() Memory {
	heap := func() float64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	f.Queue = virtual.Queue{}
	whole := heap()
	held := 0
	for _, n := range f.nodes {
		held += len(n.workers)
		for _, released := range n.workers {
			// Samples that gates hold point to their worker.
			released.core, released.samples = nil, nil
		}
		n.workers = nil
	}
	f.holders = [trainers]*worker{}
	for _, t := range f.trainers {
		t.asking = nil
	}
	withoutHolders := heap()
	nodes, members := float64(len(f.nodes)), float64(len(f.members))
	for _, m := range f.members {
		m.watches = nil
	}
	for _, n := range f.nodes {
		*n = node{}
	}
	withoutNodes := heap()
	f.members = nil
	for _, n := range f.nodes {
		n.members = nil
	}
	withoutMembers := heap()
	return Memory{
		Coordinator: (whole - withoutHolders) / float64(max(held, 1)),
		Node:        (withoutHolders - withoutNodes) / nodes,
		Member:      (withoutNodes - withoutMembers) / members,
		Total:       uint64(whole),
	}
}

// processCPU gives the processor time of this process so far, of all threads.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// peakResident gives the most memory that this process held, in bytes.
func peakResident() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return usage.Maxrss << 10
}
