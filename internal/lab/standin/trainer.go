package standin

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// PathTrainerStats serves TrainerStats.
const PathTrainerStats = "/stats"

// Trainer simulates a trainer: it serves prompts, requests batches from loomgrade by
// number, trains on each for a set time and publishes weight versions.
type Trainer struct {
	*server
	config TrainerConfig
	client *http.Client

	mutex sync.Mutex
	stats TrainerStats
	epoch port.Epoch
	// begun is the newest version whose publication has been sent at least once.
	begun uint64
	// currentNode is the index of the node to call next.
	currentNode int
	// unpublishedSteps counts the steps since the last publication. Like the stats it is
	// part of the checkpoint.
	unpublishedSteps int
	run              context.Context // cancelled by a crash
	endRun           context.CancelFunc
}

// TrainerConfig describes a trainer.
type TrainerConfig struct {
	Common
	// Nodes are the base URLs of loomgrade's nodes, called in round-robin order.
	// Without nodes the trainer only serves prompts.
	Nodes []string
	Pool  string
	// Name is the consumer's name. Default "trainer".
	Name string
	// Token, if set, is sent as bearer token.
	Token string
	// Cluster, if set, is the id of the cluster that must serve the trainer.
	Cluster string
	// StepTime is the duration of a training step. Default 1 s.
	StepTime time.Duration
	// PublishEvery is the number of steps between publications. Default 1.
	PublishEvery int
	// FirstVersion is the initial weight version. Default 1.
	FirstVersion uint64
	// WeightBytes is the size of the weights in publications. Default 4 MiB.
	WeightBytes uint64
	// MaxSteps is the number of training steps; 0 means no limit.
	MaxSteps int
	// Wait is how long a node may block a batch request. Default 2 s.
	Wait time.Duration
	// ResponseGrace is how much longer than Wait a response may take before the trainer
	// retries. Default 10 s.
	ResponseGrace time.Duration
	Prompts       PromptConfig
	// Checkpoint lists the deliveries recorded by earlier processes, after which the
	// trainer resumes.
	Checkpoint []audit.Delivery
}

// TrainerStats summarizes a trainer's run.
type TrainerStats struct {
	Steps      int           `json:"steps"`
	Samples    int           `json:"samples"`
	Version    uint64        `json:"version"`
	NextBatch  uint64        `json:"next_batch"`
	Training   time.Duration `json:"training_ns"`
	Idle       time.Duration `json:"idle_ns"` // waiting for batches, except the first
	Publishing time.Duration `json:"publishing_ns"`
	LastError  string        `json:"last_error,omitempty"`
}

// IdleShare returns the share of time that the trainer waited for batches.
func (s TrainerStats) IdleShare() float64 {
	total := s.Training + s.Idle + s.Publishing
	if total == 0 {
		return 0
	}
	return float64(s.Idle) / float64(total)
}

// StartTrainer starts a trainer. It runs until ctx ends or Close is called.
func StartTrainer(ctx context.Context, config TrainerConfig) (*Trainer, error) {
	config.Name = cmp.Or(config.Name, "trainer")
	config.StepTime = cmp.Or(config.StepTime, time.Second)
	config.PublishEvery = cmp.Or(config.PublishEvery, 1)
	config.FirstVersion = cmp.Or(config.FirstVersion, 1)
	config.WeightBytes = cmp.Or(config.WeightBytes, 4<<20)
	config.Wait = cmp.Or(config.Wait, 2*time.Second)
	config.ResponseGrace = cmp.Or(config.ResponseGrace, 10*time.Second)
	config.Prompts.applyDefaults()
	t := &Trainer{config: config, client: httpcall.CheckedClient(&http.Transport{IdleConnTimeout: trainerIdleTimeout}, config.Wait+config.ResponseGrace)}
	t.stats.Version = config.FirstVersion
	t.restoreCheckpoint(config.Checkpoint)
	t.server = newServer(ctx, config.Common, FaultCrash, FaultHang, FaultSlow, FaultRefuse,
		FaultDuplicateRequest, FaultRepeatPrevious)
	t.inject = t.injectFault
	t.mux.HandleFunc("GET "+api.PathPrompts, func(w http.ResponseWriter, r *http.Request) {
		if !t.applyFaults(w, r) {
			config.Prompts.handlePrompts(w, r)
		}
	})
	t.mux.HandleFunc("GET "+PathTrainerStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Stats()) })
	t.run, t.endRun = context.WithCancel(t.ctx)
	if err := t.listen(config.Listen); err != nil {
		return nil, err
	}
	if len(config.Nodes) > 0 {
		t.startRun(t.run)
	}
	return t, nil
}

