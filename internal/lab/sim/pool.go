package sim

import (
	"math"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/port"
)

// firstVersion is the version of the initial weights.
const firstVersion port.WeightVersion = 1

// attemptKey identifies one attempt at a sample.
type attemptKey struct {
	id      port.SampleID
	attempt uint32
}

// samplePool drives the coordinator of one trainer's pool.
type samplePool struct {
	world       *world
	settings    *Trainer
	number      uint64
	zone        port.ZoneName
	seed        uint64
	coordinator *coordinator.Coordinator
	trainer     *trainer
	attempts    map[attemptKey]*attempt
	records     map[port.SampleID]*sampleRecord
	groups      map[port.PromptIndex]*groupRecord
	prompts     map[port.PromptIndex]*promptContent
	// publishedWeights is the newest published version, reportedVersion the last one
	// that tick reported to the coordinator.
	publishedWeights port.PublishedWeights
	reportedVersion  port.WeightVersion
	// longTimes holds the times of long samples from first start to score, longLength
	// their minimum length.
	longTimes  *hdrhistogram.Histogram
	longLength int
}

// promptContent is a prompt's size and block hashes.
type promptContent struct {
	tokens int
	blocks []uint64
}

// buildPools creates the coordinators, spread over the zones.
func (w *world) buildPools() error {
	for index := range w.site.Trainers {
		settings := &w.site.Trainers[index]
		pool := &samplePool{
			world: w, settings: settings, number: uint64(index), zone: w.zoneOf(index),
			seed:            draw(w.options.Seed, nameSeed(string(settings.Pool))),
			attempts:        make(map[attemptKey]*attempt),
			records:         make(map[port.SampleID]*sampleRecord),
			groups:          make(map[port.PromptIndex]*groupRecord),
			prompts:         make(map[port.PromptIndex]*promptContent),
			reportedVersion: firstVersion, longTimes: newHistogram(maxMillis),
			longLength: quantile95(settings.Lengths),
		}
		pool.trainer = newTrainer(pool)
		if err := pool.createCoordinator(); err != nil {
			return err
		}
		w.pools = append(w.pools, pool)
		offset := time.Duration(index) * tickInterval / time.Duration(len(w.site.Trainers))
		w.every(tickInterval, offset, pool.tick)
		w.every(stateInterval, offset, pool.reportCapacity)
	}
	return nil
}

// createCoordinator creates the coordinator under its lease.
func (p *samplePool) createCoordinator() error {
	epoch, err := p.world.acquire(p.settings.Pool)
	if err != nil {
		return err
	}
	program, err := policy.Compile(p.world.policyOf(p.settings))
	if err != nil {
		return err
	}
	p.coordinator, err = coordinator.New(coordinator.Config{
		Pool: p.settings.Pool, Sampling: p.settings.Sampling, Epoch: epoch, Node: "node-1",
		LeaseUntil: p.world.clock().Add(p.world.options.Length + leaseTerm),
		Ledger:     p.world.control.state.Ledger(p.settings.Pool),
		Weights:    p.world.control.weights(p.settings.Pool),
		Program:    program, Seed: p.seed,
	})
	return err
}

// tick reports newly published weights and the time, as the node's worker does.
func (p *samplePool) tick() {
	if p.publishedWeights.Version > p.reportedVersion {
		p.reportedVersion = p.publishedWeights.Version
		p.step(coordinator.WeightsPublished{Weights: p.publishedWeights})
	}
	p.step(coordinator.Tick{})
}

// step passes an event to the coordinator and executes its actions.
func (p *samplePool) step(event coordinator.Event) {
	for _, action := range p.coordinator.Step(p.world.clock(), event) {
		p.carryOut(action)
	}
}

func (p *samplePool) carryOut(action coordinator.Action) {
	switch action := action.(type) {
	case coordinator.FetchPrompts:
		p.fetch(action)
	case coordinator.StartSample:
		a := newAttempt(p, action)
		p.attempts[attemptKey{action.ID, action.Attempt}] = a
		p.world.start(a)
	case coordinator.CancelSample:
		if running := p.attempts[attemptKey{action.ID, action.Attempt}]; running != nil {
			running.cancel(action.Move && p.world.options.Variant.ImportKV)
		}
	case coordinator.ScoreSample:
		p.score(action)
	case coordinator.Commit:
		p.commit(action)
	case coordinator.ReadLedger:
		p.world.after(2*p.world.latency(p.zone, p.world.control.zone), func() {
			p.step(coordinator.LedgerRead{State: p.world.control.state.Ledger(p.settings.Pool)})
		})
	case coordinator.Deliver:
		p.trainer.handleDelivery(action)
	case coordinator.Refuse:
		p.trainer.handleRefusal(action)
	case coordinator.Record:
		p.handleDecision(&action.Decision)
	}
}

// handleDecision drops the records of samples that the coordinator dropped.
func (p *samplePool) handleDecision(decided *port.Decision) {
	switch decided.Kind {
	case port.DecisionStale:
		p.dropSample(decided.Subject)
		if p.world.afterWarmup() {
			p.trainer.stats.dropped++
		}
	case port.DecisionVoided:
		for _, name := range decided.Related {
			p.dropSample(name)
		}
	}
}

