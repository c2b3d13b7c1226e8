package coordinator_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// largeCoordinator returns a coordinator with all samples of a large batch running, and
// their start actions.
func largeCoordinator(b *testing.B, samples, replicas int) (*coordinator.Coordinator, []coordinator.StartSample) {
	b.Helper()
	created, err := coordinator.New(coordinator.Config{
		Pool: poolName, Epoch: 1, LeaseUntil: start.Add(time.Hour), Weights: port.PublishedWeights{Version: 1},
		Sampling: port.Sampling{StalenessBound: 4, BatchSamples: samples, GroupSize: 8, MaxTokens: 1 << 20, BufferBatches: 1},
	})
	if err != nil {
		b.Fatal(err)
	}
	loads := make([]policy.Replica, replicas)
	for index := range loads {
		loads[index] = policy.Replica{ID: "replica", Zone: "zone-a", Version: 1, Running: 1, Limit: samples/replicas + 1}
	}
	var starts []coordinator.StartSample
	pending := []coordinator.Event{coordinator.CapacityChanged{Replicas: loads}, coordinator.Tick{}}
	for len(pending) > 0 {
		event := pending[0]
		pending = pending[1:]
		for _, action := range created.Step(start, event) {
			switch action := action.(type) {
			case coordinator.FetchPrompts:
				pending = append(pending, coordinator.PromptsArrived{From: action.From, Prompts: prompts(action.From, action.Count)})
			case coordinator.StartSample:
				starts = append(starts, action)
			}
		}
	}
	if len(starts) != samples {
		b.Fatalf("%d samples running, want %d", len(starts), samples)
	}
	return created, starts
}

const (
	largeBatch    = 8192
	largeReplicas = 250
)

func BenchmarkStepProgress(b *testing.B) {
	c, starts := largeCoordinator(b, largeBatch, largeReplicas)
	spans := []port.Span{{Version: 1, Tokens: 64}}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		run := starts[index%len(starts)]
		c.Step(start, coordinator.SampleProgress{ID: run.ID, Attempt: 1, Replica: "replica", Tokens: 64, Spans: spans})
	}
}

func BenchmarkStepTick(b *testing.B) {
	c, _ := largeCoordinator(b, largeBatch, largeReplicas)
	b.ReportAllocs()
	for b.Loop() {
		c.Step(start, coordinator.Tick{})
	}
}

// BenchmarkBatch processes a batch from running samples to delivery and reports the
// time per sample for all of its events.
func BenchmarkBatch(b *testing.B) {
	spans := []port.Span{{Version: 1, Tokens: 64}}
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		c, starts := largeCoordinator(b, largeBatch, largeReplicas)
		c.Step(start, coordinator.LedgerRead{State: port.LedgerState{Consumer: port.Consumer{Epoch: 1, Next: 1}}})
		b.StartTimer()
		deliver(b, c, starts, spans)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/largeBatch, "ns/sample")
}

func deliver(b *testing.B, c *coordinator.Coordinator, starts []coordinator.StartSample, spans []port.Span) {
	for _, run := range starts {
		c.Step(start, coordinator.SampleFinished{ID: run.ID, Attempt: 1, Replica: "replica", Text: "text", Tokens: 64, Spans: spans})
		c.Step(start, coordinator.Scored{ID: run.ID, Reward: 1})
	}
	for _, action := range c.Step(start, coordinator.BatchRequested{Token: 1, Number: 1, ConsumerEpoch: 1, Deadline: start.Add(time.Minute)}) {
		commit, isCommit := action.(coordinator.Commit)
		if !isCommit {
			continue
		}
		for _, answer := range c.Step(start, coordinator.CommitAnswered{ChangeID: commit.ChangeID, Number: 1, Attempt: 1}) {
			if _, delivered := answer.(coordinator.Deliver); delivered {
				return
			}
		}
	}
	b.Fatal("no delivery")
}

// BenchmarkMemory reports the heap size per sample in flight, without text.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c, starts := largeCoordinator(b, largeBatch, largeReplicas)
		count := len(starts)
		starts = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "B/sample")
		runtime.KeepAlive(c)
		runtime.KeepAlive(starts)
	}
}
