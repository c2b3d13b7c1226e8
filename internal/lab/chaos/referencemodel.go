package chaos

import (
	"slices"

	"github.com/loomgrade/loomgrade/internal/port"
)

// reportFunc records a broken invariant.
type reportFunc func(check, format string, arguments ...any)

// referenceModel is a reference model of leases and deliveries, built from the log's commands and
// their results.
type referenceModel struct {
	published port.WeightVersion
	lease     port.Lease
	consumer  port.Consumer
	// samples and prompts map to the batch that contains them; voided samples stay in samples.
	samples map[port.SampleID]port.BatchNumber
	prompts map[port.PromptIndex]port.BatchNumber
	batches map[port.BatchNumber]port.CommitBatch
	// delivered maps the samples that the trainer received to their batches.
	delivered map[port.SampleID]port.BatchNumber
	epochs    map[port.Epoch]port.NodeID
}

func newReferenceModel() referenceModel {
	return referenceModel{
		samples: map[port.SampleID]port.BatchNumber{}, prompts: map[port.PromptIndex]port.BatchNumber{},
		batches: map[port.BatchNumber]port.CommitBatch{}, delivered: map[port.SampleID]port.BatchNumber{},
		epochs: map[port.Epoch]port.NodeID{},
	}
}

// check checks one command with its result and applies it to the model. Rejected commands have no effect.
func (b *referenceModel) check(report reportFunc, command port.Command, result port.Result) {
	if result.Error != nil {
		return
	}
	switch {
	case command.PublishWeights != nil:
		if command.PublishWeights.Version <= b.published {
			report("versions count up", "version %d after %d", command.PublishWeights.Version, b.published)
		}
		b.published = command.PublishWeights.Version
	case command.AcquireLease != nil:
		b.checkLease(report, *result.Lease)
	case command.RegisterConsumer != nil:
		b.consumer = *result.Consumer
	case command.CommitBatch != nil:
		b.checkCommit(report, *command.CommitBatch)
	}
}

// checkLease checks that an epoch has one holder and that epochs increase.
func (b *referenceModel) checkLease(report reportFunc, lease port.Lease) {
	if holder, seen := b.epochs[lease.Epoch]; seen && holder != lease.Holder {
		report("one holder by fence", "epoch %d granted to %s and %s", lease.Epoch, holder, lease.Holder)
	}
	if lease.Epoch < b.lease.Epoch {
		report("one holder by fence", "epoch %d granted after %d", lease.Epoch, b.lease.Epoch)
	}
	b.epochs[lease.Epoch], b.lease = lease.Holder, lease
}

func (b *referenceModel) checkCommit(report reportFunc, command port.CommitBatch) {
	previous, exists := b.batches[command.Number]
	if exists && previous.Attempt == command.Attempt {
		if !slices.Equal(previous.Samples, command.Samples) {
			report("batch committed once", "batch %d attempt %d has two contents", command.Number, command.Attempt)
		}
		return
	}
	if exists {
		b.voidAttempt(report, command, previous)
	}
	if command.CoordinatorEpoch != b.lease.Epoch || command.ConsumerEpoch != b.consumer.Epoch {
		report("fenced commits refused", "batch %d under epochs %d and %d, current are %d and %d",
			command.Number, command.CoordinatorEpoch, command.ConsumerEpoch, b.lease.Epoch, b.consumer.Epoch)
	}
	for _, sample := range command.Samples {
		b.checkSample(report, command.Number, sample)
	}
	for _, prompt := range promptsOf(command.Samples) {
		if other, found := b.prompts[prompt]; found {
			report("batch committed once", "prompt %d is in batches %d and %d", prompt, other, command.Number)
		}
		b.prompts[prompt] = command.Number
	}
	b.batches[command.Number] = command
}

func (b *referenceModel) checkSample(report reportFunc, number port.BatchNumber, sample port.CommittedSample) {
	if other, exists := b.samples[sample.ID]; exists {
		report("batch committed once", "sample %s is in batches %d and %d", sample.ID, other, number)
	}
	b.samples[sample.ID] = number
	if sample.Oldest == 0 || sample.Oldest+stalenessBound < b.published {
		report("no stale batch", "sample %s of version %d committed at version %d", sample.ID, sample.Oldest, b.published)
	}
}

// voidAttempt releases the prompts of an attempt that a later one replaces. An attempt
// that the trainer received must not be replaced.
func (b *referenceModel) voidAttempt(report reportFunc, command, previous port.CommitBatch) {
	if _, later := b.batches[command.Number+1]; later {
		report("batch committed once", "batch %d replaced after batch %d", command.Number, command.Number+1)
	}
	for _, prompt := range promptsOf(previous.Samples) {
		delete(b.prompts, prompt)
	}
	if _, received := b.delivered[previous.Samples[0].ID]; received {
		report("batch committed once", "batch %d attempt %d voided after the trainer received it", command.Number, previous.Attempt)
	}
}

// checkDelivered checks a batch that the trainer received against the log.
func (b *referenceModel) checkDelivered(report reportFunc, batch port.CommitBatch) {
	if committed := b.batches[batch.Number]; !slices.Equal(committed.Samples, batch.Samples) {
		report("batch committed once", "the trainer received batch %d, which differs from the log", batch.Number)
	}
	for _, sample := range batch.Samples {
		if other, exists := b.delivered[sample.ID]; exists {
			report("batch delivered once", "sample %s in batches %d and %d", sample.ID, other, batch.Number)
		}
		b.delivered[sample.ID] = batch.Number
	}
}
