package localfleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
)

// testTimeout limits each test run.
const testTimeout = time.Minute

func startFleet(t *testing.T, plan localfleet.Plan) (*localfleet.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	fleet, err := localfleet.Start(ctx, plan, localfleet.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fleet.Close(); err != nil {
			t.Error(err)
		}
	})
	return fleet, ctx
}

// waitSteps waits until every trainer has completed steps more steps.
func waitSteps(t *testing.T, ctx context.Context, fleet *localfleet.Fleet, steps int) {
	t.Helper()
	for _, trainer := range fleet.Trainers() {
		wantSteps := trainer.Stats().Steps + steps
		for trainer.Stats().Steps < wantSteps {
			select {
			case <-ctx.Done():
				t.Fatalf("trainer %s: %+v, want %d steps", trainer.Addr(), trainer.Stats(), wantSteps)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
}

func TestSamplesReachEveryTrainer(t *testing.T) {
	plans := []localfleet.Plan{localfleet.DevPlan(), localfleet.InkwellPlan(), localfleet.MareaPlan()}
	for _, plan := range plans {
		t.Run(plan.Cluster, func(t *testing.T) {
			fleet, ctx := startFleet(t, plan)
			waitSteps(t, ctx, fleet, 3)
			for _, violation := range fleet.Audit() {
				t.Error(violation)
			}
		})
	}
}
