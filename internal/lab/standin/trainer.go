package standin

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// PathTrainerStats serves TrainerStats.
const PathTrainerStats = "/stats"

// Trainer stands in for a trainer: it serves its prompts, asks loomgrade for
// batches by number, trains on each for a set time and publishes versions.
type Trainer struct {
	*server
	config TrainerConfig
	client *http.Client

	mutex sync.Mutex
	stats TrainerStats
	epoch port.Epoch
	// good is the position of the node that answered last; it is asked first.
	good int
	// unpublished counts the steps since the last publication; like the
	// stats it is part of the checkpoint.
	unpublished int
	life        context.Context // ends with a crash
	endLife     context.CancelFunc
}

// TrainerConfig describes a trainer.
type TrainerConfig struct {
	Common
	// Nodes are the base URLs of loomgrade's nodes, tried in turn. Without any
	// the trainer only serves prompts.
	Nodes []string
	Pool  string
	// Name is the consumer's name. Default "trainer".
	Name string
	// Token, if set, is sent as bearer token.
	Token string
	// StepTime is how long training on a batch takes. Default 1 s.
	StepTime time.Duration
	// PublishEvery is the number of steps between publications. Default 1.
	PublishEvery int
	// FirstVersion is the version that the trainer starts from. Default 1.
	FirstVersion uint64
	// WeightBytes is the size that publications name. Default 4 MiB.
	WeightBytes uint64
	// MaxSteps ends the training after so many steps; 0 means never.
	MaxSteps int
	// Wait is how long a question for a batch may be held. Default 2 s.
	Wait time.Duration
	// Patience is how long over Wait an answer may take before the trainer asks
	// again. Default 10 s.
	ResponseGrace time.Duration
	Prompts       PromptConfig
	// Kept are the deliveries that earlier lives recorded. They are the
	// checkpoint that a trainer of a new process goes on from.
	Checkpoint []audit.Delivery
}

// TrainerStats sums up a trainer's time.
type TrainerStats struct {
	Steps      int           `json:"steps"`
	Samples    int           `json:"samples"`
	Version    uint64        `json:"version"`
	NextBatch  uint64        `json:"next_batch"`
	Training   time.Duration `json:"training_ns"`
	Idle       time.Duration `json:"idle_ns"` // waiting for batches, the first one left out
	Publishing time.Duration `json:"publishing_ns"`
	LastError  string        `json:"last_error,omitempty"`
}

// IdleShare returns the share of the trainer's time that it waited for
// batches.
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
	t := &Trainer{config: config, client: &http.Client{
		Timeout: config.Wait + config.ResponseGrace, Transport: &http.Transport{IdleConnTimeout: trainerIdleTimeout},
	}}
	t.stats.Version = config.FirstVersion
	t.restore(config.Checkpoint)
	t.server = newServer(ctx, config.Common, FaultCrash, FaultHang, FaultSlow, FaultRefuse,
		FaultDuplicateRequest, FaultRepeatPrevious)
	t.inject = t.injectFault
	t.mux.HandleFunc("GET "+api.PathPrompts, func(w http.ResponseWriter, r *http.Request) {
		if !t.disturbed(w, r) {
			config.Prompts.handlePrompts(w, r)
		}
	})
	t.mux.HandleFunc("GET "+PathTrainerStats, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.Stats()) })
	t.life, t.endLife = context.WithCancel(t.ctx)
	if err := t.open(config.Listen); err != nil {
		return nil, err
	}
	if len(config.Nodes) > 0 {
		t.startLife(t.life)
	}
	return t, nil
}

// restore goes on from the last batch that was trained on. Whether the version
// that follows it was published is not known; publishing it again does no harm.
func (t *Trainer) restore(kept []audit.Delivery) {
	for _, delivery := range kept {
		if !delivery.Trained || delivery.Batch < t.stats.NextBatch {
			continue
		}
		if uint64(delivery.Version) != t.stats.Version {
			t.stats.Version, t.unpublished = uint64(delivery.Version), 0
		}
		t.unpublished++
		t.stats.Steps++
		t.stats.Samples += len(delivery.Samples)
		t.stats.NextBatch = delivery.Batch + 1
	}
}

func (t *Trainer) startLife(life context.Context) {
	t.work.Go(func() { t.train(life) })
}

// Stats returns the figures so far.
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
		t.endLife()
	}, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.life, t.endLife = context.WithCancel(t.ctx)
		if len(t.config.Nodes) > 0 {
			t.startLife(t.life)
		}
	})
	return nil
}

// train is one life of the trainer. What it has learned survives from the
// checkpoint that it writes before it asks for the next batch.
func (t *Trainer) train(life context.Context) {
	if !t.untilDone(life, func(node string) error { return t.register(life, node) }) {
		return
	}
	for first := true; life.Err() == nil; first = false {
		if t.publicationDue() && !t.publishNext(life) {
			return
		}
		if t.done() {
			return
		}
		t.faults.waitWhileHung(life)
		asked := time.Now()
		delivery, ok := t.receive(life, t.Stats().NextBatch)
		if !ok {
			return
		}
		idle := time.Since(asked)
		if first {
			idle = 0
		}
		if !t.learn(life, delivery, idle) {
			return
		}
	}
}

func (t *Trainer) done() bool {
	return t.config.MaxSteps > 0 && t.Stats().Steps >= t.config.MaxSteps
}

// learn trains on a batch and writes the checkpoint. It reports false when
// the life ended before.
func (t *Trainer) learn(life context.Context, delivery audit.Delivery, idle time.Duration) bool {
	step := time.Duration(float64(t.config.StepTime) * t.faults.factor())
	delivery.Trained = pause(life, step)
	t.recorder.add(audit.Observations{Deliveries: []audit.Delivery{delivery}})
	if !delivery.Trained {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.stats.Steps++
	t.unpublished++
	t.stats.Samples += len(delivery.Samples)
	t.stats.Training += step
	t.stats.Idle += idle
	t.stats.NextBatch = delivery.Batch + 1
	return true
}

func (t *Trainer) publicationDue() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.unpublished >= t.config.PublishEvery
}

// publishNext publishes the next version. A crash before the end leaves it
// due.
func (t *Trainer) publishNext(life context.Context) bool {
	version := t.Stats().Version + 1
	began := time.Now()
	if !t.publish(life, version) {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.unpublished = 0
	t.stats.Version = version
	t.stats.Publishing += time.Since(began)
	return true
}

// observe turns a received batch into what the audit reads.
func (t *Trainer) observe(batch receivedBatch) audit.Delivery {
	delivery := audit.Delivery{
		Trainer: t.config.Name, Pool: t.config.Pool, Batch: batch.Number, Attempt: batch.Attempt,
		Version: port.WeightVersion(t.Stats().Version), At: since(),
		AskedAt: batch.askedAt, HeadAt: batch.headAt, HeadVersion: port.WeightVersion(batch.headVersion),
	}
	for _, sample := range batch.Samples {
		delivery.Samples = append(delivery.Samples, audit.Sample{
			ID: sample.ID, Prompt: sample.Prompt.Index, Call: audit.PromptKey(sample.Prompt.Text),
			Text: sample.Text, Tokens: sample.Tokens, Spans: sample.Spans,
		})
	}
	return delivery
}
