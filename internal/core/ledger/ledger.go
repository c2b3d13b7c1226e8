package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Limits of one pool's delivery state.
const (
	// MaxPromptsAbove limits the committed prompts above the lowest open one.
	MaxPromptsAbove = 8192
	// MaxRewindBatches limits how many batches an operator can rewind.
	MaxRewindBatches = 64
	maxConsumerName  = 128
)

// batchPrompts holds the prompts of a committed batch for a rewind.
type batchPrompts struct {
	Number  port.BatchNumber   `cbor:"1,keyasint"`
	Prompts []port.PromptIndex `cbor:"2,keyasint"`
}

// poolLedger is the delivery state of one pool.
type poolLedger struct {
	Pool         port.PoolName          `cbor:"1,keyasint"`
	Committed    port.BatchNumber       `cbor:"2,keyasint"`
	Attempt      uint32                 `cbor:"3,keyasint"`
	Acknowledged port.BatchNumber       `cbor:"4,keyasint"`
	Last         []port.CommittedSample `cbor:"5,keyasint,omitempty"`
	Prompts      promptSet              `cbor:"6,keyasint"`
	Consumer     port.Consumer          `cbor:"7,keyasint"`
	// UsedEpoch is the coordinator epoch of UsedSequences.
	UsedEpoch     port.Epoch     `cbor:"8,keyasint"`
	UsedSequences sequenceSet    `cbor:"9,keyasint,omitempty"`
	Recent        []batchPrompts `cbor:"10,keyasint,omitempty"`
	Rewinds       uint64         `cbor:"11,keyasint,omitempty"`
}

// Ledger holds the delivery state of all pools.
type Ledger struct {
	pools []*poolLedger // by name
}

// CommitContext is the pool's state at a commit's position in the log.
type CommitContext struct {
	// CoordinatorEpoch is the epoch of the pool's coordinator lease, 0 if there
	// is none.
	CoordinatorEpoch port.Epoch
	// Published is the pool's published weight version.
	Published port.WeightVersion
	Sampling  port.Sampling
}

// State returns a pool's delivery state; it is empty for an unknown pool.
func (l *Ledger) State(pool port.PoolName) port.LedgerState {
	position, found := l.find(pool)
	if !found {
		return port.LedgerState{Pool: pool, Consumer: port.Consumer{Next: 1}}
	}
	return l.pools[position].state()
}

// Remove deletes a pool's state.
func (l *Ledger) Remove(pool port.PoolName) {
	if position, found := l.find(pool); found {
		l.pools = slices.Delete(l.pools, position, position+1)
	}
}

// Register makes a consumer the pool's only one under a new epoch, and rewinds the pool if
// the command requests it.
func (l *Ledger) Register(command port.RegisterConsumer, epoch port.Epoch) (port.Consumer, *port.Error) {
	if command.Consumer == "" || len(command.Consumer) > maxConsumerName {
		return port.Consumer{}, port.InvalidField("consumer", command.Consumer, fmt.Sprintf("1 to %d characters", maxConsumerName))
	}
	ledger := l.ensure(command.Pool)
	if refusal := ledger.rewind(command.RewindTo); refusal != nil {
		return port.Consumer{}, refusal
	}
	ledger.Consumer = port.Consumer{Name: command.Consumer, Epoch: epoch, Next: ledger.Acknowledged + 1}
	return ledger.Consumer, nil
}

// Commit records a batch, or returns the reason why it must not be delivered. Committing
// the last batch again with the same attempt and samples has no effect and returns no
// error, so that a coordinator may resend.
func (l *Ledger) Commit(command port.CommitBatch, context CommitContext) *port.Error {
	ledger := l.ensure(command.Pool)
	if refusal := ledger.checkEpochs(command, context); refusal != nil {
		return refusal
	}
	if ledger.isLast(command) {
		return nil
	}
	acknowledged, refusal := ledger.checkNumber(command)
	if refusal != nil {
		return refusal
	}
	if refusal := checkStaleness(command, context); refusal != nil {
		return refusal
	}
	voidsLast := command.Number == ledger.Committed
	prompts := ledger.Prompts.clone()
	if voidsLast {
		prompts.remove(distinctPrompts(ledger.Last))
	}
	committed, refusal := checkSamples(command, context.Sampling, &prompts)
	if refusal != nil {
		return refusal
	}
	used, refusal := ledger.addSampleIDs(command)
	if refusal != nil {
		return refusal
	}
	ledger.record(command, acknowledged, prompts, committed)
	ledger.UsedEpoch, ledger.UsedSequences = command.CoordinatorEpoch, used
	return nil
}