// restoreCheckpoint resumes after the last batch that was trained on. The next version may
// have been published already; publishing it again is harmless.
func (t *Trainer) restoreCheckpoint(deliveries []audit.Delivery) {
	for _, delivery := range deliveries {
		if !delivery.Trained || delivery.Batch < t.stats.NextBatch {
			continue
		}
		if uint64(delivery.Version) != t.stats.Version {
			t.stats.Version, t.unpublishedSteps = uint64(delivery.Version), 0
		}
		t.unpublishedSteps++
		t.stats.Steps++
		t.stats.Samples += len(delivery.Samples)
		t.stats.NextBatch = delivery.Batch + 1
	}
}

func (t *Trainer) startRun(ctx context.Context) {
	t.work.Go(func() { t.train(ctx) })
}

// Stats returns the current statistics.
func (t *Trainer) Stats() TrainerStats {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stats
}

func (t *Trainer) injectFault(fault Fault) error {
	if fault.Kind != FaultCrash {
		return t.faults.set(fault)
	}
	t.crash(fault.Duration(), func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.endRun()
	}, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.run, t.endRun = context.WithCancel(t.ctx)
		if len(t.config.Nodes) > 0 {
			t.startRun(t.run)
		}
	})
	return nil
}

// train runs until ctx ends. Each step ends with a checkpoint, from which the trainer
// resumes after a crash.
func (t *Trainer) train(ctx context.Context) {
	if !t.retry(ctx, func(node string) error { return t.register(ctx, node) }) {
		return
	}
	for first := true; ctx.Err() == nil; first = false {
		if t.publicationDue() && !t.publishNext(ctx) {
			return
		}
		if t.done() {
			return
		}
		t.faults.waitOutHang(ctx)
		requestedAt := time.Now()
		delivery, ok := t.receiveBatch(ctx, t.Stats().NextBatch)
		if !ok {
			return
		}
		idle := time.Since(requestedAt)
		if first {
			idle = 0
		}
		if !t.trainOn(ctx, delivery, idle) {
			return
		}
	}
}

func (t *Trainer) done() bool {
	return t.config.MaxSteps > 0 && t.Stats().Steps >= t.config.MaxSteps
}

// trainOn trains on a batch and writes the checkpoint. It reports false if ctx ended first.
func (t *Trainer) trainOn(ctx context.Context, delivery audit.Delivery, idle time.Duration) bool {
	step := time.Duration(float64(t.config.StepTime) * t.faults.slowdown())
	delivery.Trained = sleep(ctx, step)
	t.recorder.add(audit.Observations{Deliveries: []audit.Delivery{delivery}})
	if !delivery.Trained {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stats.Steps++
	t.unpublishedSteps++
	t.stats.Samples += len(delivery.Samples)
	t.stats.Training += step
	t.stats.Idle += idle
	t.stats.NextBatch = delivery.Batch + 1
	return true
}

func (t *Trainer) publicationDue() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.unpublishedSteps >= t.config.PublishEvery
}

// publishNext publishes the next version. It reports false if ctx ended first; the
// publication then remains due.
func (t *Trainer) publishNext(ctx context.Context) bool {
	t.mutex.Lock()
	version := t.stats.Version + 1
	t.begun = version
	t.mutex.Unlock()
	start := time.Now()
	if !t.publish(ctx, version) {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unpublishedSteps = 0
	t.stats.Version = version
	t.stats.Publishing += time.Since(start)
	return true
}

// delivery converts a received batch for the audit.
func (t *Trainer) delivery(batch receivedBatch) audit.Delivery {
	delivery := audit.Delivery{
		Trainer: t.config.Name, Pool: t.config.Pool, Batch: batch.Number, Attempt: batch.Attempt,
		Version: port.WeightVersion(t.Stats().Version), At: unixNow(),
		RequestedAt: batch.requestedAt, HeaderAt: batch.headerAt, HeaderVersion: port.WeightVersion(batch.headerVersion),
	}
	for _, sample := range batch.Samples {
		delivery.Samples = append(delivery.Samples, audit.Sample{
			ID: sample.ID, Prompt: sample.Prompt.Index, Call: audit.PromptKey(sample.Prompt.Text),
			Text: sample.Text, Tokens: sample.Tokens, Spans: sample.Spans,
		})
	}
	return delivery
}
