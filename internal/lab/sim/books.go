package sim

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/port"
)

// maxViolations bounds the violations that an outcome lists.
const maxViolations = 50

// books hold what the audit needs: what engines generated and what trainers got.
type books struct {
	violations []string
	delivered  map[port.SampleID]bool
	// exports holds the context tokens of moved samples until they go on.
	exports map[port.SampleID]int
	// deliveredTokens counts the tokens of delivered samples.
	deliveredTokens uint64
}

func newBooks() books {
	return books{delivered: make(map[port.SampleID]bool), exports: make(map[port.SampleID]int)}
}

// violate notes a broken promise.
func (b *books) violate(format string, arguments ...any) {
	if len(b.violations) < maxViolations {
		b.violations = append(b.violations, fmt.Sprintf(format, arguments...))
	}
}

// sampleRecord is what the simulator knows of a sample and no decision sees.
type sampleRecord struct {
	prompt port.PromptIndex
	slot   int
	length int
	key    uint64
	begun  bool
	first  time.Duration
	scored bool
	// early counts the tokens made before the end of the warm-up.
	early int
	// truth counts the tokens that engines made of it, by version.
	truth map[port.WeightVersion]int
}

// begin notes the first start at an engine.
func (r *sampleRecord) begin(at time.Duration) {
	if !r.begun {
		r.begun, r.first = true, at
	}
}

// ran notes what an attempt generated.
func (r *sampleRecord) ran(spans []port.Span) {
	for _, span := range spans {
		r.truth[span.Version] += span.Tokens
	}
}

// made counts the tokens that engines made of the sample, those of running
// attempts given apart; no more than it needs.
func (r *sampleRecord) made(running int) int {
	for _, tokens := range r.truth {
		running += tokens
	}
	return min(running, r.length)
}

// noteEarly notes what of each sample there is at the end of the warm-up.
func (w *world) noteEarly() {
	for _, replica := range w.replicas {
		replica.advance()
		replica.touch()
	}
	for _, pool := range w.pools {
		running := pool.running()
		for _, record := range pool.records {
			record.early = record.made(running[record])
		}
	}
}

// running counts the tokens of the attempts at engines.
func (p *samplePool) running() map[*sampleRecord]int {
	running := make(map[*sampleRecord]int)
	for _, attempt := range p.attempts {
		running[attempt.sample] += attempt.tokens
	}
	return running
}

// groupRecord gives the samples of one prompt their places.
type groupRecord struct {
	// holders are the samples that hold the places now.
	holders []port.SampleID
	most    int
}

// recordOf gives a sample's record, made at its first start. A sample that takes
// the place of a dropped one has the same length: no variant gains by giving
// long samples up. Samples beyond the group's size have places of their own.
func (p *samplePool) recordOf(start *coordinator.StartSample) *sampleRecord {
	if known := p.records[start.ID]; known != nil {
		return known
	}
	group := p.groups[start.Prompt.Index]
	if group == nil {
		group = &groupRecord{}
		p.groups[start.Prompt.Index] = group
	}
	slot := group.place(p.records, start.ID)
	length, key := p.lengthOf(start.Prompt.Index, slot)
	record := &sampleRecord{
		prompt: start.Prompt.Index, slot: slot, length: length, key: key,
		truth: make(map[port.WeightVersion]int),
	}
	p.records[start.ID] = record
	return record
}

// place gives the lowest place whose holder was dropped, or a new one.
func (g *groupRecord) place(records map[port.SampleID]*sampleRecord, id port.SampleID) int {
	for slot, holder := range g.holders {
		if _, live := records[holder]; !live {
			g.holders[slot] = id
			return slot
		}
	}
	g.holders = append(g.holders, id)
	g.most = max(g.most, len(g.holders))
	return len(g.holders) - 1
}

// forget drops a sample that the coordinator gave up, by name.
func (p *samplePool) forget(name string) {
	id, err := port.ParseSampleID(name)
	if err != nil {
		p.world.books.violate("decision about %q: %v", name, err)
		return
	}
	delete(p.records, id)
}

// audit checks a delivered batch, as the trainer that got it can.
func (p *samplePool) audit(batch coordinator.Deliver, version port.WeightVersion) {
	sampling := &p.settings.Sampling
	books := &p.world.books
	if len(batch.Samples) != sampling.BatchSamples {
		books.violate("%s batch %d has %d samples, not %d", p.settings.Pool, batch.Number, len(batch.Samples), sampling.BatchSamples)
	}
	groups := make(map[port.PromptIndex]int)
	for index := range batch.Samples {
		groups[batch.Samples[index].Prompt.Index]++
		p.auditSample(&batch.Samples[index], version)
	}
	for prompt, count := range groups {
		if count != sampling.GroupSize {
			books.violate("%s batch %d: prompt %d has %d samples, not %d", p.settings.Pool, batch.Number, prompt, count, sampling.GroupSize)
		}
		if p.trainer.seen[prompt] {
			books.violate("%s batch %d: prompt %d was delivered before", p.settings.Pool, batch.Number, prompt)
		}
		p.trainer.seen[prompt] = true
	}
}

func (p *samplePool) auditSample(sample *coordinator.DeliveredSample, version port.WeightVersion) {
	books := &p.world.books
	if books.delivered[sample.ID] {
		books.violate("sample %s was delivered twice", sample.ID)
	}
	books.delivered[sample.ID] = true
	books.deliveredTokens += uint64(sample.Tokens)
	record := p.records[sample.ID]
	if record == nil {
		books.violate("sample %s was delivered and never generated", sample.ID)
		return
	}
	if sample.Tokens != record.length {
		books.violate("sample %s has %d tokens, not %d", sample.ID, sample.Tokens, record.length)
	}
	claimed := make(map[port.WeightVersion]int)
	for _, span := range sample.Spans {
		claimed[span.Version] += span.Tokens
	}
	for claimedVersion, tokens := range claimed {
		if tokens > record.truth[claimedVersion] {
			books.violate("sample %s claims %d tokens of version %d, engines made %d", sample.ID, tokens, claimedVersion, record.truth[claimedVersion])
		}
	}
	oldest := port.OldestVersion(sample.Spans)
	if oldest+port.WeightVersion(p.settings.Sampling.StalenessBound) < version {
		books.violate("sample %s is of version %d, over the bound at version %d", sample.ID, oldest, version)
	}
}
