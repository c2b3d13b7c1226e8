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

// faultPlan is the dev site with fewer tokens, so that steps follow each other
// fast.
func faultPlan() localfleet.Plan {
	plan := localfleet.DevPlan()
	plan.Engines.Lengths.Median, plan.Engines.Lengths.Max = 40, 300
	plan.Trainers[0].Sampling.MaxTokens = 300
	plan.Trainers[0].StepTime = 200 * time.Millisecond
	return plan
}

// faultRun is a fleet under load with a fault in it.
type faultRun struct {
	*localfleet.Fleet
	t      *testing.T
	ctx    context.Context
	result chan *load.Result
	stop   context.CancelFunc
}

func startFaultRun(t *testing.T) *faultRun {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
			Targets: fleet.NodeURLs(), Classes: fleet.Plan().Callers, Seed: 1, Duration: patience,
		})
	}()
	return run
}

// finish ends the load and judges the run by what the stand-ins and callers saw.
func (r *faultRun) finish() {
	r.t.Helper()
	r.stop()
	result := <-r.result
	answered := 0
	for _, class := range result.Classes() {
		answered += class.Outcomes[audit.OutcomeAnswered]
	}
	if answered == 0 {
		r.t.Error("no caller was answered")
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

// fault is one disturbance; its act returns once it is over or on its way.
type fault struct {
	name string
	act  func(r *faultRun)
}

func faults() []fault {
	const second = 1000
	return []fault{
		{"control leader restarted", func(r *faultRun) {
			leader, err := r.Leader(r.ctx)
			r.must(err)
			r.must(r.KillMember(leader))
			untilSteps(r.t, r.ctx, r.Fleet, 1)
			r.must(r.RestartMember(leader))
		}},
		{"node with the coordinator lease lost", func(r *faultRun) { r.KillNode(r.coordinator()) }},
		{"node with the coordinator lease restarted", func(r *faultRun) {
			lost := r.coordinator()
			r.KillNode(lost)
			r.must(r.RestartNode(lost))
		}},
		{"home node without the lease lost", func(r *faultRun) { r.KillNode((r.coordinator() + 1) % r.Nodes()) }},
		{"node drained", func(r *faultRun) { r.must(r.DrainNode(r.ctx, r.coordinator())) }},
		{"engine crash in the middle of streams", func(r *faultRun) {
			r.must(r.Engine(0).Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: second}))
		}},
		{"engine answers cut off", func(r *faultRun) {
			r.must(r.Engine(1).Inject(standin.Fault{Kind: standin.FaultCut, Count: 20}))
		}},
		{"swap fails partway", func(r *faultRun) {
			r.must(r.Engine(2).Inject(standin.Fault{Kind: standin.FaultSwapFails, Count: 1}))
		}},
		{"trainer restarted", func(r *faultRun) {
			r.must(r.Trainers()[0].Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: second / 2}))
		}},
		// The trainer went on from one answer, published, and was sent the same batch in answer to
		// its other question: three versions old where two are allowed. The node let it go by a
		// state of the ledger that was from before the publication and came up to 0.37 s later,
		// after it; the lines "delivered" name the version known and since when, the audit names
		// when the head of that answer came. A question beside an answered one gets no copy now,
		// and the coordinator is told of a publication before the log is.
		{"trainer asks twice and for what it acknowledged", func(r *faultRun) {
			r.must(r.Trainers()[0].Inject(standin.Fault{Kind: standin.FaultDuplicateRequest, Count: 2}))
			r.must(r.Trainers()[0].Inject(standin.Fault{Kind: standin.FaultRepeatPrevious, Count: 2}))
		}},
		{"scorer down", func(r *faultRun) {
			r.must(r.Scorer().Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: second}))
		}},
		{"weight store down", func(r *faultRun) {
			r.must(r.Weights().Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: second}))
		}},
		{"machine list refuses, then shows an engine leaving", func(r *faultRun) {
			r.must(r.Machines().Inject(standin.Fault{Kind: standin.FaultRefuse, DurationMs: second}))
			r.Machines().Set(r.Engine(3).Addr(), port.MachineLeaving)
		}},
		{"publications race commits", func(r *faultRun) {
			pool := r.Plan().Trainers[0].Pool
			version := port.WeightVersion(r.Trainers()[0].Stats().Version)
			for offset := range port.WeightVersion(20) {
				// One that the trainer was faster with is refused.
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
			r.must(r.Engine(0).Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: second}))
		}},
	}
}

// sideBySide bounds the fleets that run at a time: each syncs three logs for every
// renewal of a lease, and a disk that all wait for takes the leases away.
var sideBySide = make(chan struct{}, 4)

// TestFaultsInOneProcess disturbs a running fleet in one way after the other. The
// verdict is the audit's alone; the trainer has to go on afterwards.
func TestFaultsInOneProcess(t *testing.T) {
	for _, disturbance := range faults() {
		t.Run(disturbance.name, func(t *testing.T) {
			t.Parallel()
			sideBySide <- struct{}{}
			defer func() { <-sideBySide }()
			run := startFaultRun(t)
			untilSteps(t, run.ctx, run.Fleet, 2)
			disturbance.act(run)
			untilSteps(t, run.ctx, run.Fleet, 3)
			run.finish()
		})
	}
}
