package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// startPrompts starts a trainer that only serves prompts.
func startPrompts(t *testing.T) *standin.Trainer {
	t.Helper()
	started, err := standin.StartTrainer(context.Background(), standin.TrainerConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func startScorer(t *testing.T) *standin.Scorer {
	t.Helper()
	started, err := standin.StartScorer(context.Background(), standin.ScorerConfig{ServiceTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func startStore(t *testing.T) *standin.WeightStore {
	t.Helper()
	started, err := standin.StartWeightStore(context.Background(), standin.WeightStoreConfig{Bytes: 1 << 16})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

// trainer requests batches from any node and records their samples.
type trainer struct {
	t        *testing.T
	fleet    *fleet
	pool     port.PoolName
	epoch    port.Epoch
	version  port.WeightVersion
	received map[string]port.BatchNumber
	prompts  map[port.PromptIndex]port.BatchNumber
	samples  int
}

func newTrainer(t *testing.T, f *fleet, poolName port.PoolName) *trainer {
	t.Helper()
	r := &trainer{
		t: t, fleet: f, pool: poolName,
		received: make(map[string]port.BatchNumber), prompts: make(map[port.PromptIndex]port.BatchNumber),
	}
	r.register()
	return r
}

func (r *trainer) register() {
	r.t.Helper()
	eventually(r.t, "the trainer to be registered", func() bool {
		consumer, err := r.anyNode().RegisterConsumer(context.Background(), port.RegisterConsumer{Pool: r.pool, Consumer: "trainer"})
		r.epoch = consumer.Epoch
		return err == nil
	})
}

func (r *trainer) anyNode() *node.Node {
	for _, started := range r.fleet.nodes {
		return started
	}
	r.t.Fatal("no node is running")
	return nil
}

func (r *trainer) publish(version port.WeightVersion) {
	r.t.Helper()
	r.version = version
	eventually(r.t, "weights to be published", func() bool {
		result, err := r.anyNode().PublishWeights(context.Background(), "", port.PublishWeights{
			Pool: r.pool, Version: version, Bytes: 1 << 16, ConsumerEpoch: r.epoch,
		})
		return err == nil && result.Error == nil
	})
}

// train requests a batch until it is delivered, and checks and records its samples.
func (r *trainer) train(number port.BatchNumber) {
	r.t.Helper()
	var batch api.Batch
	var last error
	defer func() {
		if r.t.Failed() {
			r.t.Logf("last error of batch %d: %v", number, last)
		}
	}()
	eventually(r.t, "a batch", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var err error
		batch, err = r.anyNode().Batch(ctx, r.pool, number, r.epoch, 1000)
		if err != nil {
			last = err
		}
		return err == nil
	})
	for _, sample := range batch.Samples {
		if earlier, twice := r.received[sample.ID]; twice {
			r.t.Errorf("sample %s is in batches %d and %d", sample.ID, earlier, number)
		}
		if earlier, known := r.prompts[sample.Prompt.Index]; known && earlier != number {
			r.t.Errorf("prompt %d is in batches %d and %d", sample.Prompt.Index, earlier, number)
		}
		r.received[sample.ID] = number
		r.prompts[sample.Prompt.Index] = number
		r.samples++
		oldest := port.OldestVersion(sample.Spans)
		if oldest == 0 || oldest+4 < r.version {
			r.t.Errorf("sample %s has version %d, the current one is %d", sample.ID, oldest, r.version)
		}
	}
}

func (r *trainer) check(samples int) {
	r.t.Helper()
	if r.samples != samples {
		r.t.Errorf("%d samples, want %d", r.samples, samples)
	}
}
