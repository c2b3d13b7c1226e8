package contracttest_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/contracttest"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

func startEngine(t *testing.T, config standin.EngineConfig) *standin.Engine {
	t.Helper()
	config.TimeScale = 50
	config.Lengths = engine.Lengths{Median: 8, Sigma: 0.01, Max: 8}
	started, err := standin.StartEngine(context.Background(), config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

// TestStandInsKeepTheServersContract runs the table that the servers of the
// product run.
func TestStandInsMeetServerContract(t *testing.T) {
	target := startEngine(t, standin.EngineConfig{})
	scorer, err := standin.StartScorer(context.Background(), standin.ScorerConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(scorer.Close)
	calls := []struct {
		name, address, path, body string
		ran                       func() int
	}{
		{"completion", target.Addr(), api.PathCompletions, `{"model":"lm","prompt":"p","max_tokens":8,"stream":true}`,
			func() int { return len(target.Observations().Generations) }},
		{"order", target.Addr(), api.PathEngineOrders, `{"kind":"set_role","fence":1,"role":"both"}`,
			func() int { return int(loadOf(t, target).Fence) }},
		{"score", scorer.Addr(), api.PathScore, `{"sample_id":"s-lm-1-1","prompt":"p","text":"t"}`, nil},
	}
	for _, call := range calls {
		t.Run(call.name, func(t *testing.T) {
			contracttest.RunServer(t, contracttest.Endpoint{
				Address: call.address, Method: http.MethodPost, Path: call.path, Body: call.body,
				BodyLimit: standin.MaxBodyBytes, Ran: call.ran,
			})
		})
	}
}

func loadOf(t *testing.T, target *standin.Engine) port.LoadReport {
	t.Helper()
	client := newEngineClient(t, target.Addr())
	report, err := client.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return report
}
