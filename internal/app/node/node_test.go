package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

func call(n interface {
	Application(context.Context, port.ApplicationRequest) (port.ApplicationResponse, error)
}, name string, safe bool) (port.ApplicationResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return n.Application(ctx, port.ApplicationRequest{
		Pool: "pages", Method: "POST", Path: "/read?" + standin.QueryCall + "=" + name, Safe: safe,
	})
}

func TestApplicationCall(t *testing.T) {
	fleet := newFleet(t)
	backEnd := startApplication(t)
	fleet.control.configure(t, port.Edit{PutPool: pool("pages", port.PoolApplication)}, replica("p1", "pages", "z1", backEnd.Addr()))
	first := fleet.start("n1", "z1")
	fleet.waitForNodes()
	response, err := call(first, "one", true)
	if err != nil || response.Status != 200 {
		t.Fatalf("status %d, error %v", response.Status, err)
	}
	if runs := len(backEnd.Observations().Executions); runs != 1 {
		t.Errorf("%d runs", runs)
	}
}

// complete generates one completion and returns its text and token count.
func complete(n interface {
	Generate(context.Context, port.GenerateRequest, func(port.GenerateChunk) error) error
}, prompt string, safe bool) (text string, tokens int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	err = n.Generate(ctx, port.GenerateRequest{Pool: "lm", Prompt: prompt, MaxTokens: 200, Safe: safe},
		func(chunk port.GenerateChunk) error {
			text += chunk.Text
			tokens += chunk.Tokens
			return nil
		})
	return text, tokens, err
}

func TestGenerationThroughHomes(t *testing.T) {
	fleet := newFleet(t)
	edits := []port.Edit{{PutPool: pool("lm", port.PoolGeneration)}}
	var engines []*standin.Engine
	for number := range 4 {
		started := startEngine(t)
		engines = append(engines, started)
		zone := port.ZoneName(fmt.Sprintf("z%d", number%2+1))
		edits = append(edits, replica(port.ReplicaID(fmt.Sprintf("e%d", number)), "lm", zone, started.Addr()))
	}
	fleet.control.configure(t, edits...)
	for number := range 4 {
		fleet.start(port.NodeID(fmt.Sprintf("n%d", number)), port.ZoneName(fmt.Sprintf("z%d", number%2+1)))
	}
	fleet.waitForNodes()
	for _, started := range fleet.nodes {
		eventually(t, "a completion", func() bool {
			_, tokens, err := complete(started, "prompt for "+string(started.ID()), true)
			return err == nil && tokens > 0
		})
	}
	runs := 0
	for _, started := range engines {
		runs += len(started.Observations().Generations)
	}
	if runs != len(fleet.nodes) {
		t.Errorf("%d runs for %d completions", runs, len(fleet.nodes))
	}
}

func TestCoordinatorDeliversToATrainer(t *testing.T) {
	fleet := newFleet(t)
	prompts := startPrompts(t)
	scorer := startScorer(t)
	store := startStore(t)
	sampled := pool("lm", port.PoolGeneration)
	sampled.Sampling = sampling(prompts.URL(), scorer.URL(), store.URL())
	edits := []port.Edit{{PutPool: sampled}}
	for number := range 2 {
		edits = append(edits, replica(port.ReplicaID(fmt.Sprintf("e%d", number)), "lm", "z1", startEngine(t).Addr()))
	}
	fleet.control.configure(t, edits...)
	for number := range 3 {
		fleet.start(port.NodeID(fmt.Sprintf("n%d", number)), "z1")
	}
	fleet.waitForNodes()
	trainer := newTrainer(t, fleet, "lm")
	trainer.publish(1)
	for number := range 3 {
		trainer.train(port.BatchNumber(number + 1))
		trainer.publish(port.WeightVersion(number + 2))
	}
	trainer.check(3 * sampled.Sampling.BatchSamples)
}

// A node that knows the others but has no configuration refuses every call and must
// not report that it is ready.
func TestReadyOnlyWithAConfiguration(t *testing.T) {
	fleet := newFleet(t)
	started := fleet.start("n1", "z1")
	fleet.waitForNodes()
	if view := started.View(); view.Position == 0 || started.Ready() {
		t.Fatalf("ready is %v at position %d, without a configuration", started.Ready(), view.Position)
	}
	fleet.control.configure(t, port.Edit{PutPool: pool("pages", port.PoolApplication)})
	eventually(t, "the node to be ready", started.Ready)
}

// Close must wait for the control goroutine first, and then for the work that it
// started. The race detector reports a violation.
func TestCloseWaitsForControllerBeforeWork(t *testing.T) {
	f := newFleet(t)
	f.control.configure(t, port.Edit{PutPool: pool("app", port.PoolApplication)})
	for range 40 {
		started, err := node.Start(context.Background(), node.Config{
			ID: "n0", Zone: "z1", HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
			Control: &controlHandle{control: f.control}, Seed: 1,
			Intervals: node.Intervals{Tick: 100 * time.Microsecond, Report: 100 * time.Microsecond},
		})
		if err != nil {
			t.Fatal(err)
		}
		started.Close()
	}
}
