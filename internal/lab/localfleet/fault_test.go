package localfleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

// faultPlan returns the dev site with shorter samples and training steps.
func faultPlan() localfleet.Plan {
	plan := localfleet.DevPlan()
	plan.Engines.Lengths.Median, plan.Engines.Lengths.Max = 40, 300
	plan.Trainers[0].Sampling.MaxTokens = 300
	plan.Trainers[0].StepTime = 200 * time.Millisecond
	return plan
}

// faultRun is a running fleet under load.
type faultRun struct {
	*localfleet.Fleet
	t      *testing.T
	ctx    context.Context
	result chan *load.Result
	stop   context.CancelFunc
}

func startFaultRun(t *testing.T) *faultRun {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	fleet, err := localfleet.Start(ctx, faultPlan(), localfleet.Options{
		Intervals: node.Intervals{CoordinatorLease: 3 * time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	arrivals, stop := context.WithCancel(ctx)
	run := &faultRun{Fleet: fleet, t: t, ctx: ctx, result: make(chan *load.Result, 1), stop: stop}
	go func() {
		run.result <- load.Run(arrivals, load.Config{
			Targets: fleet.NodeURLs(), Classes: fleet.Plan().Callers, Seed: 1, Duration: testTimeout,
		})
	}()
	return run
}

// finish stops the load and checks the observations of stand-ins and callers.
func (r *faultRun) finish() {
	r.t.Helper()
	r.stop()
	result := <-r.result
	answered := 0
	for _, class := range result.Classes() {
		answered += class.Outcomes[audit.OutcomeAnswered]
	}
	if answered == 0 {
		r.t.Error("no request was answered")
	}
	for _, violation := range r.Audit(result.Observations()) {
		r.t.Error(violation)
	}
}

func (r *faultRun) must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

func (r *faultRun) coordinator() int {
	r.t.Helper()
	index, err := r.Coordinator(r.ctx, r.Plan().Trainers[0].Pool)
	r.must(err)
	return index
}

// fault is a fault to apply to a running fleet. inject may return before the fault ends.
type fault struct {
	name   string
	inject func(r *faultRun)
}

func faults() []fault {
	const secondMs = 1000
	return []fault{
		{"control leader restarted", func(r *faultRun) {
			leader, err := r.Leader(r.ctx)
			r.must(err)
			r.must(r.KillMember(leader))
			waitSteps(r.t, r.ctx, r.Fleet, 1)
			r.must(r.RestartMember(leader))
		}},
		{"coordinator node killed", func(r *faultRun) { r.KillNode(r.coordinator()) }},
		{"coordinator node restarted", func(r *faultRun) {
			lost := r.coordinator()
			r.KillNode(lost)
			r.must(r.RestartNode(lost))
		}},
		{"node without the coordinator lease killed", func(r *faultRun) { r.KillNode((r.coordinator() + 1) % r.Nodes()) }},
		{"node drained", func(r *faultRun) { r.must(r.DrainNode(r.ctx, r.coordinator())) }},
		{"engine crash in the middle of streams", func(r *faultRun) {
			r.must(r.Engine(0).Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: secondMs}))
		}},
		{"engine responses cut off", func(r *faultRun) {
			r.must(r.Engine(1).Inject(standin.Fault{Kind: standin.FaultCut, Count: 20}))
		}},
		{"swap fails partway", func(r *faultRun) {
			r.must(r.Engine(2).Inject(standin.Fault{Kind: standin.FaultSwapFails, Count: 1}))
		}},
		{"trainer restarted", func(r *faultRun) {
			r.must(r.Trainers()[0].Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: secondMs / 2}))
		}},
		// Guards against a duplicate request that receives a batch beyond the staleness bound
		// after the trainer has published.
		{"trainer repeats a pending and an acknowledged request", func(r *faultRun) {
			r.must(r.Trainers()[0].Inject(standin.Fault{Kind: standin.FaultDuplicateRequest, Count: 2}))
			r.must(r.Trainers()[0].Inject(standin.Fault{Kind: standin.FaultRepeatPrevious, Count: 2}))
		}},
		{"scorer down", func(r *faultRun) {
			r.must(r.Scorer().Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: secondMs}))
		}},
		{"weight store down", func(r *faultRun) {
			r.must(r.Weights().Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: secondMs}))
		}},
		{"machine list rejects requests, then lists an engine as leaving", func(r *faultRun) {
			r.must(r.Machines().Inject(standin.Fault{Kind: standin.FaultRefuse, DurationMs: secondMs}))
			r.Machines().Set(r.Engine(3).Addr(), port.MachineLeaving)
		}},
		{"publications race commits", func(r *faultRun) {
			pool := r.Plan().Trainers[0].Pool
			version := port.WeightVersion(r.Trainers()[0].Stats().Version)
			for offset := range port.WeightVersion(20) {
				// Rejected if the trainer has already published the version.
				_ = r.Propose(r.ctx, port.Command{PublishWeights: &port.PublishWeights{
					Pool: pool, Version: version + 1 + offset, Bytes: 1 << 20,
				}})
				time.Sleep(20 * time.Millisecond)
			}
		}},
		{"coordinator, leader and an engine at once", func(r *faultRun) {
			leader, err := r.Leader(r.ctx)
			r.must(err)
			r.must(r.KillMember(leader))
			r.KillNode(r.coordinator())
			r.must(r.Engine(0).Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: secondMs}))
		}},
	}
}

// fleetSlots limits the number of concurrent fleets: each lease renewal syncs three
// logs, and leases expire if too many fleets share the disk.
var fleetSlots = make(chan struct{}, 4)

// TestFaultsInOneProcess applies one fault at a time to a running fleet. The audit must
// find no violation, and the trainer must continue.
func TestFaultsInOneProcess(t *testing.T) {
	for _, applied := range faults() {
		t.Run(applied.name, func(t *testing.T) {
			t.Parallel()
			fleetSlots <- struct{}{}
			defer func() { <-fleetSlots }()
			run := startFaultRun(t)
			waitSteps(t, run.ctx, run.Fleet, 2)
			applied.inject(run)
			waitSteps(t, run.ctx, run.Fleet, 3)
			run.finish()
		})
	}
}