// fetch requests prompts from the source, which is near the trainer.
func (p *samplePool) fetch(action coordinator.FetchPrompts) {
	p.world.after(2*p.world.site.ClientLatency, func() {
		event := coordinator.PromptsArrived{From: action.From}
		for offset := range action.Count {
			index := action.From + port.PromptIndex(offset)
			event.Prompts = append(event.Prompts, port.Prompt{
				Index: index, Text: strconv.FormatUint(uint64(index), 10), Tokens: p.settings.PromptTokens,
			})
		}
		p.step(event)
	})
}

// score requests a score. Time and reward depend only on the sample's key.
func (p *samplePool) score(action coordinator.ScoreSample) {
	record := p.records[action.ID]
	p.world.after(p.scoreTime(record.key), func() {
		p.recordScoreTime(record)
		p.step(coordinator.Scored{ID: action.ID, Reward: fraction(mix(record.key, rewardPart))})
	})
}

// recordScoreTime records the time of a long sample.
func (p *samplePool) recordScoreTime(record *sampleRecord) {
	if record.scored || record.length < p.longLength || !p.world.afterWarmup() {
		return
	}
	record.scored = true
	recordValue(p.longTimes, (p.world.now - record.startedAt).Milliseconds())
}

// normal95 is the 95th percentile of the standard normal distribution.
const normal95 = 1.6448536269514722

// quantile95 returns the 95th percentile of a distribution of lengths.
func quantile95(lengths engine.Lengths) int {
	length := int(lengths.Median * math.Exp(lengths.Sigma*normal95))
	if lengths.Max > 0 {
		length = min(length, lengths.Max)
	}
	return length
}

// Labels that separate the draws for one key.
const (
	rewardPart = iota + 1
	scorePart
	prefixPart
	samplePart
	servicePart
	gapPart
	thinkPart
)

// scoreTime returns the time of a score, with the round trip to the scorer.
func (p *samplePool) scoreTime(key uint64) time.Duration {
	return drawTime(p.world.site.ScoreTime, mix(key, scorePart)) + 2*p.world.site.ZoneLatency
}

// ln2 is the median of an exponential distribution of mean 1.
const ln2 = 0.6931471805599453

// drawTime draws a time with the given median: half of it is fixed, the rest is
// exponential.
func drawTime(median time.Duration, drawn uint64) time.Duration {
	return median/2 + time.Duration(float64(median/2)*exponential(drawn)/ln2)
}

func (p *samplePool) commit(action coordinator.Commit) {
	batch := action.Batch
	command := port.Command{ChangeID: action.ChangeID, CommitBatch: &batch}
	p.world.control.propose(p.zone, command, func(result port.Result) {
		p.step(coordinator.CommitAnswered{
			ChangeID: action.ChangeID, Number: batch.Number, Attempt: batch.Attempt, Result: result,
		})
	})
}

// reportCapacity sends the replicas' states to the coordinator.
func (p *samplePool) reportCapacity() {
	p.step(coordinator.CapacityChanged{Replicas: p.world.router.capacity(p)})
}

// prompt returns a prompt's content and caches it.
func (p *samplePool) prompt(index port.PromptIndex) *promptContent {
	content := p.prompts[index]
	if content == nil {
		content = p.makePrompt(index)
		p.prompts[index] = content
	}
	return content
}

// makePrompt creates the block hashes of a prompt: first those of the shared prefix,
// then its own.
func (p *samplePool) makePrompt(index port.PromptIndex) *promptContent {
	blockTokens := p.world.replicas[0].model.Config().BlockTokens
	shared := p.settings.SharedPrefixTokens / blockTokens
	prefix := draw(p.seed, prefixPart, uint64(index)) % uint64(max(p.settings.SharedPrefixes, 1))
	blocks := make([]uint64, p.settings.PromptTokens/blockTokens)
	for block := range blocks {
		if block < shared {
			blocks[block] = draw(p.seed, prefixPart, prefix, uint64(block)+1)
			continue
		}
		blocks[block] = draw(p.seed, prefixPart, uint64(index), uint64(block)<<sharedShift)
	}
	return &promptContent{tokens: p.settings.PromptTokens, blocks: blocks}
}

// sharedShift separates the hashes of a prompt's own blocks from shared ones.
const sharedShift = 32

// lengthOf returns the length and key of a sample by its slot in the group.
func (p *samplePool) lengthOf(index port.PromptIndex, slot int) (length int, key uint64) {
	key = draw(p.seed, samplePart, uint64(index), uint64(slot))
	return min(p.settings.Lengths.Of(key), p.settings.Sampling.MaxTokens), key
}

// start routes an attempt to a replica.
func (w *world) start(a *attempt) {
	if moved := w.auditRecords.exports[a.start.ID]; moved > 0 {
		a.imported = moved
		delete(w.auditRecords.exports, a.start.ID)
	}
	w.router.route(a)
}

// export starts to export the cache of an attempt and reports whether it could.
func (w *world) export(moving *attempt) bool {
	moving.replica.advance()
	if moving.replica.byName[moving.name] != moving {
		return false
	}
	err := moving.replica.model.Export(w.now, moving.name)
	moving.replica.scheduleWakeUp()
	return err == nil
}

// exported ends the attempt of an exported sample, which the coordinator then restarts.
func (w *world) exported(event engine.Event) {
	for _, candidate := range w.replicas {
		moved := candidate.byName[event.ID]
		if moved == nil {
			continue
		}
		candidate.remove(moved)
		moved.sample.addSpans(moved.spans)
		w.auditRecords.exports[moved.start.ID] = event.Count
		moved.failExported()
	}
}