// CurrentEpoch returns the epoch of a pool's consumer, 0 if there is none.
func (l *Ledger) CurrentEpoch(pool port.PoolName) port.Epoch {
	position, found := l.find(pool)
	if !found {
		return 0
	}
	return l.pools[position].Consumer.Epoch
}

func (l *Ledger) find(pool port.PoolName) (int, bool) {
	return slices.BinarySearchFunc(l.pools, pool, func(ledger *poolLedger, pool port.PoolName) int {
		return cmp.Compare(ledger.Pool, pool)
	})
}

func (l *Ledger) ensure(pool port.PoolName) *poolLedger {
	position, found := l.find(pool)
	if !found {
		ledger := &poolLedger{Pool: pool, Consumer: port.Consumer{Next: 1}}
		l.pools = slices.Insert(l.pools, position, ledger)
	}
	return l.pools[position]
}

func (p *poolLedger) state() port.LedgerState {
	return port.LedgerState{
		Pool: p.Pool, Committed: p.Committed, Attempt: p.Attempt, Acknowledged: p.Acknowledged,
		Last: p.Last, PromptsBelow: p.Prompts.Below, PromptsAbove: slices.Clone(p.Prompts.Above), Consumer: p.Consumer,
	}
}

func (p *poolLedger) checkEpochs(command port.CommitBatch, context CommitContext) *port.Error {
	if command.CoordinatorEpoch == 0 || command.CoordinatorEpoch != context.CoordinatorEpoch {
		return port.NewError(port.NotRun, port.CodeFenced, "coordinator epoch %d is not the current one (%d)",
			command.CoordinatorEpoch, context.CoordinatorEpoch)
	}
	if command.ConsumerEpoch == 0 || command.ConsumerEpoch != p.Consumer.Epoch {
		return port.NewError(port.NotRun, port.CodeFenced, "consumer epoch %d is not the current one (%d)",
			command.ConsumerEpoch, p.Consumer.Epoch)
	}
	return nil
}

func (p *poolLedger) isLast(command port.CommitBatch) bool {
	return command.Number == p.Committed && command.Attempt == p.Attempt && slices.Equal(command.Samples, p.Last) && len(p.Last) > 0
}

// checkNumber accepts the next batch if the last one is acknowledged, or a higher attempt
// of the last one if it is not.
func (p *poolLedger) checkNumber(command port.CommitBatch) (acknowledged port.BatchNumber, refusal *port.Error) {
	if command.Acknowledge > p.Committed {
		return 0, port.NewError(port.NotRun, port.CodeConflict, "acknowledges batch %d, the last committed one is %d",
			command.Acknowledge, p.Committed)
	}
	acknowledged = max(p.Acknowledged, command.Acknowledge)
	next := command.Number == p.Committed+1 && acknowledged == p.Committed
	retry := command.Number == p.Committed && command.Number > acknowledged && command.Attempt > p.Attempt
	if next || retry {
		return acknowledged, nil
	}
	return 0, port.NewError(port.NotRun, port.CodeConflict,
		"batch %d attempt %d does not follow batch %d attempt %d, acknowledged %d",
		command.Number, command.Attempt, p.Committed, p.Attempt, acknowledged)
}

func checkStaleness(command port.CommitBatch, context CommitContext) *port.Error {
	for _, sample := range command.Samples {
		versionKnown := sample.Oldest != 0
		if versionKnown && sample.Oldest+port.WeightVersion(context.Sampling.StalenessBound) >= context.Published {
			continue
		}
		refusal := port.NewError(port.NotRun, port.CodeStale, "sample %s: version %d against published version %d",
			sample.ID, sample.Oldest, context.Published)
		refusal.Field, refusal.Value = "samples.oldest_version", strconv.FormatUint(uint64(sample.Oldest), 10)
		refusal.Allowed = fmt.Sprintf("known and at most %d versions old", context.Sampling.StalenessBound)
		return refusal
	}
	return nil
}

