package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

func TestHTTPCallersAndTrainer(t *testing.T) {
	f := newFleet(t)
	scorer, store, backEnd := startScorer(t), startStore(t), startApplication(t)
	prompts := startPrompts(t)
	sampled := pool("lm", port.PoolGeneration)
	sampled.Sampling = sampling(prompts.URL(), scorer.URL(), store.URL())
	f.control.configure(t,
		port.Edit{PutPool: sampled}, port.Edit{PutPool: pool("pages", port.PoolApplication)},
		replica("e0", "lm", "z1", startEngine(t).Addr()), replica("e1", "lm", "z1", startEngine(t).Addr()),
		replica("p0", "pages", "z1", backEnd.Addr()))
	var bases []string
	for _, id := range []port.NodeID{"n1", "n2"} {
		bases = append(bases, "http://"+f.start(id, "z1").HTTPAddress())
	}
	f.waitForNodes()
	trainer, err := standin.StartTrainer(context.Background(), standin.TrainerConfig{
		Nodes: bases, Pool: "lm", StepTime: 20 * time.Millisecond, MaxSteps: 5, WeightBytes: 1 << 16,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(trainer.Close)
	eventually(t, "five steps of the trainer", func() bool { return trainer.Stats().Steps >= 5 })

	request, err := http.NewRequest(http.MethodPost, bases[0]+api.PathCompletions,
		strings.NewReader(`{"model":"lm","prompt":"a caller's prompt","max_tokens":32,"stream":true}`))
	if err != nil {
		t.Fatal(err)
	}
	body := sendRequest(t, request, http.StatusOK)
	if !strings.Contains(body, "[DONE]") {
		t.Errorf("the stream has no final event: %s", body)
	}
	request, err = http.NewRequest(http.MethodGet, bases[1]+api.PathApplication+"pages/read?call=one", nil)
	if err != nil {
		t.Fatal(err)
	}
	sendRequest(t, request, http.StatusOK)
}

// sendRequest sends a request, checks the status and returns the body of the response.
func sendRequest(t *testing.T, request *http.Request, status int) string {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != status {
		t.Fatalf("status %d, error %v: %s", response.StatusCode, err, body)
	}
	return string(body)
}
