package sim

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Timing of the trainers' requests.
const (
	batchTimeout = 2 * time.Second
	retryPause   = 100 * time.Millisecond
)

// trainer requests batches by number, trains on each and publishes versions.
type trainer struct {
	pool             *samplePool
	epoch            port.Epoch
	next             port.BatchNumber
	token            uint64
	version          port.WeightVersion
	unpublished      int
	deliveredPrompts map[port.PromptIndex]bool

	requesting  bool
	requestedAt time.Duration
	// published holds the publication time of each version.
	published  map[port.WeightVersion]time.Duration
	deliveries []delivery
	stats      trainerStats
}

// delivery records a delivered batch; the limits are computed from it.
type delivery struct {
	requestedAt, at time.Duration
	version         port.WeightVersion
	samples         []deliveredSample
	prompts         int
}

type deliveredSample struct {
	tokens int
	key    uint64
	// warmupTokens is the number of tokens generated before the end of the warm-up.
	warmupTokens int
}

func newTrainer(pool *samplePool) *trainer {
	return &trainer{
		pool: pool, next: 1, version: firstVersion, deliveredPrompts: make(map[port.PromptIndex]bool),
		published: map[port.WeightVersion]time.Duration{firstVersion: 0}, stats: newTrainerStats(),
	}
}

// start registers the trainer and requests the first batch.
func (t *trainer) start() {
	w := t.pool.world
	register := port.RegisterConsumer{Pool: t.pool.settings.Pool, Consumer: "trainer"}
	w.after(w.site.ClientLatency, func() {
		w.control.propose(t.pool.zone, port.Command{RegisterConsumer: &register}, func(result port.Result) {
			t.epoch = result.Consumer.Epoch
			t.pool.step(coordinator.LedgerRead{State: w.control.state.Ledger(t.pool.settings.Pool)})
			w.after(w.site.ClientLatency, t.requestNext)
		})
	})
}

// requestNext requests the next batch and starts counting idle time.
func (t *trainer) requestNext() {
	t.requesting = true
	t.requestedAt = t.pool.world.now
	t.requestBatch()
}

func (t *trainer) requestBatch() {
	w := t.pool.world
	t.token++
	request := coordinator.BatchRequested{Token: t.token, Number: t.next, ConsumerEpoch: t.epoch}
	w.after(w.site.ClientLatency, func() {
		request.Deadline = w.clock().Add(batchTimeout)
		t.pool.step(request)
	})
}

// handleRefusal repeats the request after a pause.
func (t *trainer) handleRefusal(refusal coordinator.Refuse) {
	if refusal.Token != t.token || !t.requesting {
		return
	}
	w := t.pool.world
	w.after(w.site.ClientLatency+retryPause, t.requestBatch)
}

// handleDelivery handles a delivered batch.
func (t *trainer) handleDelivery(batch coordinator.Deliver) {
	w := t.pool.world
	w.after(w.site.ClientLatency, func() {
		if t.requesting && batch.Number == t.next {
			t.train(batch)
		}
	})
}

// train audits, records and trains on a batch.
func (t *trainer) train(batch coordinator.Deliver) {
	w := t.pool.world
	t.requesting = false
	t.stats.addIdle(w, t.requestedAt, w.now)
	t.pool.audit(batch, t.version)
	t.recordDelivery(batch)
	if w.afterWarmup() {
		t.countDelivery(batch)
	}
	t.next++
	w.after(t.pool.settings.StepTime, t.finishStep)
}

// recordDelivery records a batch from which the limits are computed.
func (t *trainer) recordDelivery(batch coordinator.Deliver) {
	recorded := delivery{requestedAt: t.requestedAt, at: t.pool.world.now, version: t.version}
	prompts := make(map[port.PromptIndex]struct{})
	for index := range batch.Samples {
		sample := &batch.Samples[index]
		prompts[sample.Prompt.Index] = struct{}{}
		if record := t.pool.records[sample.ID]; record != nil {
			recorded.samples = append(recorded.samples, deliveredSample{tokens: record.length, key: record.key, warmupTokens: record.warmupTokens})
		}
	}
	recorded.prompts = len(prompts)
	t.deliveries = append(t.deliveries, recorded)
}

// countDelivery adds a delivery to the statistics.
func (t *trainer) countDelivery(batch coordinator.Deliver) {
	t.stats.steps++
	t.stats.samples += len(batch.Samples)
	for index := range batch.Samples {
		t.stats.tokens += batch.Samples[index].Tokens
		oldest := port.OldestVersion(batch.Samples[index].Spans)
		t.stats.addStaleness(t.version-min(oldest, t.version), t.staleFor(oldest))
	}
}

// staleFor returns how long ago a version was replaced; 0 if it is the current one.
func (t *trainer) staleFor(version port.WeightVersion) time.Duration {
	replaced, found := t.published[version+1]
	if !found {
		return 0
	}
	return t.pool.world.now - replaced
}

// finishStep ends a step and publishes a version when it is due.
func (t *trainer) finishStep() {
	t.unpublished++
	if t.unpublished < t.pool.settings.PublishEvery {
		t.requestNext()
		return
	}
	t.unpublished = 0
	w := t.pool.world
	publish := port.PublishWeights{
		Pool: t.pool.settings.Pool, Version: t.version + 1, Bytes: w.site.WeightBytes, ConsumerEpoch: t.epoch,
	}
	w.after(w.site.ClientLatency, func() {
		w.control.propose(t.pool.zone, port.Command{PublishWeights: &publish}, func(port.Result) {
			t.pool.publishedWeights = w.control.weights(t.pool.settings.Pool)
			w.after(w.site.ClientLatency, func() { t.versionPublished(publish.Version) })
		})
	})
}

func (t *trainer) versionPublished(version port.WeightVersion) {
	t.version = version
	t.published[version] = t.pool.world.now
	t.requestNext()
}
