package sim

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// maxViolations limits the violations in an outcome.
const maxViolations = 50

// auditRecords holds the audit's violations and the state that its checks need.
type auditRecords struct {
	violations []string
	delivered  map[port.SampleID]bool
	// exports holds the context tokens of exported samples until they resume.
	exports map[port.SampleID]int
	// deliveredTokens counts the tokens of delivered samples.
	deliveredTokens uint64
}

func newAuditRecords() auditRecords {
	return auditRecords{delivered: make(map[port.SampleID]bool), exports: make(map[port.SampleID]int)}
}

// addViolation records a violation.
func (b *auditRecords) addViolation(format string, arguments ...any) {
	if len(b.violations) < maxViolations {
		b.violations = append(b.violations, fmt.Sprintf(format, arguments...))
	}
}

// sampleRecord is the simulator's data on a sample, invisible to the code under test.
type sampleRecord struct {
	prompt    port.PromptIndex
	slot      int
	length    int
	key       uint64
	started   bool
	startedAt time.Duration
	scored    bool
	// warmupTokens is the number of tokens generated before the end of the warm-up.
	warmupTokens int
	// generated counts the tokens that engines generated, by version.
	generated map[port.WeightVersion]int
}

// start records the first start at an engine.
func (r *sampleRecord) start(at time.Duration) {
	if !r.started {
		r.started, r.startedAt = true, at
	}
}

// addSpans records the tokens that an attempt generated.
func (r *sampleRecord) addSpans(spans []port.Span) {
	for _, span := range spans {
		r.generated[span.Version] += span.Tokens
	}
}

// generatedTokens returns the generated tokens, including those of running attempts,
// capped at the sample's length.
func (r *sampleRecord) generatedTokens(running int) int {
	for _, tokens := range r.generated {
		running += tokens
	}
	return min(running, r.length)
}

// recordWarmupTokens records the tokens of each sample at the end of the warm-up.
func (w *world) recordWarmupTokens() {
	for _, replica := range w.replicas {
		replica.advance()
		replica.scheduleWakeUp()
	}
	for _, pool := range w.pools {
		running := pool.running()
		for _, record := range pool.records {
			record.warmupTokens = record.generatedTokens(running[record])
		}
	}
}

// running returns the tokens of the running attempts by sample.
func (p *samplePool) running() map[*sampleRecord]int {
	running := make(map[*sampleRecord]int)
	for _, attempt := range p.attempts {
		running[attempt.sample] += attempt.tokens
	}
	return running
}

// groupRecord assigns slots to the samples of one prompt.
type groupRecord struct {
	// holders lists the current sample of each slot.
	holders    []port.SampleID
	maxHolders int
}

// recordOf returns a sample's record and creates it at the first start. A sample
// that replaces a dropped one has the same length, so no variant gains by dropping long
// samples. Samples beyond the group size have slots of their own.
func (p *samplePool) recordOf(start *coordinator.StartSample) *sampleRecord {
	if existing := p.records[start.ID]; existing != nil {
		return existing
	}
	group := p.groups[start.Prompt.Index]
	if group == nil {
		group = &groupRecord{}
		p.groups[start.Prompt.Index] = group
	}
	slot := group.slotFor(p.records, start.ID)
	length, key := p.lengthOf(start.Prompt.Index, slot)
	record := &sampleRecord{
		prompt: start.Prompt.Index, slot: slot, length: length, key: key,
		generated: make(map[port.WeightVersion]int),
	}
	p.records[start.ID] = record
	return record
}

// slotFor returns the lowest slot whose holder was dropped, or a new one.
func (g *groupRecord) slotFor(records map[port.SampleID]*sampleRecord, id port.SampleID) int {
	for slot, holder := range g.holders {
		if _, live := records[holder]; !live {
			g.holders[slot] = id
			return slot
		}
	}
	g.holders = append(g.holders, id)
	g.maxHolders = max(g.maxHolders, len(g.holders))
	return len(g.holders) - 1
}

// dropSample drops the record of a sample that the coordinator dropped.
func (p *samplePool) dropSample(name string) {
	id, err := port.ParseSampleID(name)
	if err != nil {
		p.world.auditRecords.addViolation("decision about %q: %v", name, err)
		return
	}
	delete(p.records, id)
}

// audit checks a batch delivered to the trainer.
func (p *samplePool) audit(batch coordinator.Deliver, version port.WeightVersion) {
	sampling := &p.settings.Sampling
	auditRecords := &p.world.auditRecords
	if len(batch.Samples) != sampling.BatchSamples {
		auditRecords.addViolation("%s batch %d has %d samples, want %d", p.settings.Pool, batch.Number, len(batch.Samples), sampling.BatchSamples)
	}
	groups := make(map[port.PromptIndex]int)
	for index := range batch.Samples {
		groups[batch.Samples[index].Prompt.Index]++
		p.auditSample(&batch.Samples[index], version)
	}
	for prompt, count := range groups {
		if count != sampling.GroupSize {
			auditRecords.addViolation("%s batch %d: prompt %d has %d samples, want %d", p.settings.Pool, batch.Number, prompt, count, sampling.GroupSize)
		}
		if p.trainer.deliveredPrompts[prompt] {
			auditRecords.addViolation("%s batch %d: prompt %d was delivered before", p.settings.Pool, batch.Number, prompt)
		}
		p.trainer.deliveredPrompts[prompt] = true
	}
}

func (p *samplePool) auditSample(sample *coordinator.DeliveredSample, version port.WeightVersion) {
	auditRecords := &p.world.auditRecords
	if auditRecords.delivered[sample.ID] {
		auditRecords.addViolation("sample %s was delivered twice", sample.ID)
	}
	auditRecords.delivered[sample.ID] = true
	auditRecords.deliveredTokens += uint64(sample.Tokens)
	record := p.records[sample.ID]
	if record == nil {
		auditRecords.addViolation("sample %s was delivered but never generated", sample.ID)
		return
	}
	if sample.Tokens != record.length {
		auditRecords.addViolation("sample %s has %d tokens, want %d", sample.ID, sample.Tokens, record.length)
	}
	claimed := make(map[port.WeightVersion]int)
	for _, span := range sample.Spans {
		claimed[span.Version] += span.Tokens
	}
	for claimedVersion, tokens := range claimed {
		if tokens > record.generated[claimedVersion] {
			auditRecords.addViolation("sample %s claims %d tokens of version %d, engines generated %d", sample.ID, tokens, claimedVersion, record.generated[claimedVersion])
		}
	}
	oldest := port.OldestVersion(sample.Spans)
	if oldest+port.WeightVersion(p.settings.Sampling.StalenessBound) < version {
		auditRecords.addViolation("sample %s has version %d, beyond the staleness bound at version %d", sample.ID, oldest, version)
	}
}
