package engineclient_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/adapter/engineclient"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

const standInTokens = 24

func startEngine(t *testing.T) contracttest.StandIn {
	t.Helper()
	started, err := standin.StartEngine(context.Background(), standin.EngineConfig{
		TimeScale: 50, Lengths: engine.Lengths{Median: standInTokens, Sigma: 0.01, Max: standInTokens},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func TestGenerateWithStandIn(t *testing.T) {
	contracttest.RunPairing(t, contracttest.Pairing{
		Start: startEngine,
		Dial: func(address string) func(context.Context, int) error {
			client := newClient(t, address)
			return func(ctx context.Context, number int) error { return generateAndCheck(ctx, client, number) }
		},
	})
}

// generateAndCheck compares the tokens of the spans with the length of the text.
func generateAndCheck(ctx context.Context, client *engineclient.Client, number int) error {
	text, tokens, finish := 0, 0, port.FinishReason("")
	request := port.GenerateRequest{ID: requestID(number), Pool: "lm", Prompt: fmt.Sprint("prompt ", number), MaxTokens: 2 * standInTokens}
	err := client.Generate(ctx, request, func(chunk port.GenerateChunk) error {
		text, tokens, finish = text+len(chunk.Text), tokens+chunk.Tokens, chunk.Finish
		return nil
	})
	if err != nil {
		return err
	}
	if text != tokens*engine.BytesPerToken || tokens == 0 || finish != port.FinishStop {
		return fmt.Errorf("%d bytes of text, %d tokens, finish %q", text, tokens, finish)
	}
	return nil
}

// TestControlCallsWithStandIn runs control calls with all faults except
// those of streams.
func TestControlCallsWithStandIn(t *testing.T) {
	calls := map[string]func(ctx context.Context, client *engineclient.Client, number int) error{
		"load": func(ctx context.Context, client *engineclient.Client, _ int) error {
			report, err := client.Load(ctx)
			if err == nil && report.Version != 1 {
				return fmt.Errorf("report %+v", report)
			}
			return err
		},
		"order": func(ctx context.Context, client *engineclient.Client, number int) error {
			order := port.Order{Kind: port.OrderSetRole, Fence: port.Epoch(number + 1), Role: port.RoleBoth}
			report, err := client.Order(ctx, order)
			if err == nil && report.Fence != order.Fence {
				return fmt.Errorf("report %+v", report)
			}
			return err
		},
		"cache events": func(ctx context.Context, client *engineclient.Client, _ int) error {
			// A started engine has an empty cache, which appears as a gap.
			events, gap, err := client.CacheEvents(ctx, 0)
			if err == nil && (len(events) > 0 || !gap) {
				return fmt.Errorf("events %v, gap %v from a new engine", events, gap)
			}
			return err
		},
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			contracttest.RunPairing(t, contracttest.Pairing{
				Start: func(t *testing.T) contracttest.StandIn { return withoutStreamFaults{startEngine(t)} },
				Dial: func(address string) func(context.Context, int) error {
					client := newClient(t, address)
					return func(ctx context.Context, number int) error { return call(ctx, client, number) }
				},
				UnsupportedFaults: []standin.FaultKind{standin.FaultLate, standin.FaultCut, standin.FaultMix},
			})
		})
	}
}

// withoutStreamFaults rejects the faults that affect only an engine's streams.
type withoutStreamFaults struct{ contracttest.StandIn }

func (s withoutStreamFaults) Inject(fault standin.Fault) error {
	switch fault.Kind {
	case standin.FaultLate, standin.FaultCut, standin.FaultMix:
		return &standin.FaultError{Kind: fault.Kind}
	default:
		return s.StandIn.Inject(fault)
	}
}

// TestStandInFencing sends delayed, repeated and reordered orders.
func TestStandInFencing(t *testing.T) {
	client := newClient(t, startEngine(t).Addr())
	steps := []struct {
		name  string
		order port.Order
		code  port.Code
		fence port.Epoch
	}{
		{"first", port.Order{Kind: port.OrderSetRole, Fence: 5, Role: port.RoleBoth}, "", 5},
		{"repeated", port.Order{Kind: port.OrderSetRole, Fence: 5, Role: port.RoleBoth}, "", 5},
		{"delayed, with an old fence", port.Order{Kind: port.OrderSetRole, Fence: 4, Role: port.RolePrefill}, port.CodeFenced, 5},
		{"newer", port.Order{Kind: port.OrderSetRole, Fence: 7, Role: port.RoleBoth}, "", 7},
		{"activation of a version not staged", port.Order{Kind: port.OrderActivate, Fence: 7, Version: 9}, port.CodeConflict, 7},
		{"unknown order", port.Order{Kind: "dance", Fence: 8}, port.CodeInvalid, 7},
	}
	for _, step := range steps {
		report, err := client.Order(t.Context(), step.order)
		if step.code != "" {
			if failure := port.AsError(err); failure == nil || failure.Code != step.code || failure.Verdict != port.NotRun {
				t.Errorf("%s: %v, want %s and not run", step.name, err, step.code)
			}
			continue
		}
		if err != nil || report.Fence != step.fence {
			t.Errorf("%s: fence %d, error %v; want fence %d", step.name, report.Fence, err, step.fence)
		}
	}
	if report, err := client.Load(t.Context()); err != nil || report.Role != port.RoleBoth || report.Fence != 7 {
		t.Errorf("final report: %+v, %v", report, err)
	}
}
