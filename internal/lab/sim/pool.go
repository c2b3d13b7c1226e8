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

// firstVersion is the version that everything starts with.
const firstVersion port.WeightVersion = 1

// attemptKey names one attempt at a sample.
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
	// told is the newest version in force, heard the one that the coordinator
	// has been told of.
	told  port.PublishedWeights
	heard port.WeightVersion
	// longTimes are the times of the long samples, longLength their least length.
	longTimes  *hdrhistogram.Histogram
	longLength int
}

// promptContent is a prompt as an engine sees it.
type promptContent struct {
	tokens int
	blocks []uint64
}

// buildPools makes the coordinators; they sit in the zones in turn.
func (w *world) buildPools() error {
	for index := range w.site.Trainers {
		settings := &w.site.Trainers[index]
		pool := &samplePool{
			world: w, settings: settings, number: uint64(index), zone: w.zoneOf(index),
			seed:     draw(w.options.Seed, nameSeed(string(settings.Pool))),
			attempts: make(map[attemptKey]*attempt),
			records:  make(map[port.SampleID]*sampleRecord),
			groups:   make(map[port.PromptIndex]*groupRecord),
			prompts:  make(map[port.PromptIndex]*promptContent),
			heard:    firstVersion, longTimes: newHistogram(maxMillis),
			longLength: quantile95(settings.Lengths),
		}
		pool.trainer = newTrainer(pool)
		if err := pool.begin(); err != nil {
			return err
		}
		w.pools = append(w.pools, pool)
		offset := time.Duration(index) * tickInterval / time.Duration(len(w.site.Trainers))
		w.every(tickInterval, offset, pool.tick)
		w.every(stateInterval, offset, pool.tellCapacity)
	}
	return nil
}

// begin makes the coordinator under its lease.
func (p *samplePool) begin() error {
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

// tick lets time pass and tells of new weights, as the node's worker does.
func (p *samplePool) tick() {
	if p.told.Version > p.heard {
		p.heard = p.told.Version
		p.step(coordinator.WeightsPublished{Weights: p.told})
	}
	p.step(coordinator.Tick{})
}

// step hands an event to the coordinator and carries its actions out.
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
		begun := newAttempt(p, action)
		p.attempts[attemptKey{action.ID, action.Attempt}] = begun
		p.world.start(begun)
	case coordinator.CancelSample:
		if running := p.attempts[attemptKey{action.ID, action.Attempt}]; running != nil {
			running.cancel(action.Move && p.world.options.Variant.ImportKV)
		}
	case coordinator.ScoreSample:
		p.score(action)
	case coordinator.Commit:
		p.commit(action)
	case coordinator.ReadLedger:
		p.world.after(2*p.world.between(p.zone, p.world.control.zone), func() {
			p.step(coordinator.LedgerRead{State: p.world.control.state.Ledger(p.settings.Pool)})
		})
	case coordinator.Deliver:
		p.trainer.answered(action)
	case coordinator.Refuse:
		p.trainer.refused(action)
	case coordinator.Record:
		p.noteDecision(&action.Decision)
	}
}

// noteDecision follows which samples the coordinator gave up.
func (p *samplePool) noteDecision(decided *port.Decision) {
	switch decided.Kind {
	case port.DecisionStale:
		p.forget(decided.Subject)
		if p.world.counted() {
			p.trainer.tally.dropped++
		}
	case port.DecisionVoided:
		for _, name := range decided.Related {
			p.forget(name)
		}
	}
}

// fetch asks the prompt source, which is at the trainer.
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

// score asks the scorer; the same sample takes the same time and gets the same
// reward.
func (p *samplePool) score(action coordinator.ScoreSample) {
	record := p.records[action.ID]
	p.world.after(p.scoreTime(record.key), func() {
		p.noteScored(record)
		p.step(coordinator.Scored{ID: action.ID, Reward: fraction(mix(record.key, rewardPart))})
	})
}

// noteScored enters the time of a long sample.
func (p *samplePool) noteScored(record *sampleRecord) {
	if record.scored || record.length < p.longLength || !p.world.counted() {
		return
	}
	record.scored = true
	enter(p.longTimes, (p.world.now - record.first).Milliseconds())
}

// normal95 is the 95th percentile of the standard normal distribution.
const normal95 = 1.6448536269514722

// quantile95 gives the 95th percentile of a distribution of lengths.
func quantile95(lengths engine.Lengths) int {
	length := int(lengths.Median * math.Exp(lengths.Sigma*normal95))
	if lengths.Max > 0 {
		length = min(length, lengths.Max)
	}
	return length
}

// Numbers that keep the draws for one key apart.
const (
	rewardPart = iota + 1
	scorePart
	prefixPart
	samplePart
	servicePart
	gapPart
	thinkPart
)

// scoreTime gives the time of a score: half of the median is fixed, the rest
// exponential.
func (p *samplePool) scoreTime(key uint64) time.Duration {
	return spread(p.world.site.ScoreTime, mix(key, scorePart)) + 2*p.world.site.ZoneLatency
}

// ln2 is the median of an exponential distribution of mean 1.
const ln2 = 0.6931471805599453

// spread draws a time around a median: half of it is fixed, the rest
// exponential.
func spread(median time.Duration, drawn uint64) time.Duration {
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

// tellCapacity tells the coordinator of the replicas, as their homes know them.
func (p *samplePool) tellCapacity() {
	p.step(coordinator.CapacityChanged{Replicas: p.world.router.capacity(p)})
}

// prompt gives a prompt's content, made once.
func (p *samplePool) prompt(index port.PromptIndex) *promptContent {
	known := p.prompts[index]
	if known == nil {
		known = p.makePrompt(index)
		p.prompts[index] = known
	}
	return known
}

// makePrompt gives the block hashes of a prompt: those of the prefix that it
// shares with other prompts, then its own.
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

// sharedShift keeps the hashes of own blocks apart from those of shared ones.
const sharedShift = 32

// lengthOf gives the length of a sample of a prompt, by its place in the group.
func (p *samplePool) lengthOf(index port.PromptIndex, slot int) (length int, key uint64) {
	key = draw(p.seed, samplePart, uint64(index), uint64(slot))
	return min(p.settings.Lengths.Of(key), p.settings.Sampling.MaxTokens), key
}

// start sends an attempt on its way to a replica.
func (w *world) start(begun *attempt) {
	if moved := w.books.exports[begun.start.ID]; moved > 0 {
		begun.imported = moved
		delete(w.books.exports, begun.start.ID)
	}
	w.router.route(begun)
}

// export begins to move the cache of an attempt to where it goes on; false
// means that there is none to move.
func (w *world) export(moving *attempt) bool {
	moving.replica.advance()
	if moving.replica.byName[moving.name] != moving {
		return false
	}
	err := moving.replica.model.Export(w.now, moving.name)
	moving.replica.touch()
	return err == nil
}

// exported ends a move: the coordinator hears of it and starts the sample again.
func (w *world) exported(event engine.Event) {
	for _, candidate := range w.replicas {
		moved := candidate.byName[event.ID]
		if moved == nil {
			continue
		}
		candidate.drop(moved)
		moved.sample.ran(moved.spans)
		w.books.exports[moved.start.ID] = event.Count
		moved.leaveExported()
	}
}
