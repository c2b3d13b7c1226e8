package sim

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Pacing of the trainers' questions, as that of the stand-ins.
const (
	askWait    = 2 * time.Second
	retryPause = 100 * time.Millisecond
)

// trainer asks for batches by number, trains on each and publishes versions.
type trainer struct {
	pool        *samplePool
	epoch       port.Epoch
	next        port.BatchNumber
	token       uint64
	version     port.WeightVersion
	unpublished int
	seen        map[port.PromptIndex]bool

	asking  bool
	askedAt time.Duration
	// published is when each version came into force, by version.
	published  map[port.WeightVersion]time.Duration
	deliveries []delivery
	tally      tally
}

// delivery is what the limits need of one delivered batch.
type delivery struct {
	asked, at time.Duration
	version   port.WeightVersion
	samples   []deliveredSample
	prompts   int
}

// deliveredSample is one sample of a delivery.
type deliveredSample struct {
	tokens int
	key    uint64
	// early counts the tokens made before the end of the warm-up.
	early int
}

func newTrainer(pool *samplePool) *trainer {
	return &trainer{
		pool: pool, next: 1, version: firstVersion, seen: make(map[port.PromptIndex]bool),
		published: map[port.WeightVersion]time.Duration{firstVersion: 0}, tally: newTally(),
	}
}

// start registers the trainer and asks for the first batch.
func (t *trainer) start() {
	w := t.pool.world
	register := port.RegisterConsumer{Pool: t.pool.settings.Pool, Consumer: "trainer"}
	w.after(w.site.ClientLatency, func() {
		w.control.propose(t.pool.zone, port.Command{RegisterConsumer: &register}, func(result port.Result) {
			t.epoch = result.Consumer.Epoch
			t.pool.step(coordinator.LedgerRead{State: w.control.state.Ledger(t.pool.settings.Pool)})
			w.after(w.site.ClientLatency, t.begin)
		})
	})
}

// begin asks for the next batch.
func (t *trainer) begin() {
	t.asking = true
	t.askedAt = t.pool.world.now
	t.ask()
}

func (t *trainer) ask() {
	w := t.pool.world
	t.token++
	request := coordinator.BatchRequested{Token: t.token, Number: t.next, ConsumerEpoch: t.epoch}
	w.after(w.site.ClientLatency, func() {
		request.Deadline = w.clock().Add(askWait)
		t.pool.step(request)
	})
}

// refused asks again after a while.
func (t *trainer) refused(refusal coordinator.Refuse) {
	if refusal.Token != t.token || !t.asking {
		return
	}
	w := t.pool.world
	w.after(w.site.ClientLatency+retryPause, t.ask)
}

// answered takes a batch in.
func (t *trainer) answered(batch coordinator.Deliver) {
	w := t.pool.world
	w.after(w.site.ClientLatency, func() {
		if t.asking && batch.Number == t.next {
			t.learn(batch)
		}
	})
}

// learn trains on a batch.
func (t *trainer) learn(batch coordinator.Deliver) {
	w := t.pool.world
	t.asking = false
	t.tally.waited(w, t.askedAt, w.now)
	t.pool.audit(batch, t.version)
	t.keep(batch)
	if w.counted() {
		t.count(batch)
	}
	t.next++
	w.after(t.pool.settings.StepTime, t.trained)
}

// keep notes the delivery for the limits.
func (t *trainer) keep(batch coordinator.Deliver) {
	noted := delivery{asked: t.askedAt, at: t.pool.world.now, version: t.version}
	prompts := make(map[port.PromptIndex]struct{})
	for index := range batch.Samples {
		sample := &batch.Samples[index]
		prompts[sample.Prompt.Index] = struct{}{}
		if record := t.pool.records[sample.ID]; record != nil {
			noted.samples = append(noted.samples, deliveredSample{tokens: record.length, key: record.key, early: record.early})
		}
	}
	noted.prompts = len(prompts)
	t.deliveries = append(t.deliveries, noted)
}

// count enters a delivery into the outcome.
func (t *trainer) count(batch coordinator.Deliver) {
	t.tally.steps++
	t.tally.samples += len(batch.Samples)
	for index := range batch.Samples {
		t.tally.tokens += batch.Samples[index].Tokens
		oldest := port.OldestVersion(batch.Samples[index].Spans)
		t.tally.age(t.version-min(oldest, t.version), t.staleFor(oldest))
	}
}

// staleFor gives how long ago a version was replaced; 0 if it is the current one.
func (t *trainer) staleFor(version port.WeightVersion) time.Duration {
	replaced, known := t.published[version+1]
	if !known {
		return 0
	}
	return t.pool.world.now - replaced
}

// trained ends a step; a version is published when it is due.
func (t *trainer) trained() {
	t.unpublished++
	if t.unpublished < t.pool.settings.PublishEvery {
		t.begin()
		return
	}
	t.unpublished = 0
	w := t.pool.world
	publish := port.PublishWeights{
		Pool: t.pool.settings.Pool, Version: t.version + 1, Bytes: w.site.WeightBytes, ConsumerEpoch: t.epoch,
	}
	w.after(w.site.ClientLatency, func() {
		w.control.propose(t.pool.zone, port.Command{PublishWeights: &publish}, func(port.Result) {
			t.pool.told = w.control.weights(t.pool.settings.Pool)
			w.after(w.site.ClientLatency, func() { t.publishedVersion(publish.Version) })
		})
	})
}

func (t *trainer) publishedVersion(version port.WeightVersion) {
	t.version = version
	t.published[version] = t.pool.world.now
	t.begin()
}
