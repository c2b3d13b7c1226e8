package services_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/adapter/services"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

// closing is a stand-in that ends with the test.
type closing interface {
	contracttest.StandIn
	Close()
}

// starting turns a start function into one for a table.
func starting[Started closing](start func(context.Context) (Started, error)) func(*testing.T) contracttest.StandIn {
	return func(t *testing.T) contracttest.StandIn {
		t.Helper()
		started, err := start(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(started.Close)
		return started
	}
}

func TestScorerWithStandIn(t *testing.T) {
	contracttest.RunPairing(t, contracttest.Pairing{
		Start: starting(func(ctx context.Context) (*standin.Scorer, error) {
			return standin.StartScorer(ctx, standin.ScorerConfig{})
		}),
		Dial: func(address string) func(context.Context, int) error {
			scorer := services.NewScorer(newHTTP(t), "http://"+address, 0)
			return func(ctx context.Context, number int) error {
				text := fmt.Sprint("text ", number)
				reward, err := scorer.Score(ctx, sampleID(number), "prompt", text)
				if want := standin.RewardOf("prompt", text); err == nil && reward != want {
					return fmt.Errorf("reward %g, want %g", reward, want)
				}
				return err
			}
		},
		Lacks: []standin.FaultKind{standin.FaultMix},
	})
}

func TestMachineListWithStandIn(t *testing.T) {
	const listed = "127.0.0.1:80"
	contracttest.RunPairing(t, contracttest.Pairing{
		Start: starting(func(ctx context.Context) (*standin.MachineList, error) {
			return standin.StartMachineList(ctx, standin.MachineListConfig{Live: []string{listed}})
		}),
		Dial: func(address string) func(context.Context, int) error {
			list := services.NewMachineList(newHTTP(t), "http://"+address, 0)
			return func(ctx context.Context, _ int) error {
				machines, err := list.Machines(ctx)
				if err == nil && (len(machines) != 1 || machines[0].Address != listed || machines[0].State != port.MachineLive) {
					return fmt.Errorf("machines %v", machines)
				}
				return err
			}
		},
		Lacks: []standin.FaultKind{standin.FaultLate, standin.FaultCut, standin.FaultMix},
	})
}

func TestPromptSourceWithStandIn(t *testing.T) {
	contracttest.RunPairing(t, contracttest.Pairing{
		Start: starting(func(ctx context.Context) (*standin.Trainer, error) {
			return standin.StartTrainer(ctx, standin.TrainerConfig{})
		}),
		Dial: func(address string) func(context.Context, int) error {
			source := services.NewPromptSource(newHTTP(t), "http://"+address, 0)
			return func(ctx context.Context, number int) error {
				from := port.PromptIndex(10 * number)
				prompts, err := source.Prompts(ctx, from, 2)
				if err == nil && (len(prompts) != 2 || prompts[0] != (standin.PromptConfig{}).Prompt(from)) {
					return fmt.Errorf("prompts %v", prompts)
				}
				return err
			}
		},
		Lacks: []standin.FaultKind{standin.FaultLate, standin.FaultCut, standin.FaultMix},
	})
}
