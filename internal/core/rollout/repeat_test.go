package rollout_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/rollout"
	"github.com/loomgrade/loomgrade/internal/port"
)

func TestAcceptedOrdersAreRepeated(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, f *fleet)
	}{
		{"an order is repeated before the next load report", func(t *testing.T, f *fleet) {
			f.publish(2)
			for range 10 * int(stageTime/time.Second) {
				f.now = f.now.Add(100 * time.Millisecond)
				f.finishLoads()
				f.step(rollout.Tick{})
			}
			f.step(rollout.Tick{})
			if !allServe(f, 2) || len(f.completed) != 1 || f.count(f.engines[0], port.OrderStage) != 1 {
				t.Fatalf("versions %v, completed %+v", f.versions(), f.completed)
			}
		}},
		{"a failed repetition does not undo an accepted order", func(t *testing.T, f *fleet) {
			f.publish(2)
			f.engines[0].losesAnswers = true
			f.run(2 * time.Second)
			f.engines[0].losesAnswers = false
			f.run(stageTime)
			if !allServe(f, 2) || !f.engines[0].routed || f.count(f.engines[0], port.OrderStage) != 1 {
				t.Fatalf("versions %v routed %v", f.versions(), f.engines[0].routed)
			}
		}},
		{"a load that always aborts is restarted with increasing intervals", func(t *testing.T, f *fleet) {
			f.engines[0].abortsLoads = true
			f.publish(2)
			for range 600 {
				f.now = f.now.Add(100 * time.Millisecond)
				f.step(rollout.Tick{})
			}
			if loads := f.engines[0].loads; loads < 12 || loads > 75 {
				t.Fatalf("%d loads in a minute, want 12 to 75", loads)
			}
			f.engines[0].abortsLoads = false
			f.run(10*time.Second + 2*stageTime)
			if !allServe(f, 2) {
				t.Fatalf("versions %v", f.versions())
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) { test.run(t, newFleet(t, rollout.Config{}, 3)) })
	}
}
