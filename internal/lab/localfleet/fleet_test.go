package localfleet_test

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
)

// patience bounds waiting for something that happens in a second or two.
const patience = time.Minute

func startFleet(t *testing.T, plan localfleet.Plan) (*localfleet.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// untilSteps waits until every trainer has done a number of further steps.
func untilSteps(t *testing.T, ctx context.Context, fleet *localfleet.Fleet, steps int) {
	t.Helper()
	for _, trainer := range fleet.Trainers() {
		wanted := trainer.Stats().Steps + steps
		for trainer.Stats().Steps < wanted {
			select {
			case <-ctx.Done():
				t.Fatalf("trainer %s: %+v, want %d steps", trainer.Addr(), trainer.Stats(), wanted)
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
			untilSteps(t, ctx, fleet, 3)
			for _, violation := range fleet.Audit() {
				t.Error(violation)
			}
		})
	}
}