// checkSamples checks that the batch consists of complete groups of uncommitted prompts,
// and adds the prompts to the set.
func checkSamples(command port.CommitBatch, sampling port.Sampling, prompts *promptSet) ([]port.PromptIndex, *port.Error) {
	if len(command.Samples) != sampling.BatchSamples {
		return nil, port.InvalidField("samples", strconv.Itoa(len(command.Samples)), fmt.Sprintf("%d samples, the pool's batch", sampling.BatchSamples))
	}
	committed := distinctPrompts(command.Samples)
	if len(committed)*sampling.GroupSize != len(command.Samples) {
		return nil, port.InvalidField("samples", fmt.Sprintf("%d prompts", len(committed)), fmt.Sprintf("whole groups of %d samples", sampling.GroupSize))
	}
	counts := make(map[port.PromptIndex]int, len(committed))
	for _, sample := range command.Samples {
		counts[sample.Prompt]++
		if counts[sample.Prompt] > sampling.GroupSize {
			return nil, port.InvalidField("samples.prompt", strconv.FormatUint(uint64(sample.Prompt), 10), fmt.Sprintf("whole groups of %d samples", sampling.GroupSize))
		}
	}
	for _, prompt := range committed {
		if prompts.contains(prompt) {
			return nil, port.NewError(port.NotRun, port.CodeConflict, "prompt %d was committed before", prompt)
		}
	}
	// After a rewind the number may already exceed the limit; a batch may then still
	// reduce it.
	allowed := max(MaxPromptsAbove, len(prompts.Above))
	for _, prompt := range committed {
		prompts.add(prompt)
	}
	if len(prompts.Above) > allowed {
		return nil, port.NewError(port.NotRun, port.CodeTooLarge,
			"more than %d prompts are committed beyond prompt %d, which is still open", MaxPromptsAbove, prompts.Below)
	}
	return committed, nil
}

// addSampleIDs checks the batch's sample ids and returns the used sequences including
// them. Ids of earlier epochs cannot recur, so only the current epoch's are stored.
func (p *poolLedger) addSampleIDs(command port.CommitBatch) (sequenceSet, *port.Error) {
	var used sequenceSet
	if p.UsedEpoch == command.CoordinatorEpoch {
		used = slices.Clone(p.UsedSequences)
	}
	for _, sample := range command.Samples {
		if sample.ID.Pool != command.Pool || sample.ID.Epoch != command.CoordinatorEpoch {
			return nil, port.InvalidField("samples.id", sample.ID.String(), fmt.Sprintf("ids of pool %s under epoch %d", command.Pool, command.CoordinatorEpoch))
		}
		if used.contains(sample.ID.Sequence) {
			return nil, port.NewError(port.NotRun, port.CodeConflict, "sample %s was committed before", sample.ID)
		}
		used = used.add(sample.ID.Sequence)
	}
	return used, nil
}

func (p *poolLedger) record(command port.CommitBatch, acknowledged port.BatchNumber, prompts promptSet, committed []port.PromptIndex) {
	if command.Number == p.Committed && len(p.Recent) > 0 {
		p.Recent = p.Recent[:len(p.Recent)-1]
	}
	p.Recent = append(p.Recent, batchPrompts{Number: command.Number, Prompts: committed})
	if len(p.Recent) > MaxRewindBatches {
		p.Recent = slices.Clone(p.Recent[len(p.Recent)-MaxRewindBatches:])
	}
	p.Committed, p.Attempt, p.Acknowledged = command.Number, command.Attempt, acknowledged
	p.Last, p.Prompts = slices.Clone(command.Samples), prompts
	p.Consumer.Next = acknowledged + 1
}

// rewind voids the batches from number on: their prompts are open again, their sample ids
// remain used.
func (p *poolLedger) rewind(number port.BatchNumber) *port.Error {
	if number == 0 {
		return nil
	}
	oldest := p.Committed + 1
	if len(p.Recent) > 0 {
		oldest = p.Recent[0].Number
	}
	if number < oldest || number > p.Committed {
		return port.InvalidField("rewind_to", strconv.FormatUint(uint64(number), 10), fmt.Sprintf("%d to %d", oldest, p.Committed))
	}
	for len(p.Recent) > 0 && p.Recent[len(p.Recent)-1].Number >= number {
		p.Prompts.remove(p.Recent[len(p.Recent)-1].Prompts)
		p.Recent = p.Recent[:len(p.Recent)-1]
	}
	p.Committed, p.Acknowledged = number-1, number-1
	p.Attempt, p.Last = 0, nil
	p.Rewinds++
	return nil
}

// distinctPrompts returns the distinct prompts of samples, sorted.
func distinctPrompts(samples []port.CommittedSample) []port.PromptIndex {
	prompts := make([]port.PromptIndex, 0, len(samples))
	for _, sample := range samples {
		prompts = append(prompts, sample.Prompt)
	}
	slices.Sort(prompts)
	return slices.Compact(prompts)
}
