package port

import "time"

// Command is an entry of the replicated control log. Exactly one pointer is set.
type Command struct {
	// ChangeID is chosen by the proposer and unique for the change. A retry with the same
	// id and body returns the first result.
	ChangeID string `cbor:"1,keyasint"`
	// Time is the leader's clock when it proposed the command, in Unix milliseconds. The
	// state machine's time never decreases.
	Time int64 `cbor:"2,keyasint"`

	ChangeConfiguration *ChangeConfiguration `cbor:"3,keyasint,omitempty"`
	PublishWeights      *PublishWeights      `cbor:"4,keyasint,omitempty"`
	AcquireLease        *AcquireLease        `cbor:"5,keyasint,omitempty"`
	ReleaseLease        *ReleaseLease        `cbor:"6,keyasint,omitempty"`
	RegisterConsumer    *RegisterConsumer    `cbor:"7,keyasint,omitempty"`
	CommitBatch         *CommitBatch         `cbor:"8,keyasint,omitempty"`
	RegisterNode        *RegisterNode        `cbor:"9,keyasint,omitempty"`
	RemoveNode          *RemoveNode          `cbor:"10,keyasint,omitempty"`

	// TimeJump is the part of Time's advance, in milliseconds, that is not elapsed time: a
	// new leader's wall clock was ahead. Leases are extended by it.
	TimeJump int64 `cbor:"11,keyasint,omitempty"`
}

// ChangeConfiguration edits the configuration if its revision is the expected one.
type ChangeConfiguration struct {
	Expected Revision `cbor:"1,keyasint"`
	Edits    []Edit   `cbor:"2,keyasint"`
	// Author and Note are for the history.
	Author string `cbor:"3,keyasint,omitempty"`
	Note   string `cbor:"4,keyasint,omitempty"`
}

// PublishWeights makes a version of a pool's weights current. The versions of a pool
// strictly increase.
type PublishWeights struct {
	Pool    PoolName      `cbor:"1,keyasint"`
	Version WeightVersion `cbor:"2,keyasint"`
	// Bytes is the size of the weights in the pool's weight store.
	Bytes uint64 `cbor:"3,keyasint"`
	// ConsumerEpoch is that of the publishing trainer; 0 for an operator's publication.
	ConsumerEpoch Epoch `cbor:"4,keyasint,omitempty"`
}

// AcquireLease acquires or renews a lease. A new holder gets a new epoch.
type AcquireLease struct {
	Name   string        `cbor:"1,keyasint"`
	Holder NodeID        `cbor:"2,keyasint"`
	TTL    time.Duration `cbor:"3,keyasint"`
	// Epoch is 0 to acquire, or the current epoch to renew.
	Epoch Epoch `cbor:"4,keyasint,omitempty"`
}

// ReleaseLease releases a lease before it expires.
type ReleaseLease struct {
	Name   string `cbor:"1,keyasint"`
	Holder NodeID `cbor:"2,keyasint"`
	Epoch  Epoch  `cbor:"3,keyasint"`
}

// CoordinatorLease returns the name of the lease of a pool's coordinator.
func CoordinatorLease(pool PoolName) string { return "coordinator/" + string(pool) }

// RegisterConsumer makes a trainer the only consumer of a pool and fences all earlier
// ones.
type RegisterConsumer struct {
	Pool     PoolName `cbor:"1,keyasint"`
	Consumer string   `cbor:"2,keyasint"`
	// RewindTo, if not 0, is the first batch number to be delivered again, at an
	// operator's request.
	RewindTo BatchNumber `cbor:"3,keyasint,omitempty"`
}

// RegisterNode adds a node to the view, or replaces its address or draining flag. It is
// idempotent and needs no change id.
type RegisterNode struct {
	Node NodeAddress `cbor:"1,keyasint"`
}

// RemoveNode removes a node that left or timed out from the view.
type RemoveNode struct {
	ID NodeID `cbor:"1,keyasint"`
}

// CommittedSample is one sample of a batch in the log.
type CommittedSample struct {
	ID     SampleID      `cbor:"1,keyasint" json:"id"`
	Prompt PromptIndex   `cbor:"2,keyasint" json:"prompt"`
	Oldest WeightVersion `cbor:"3,keyasint" json:"oldest_version"`
}

// CommitBatch records the samples of a batch before it is delivered. The state machine
// rejects it if the coordinator's or consumer's epoch is fenced, if a sample is too old at
// this position of the log, if a sample or prompt was committed before, or if Number is
// not the next one. A higher Attempt of the last, unacknowledged Number is accepted: it
// voids the samples of the earlier attempt and returns their prompts.
type CommitBatch struct {
	Pool             PoolName          `cbor:"1,keyasint"`
	CoordinatorEpoch Epoch             `cbor:"2,keyasint"`
	ConsumerEpoch    Epoch             `cbor:"3,keyasint"`
	Number           BatchNumber       `cbor:"4,keyasint"`
	Attempt          uint32            `cbor:"5,keyasint"`
	Samples          []CommittedSample `cbor:"6,keyasint"`
	// Acknowledge is the batch number that the consumer acknowledged.
	Acknowledge BatchNumber `cbor:"7,keyasint"`
}

// Result is the result of a Command.
type Result struct {
	// Index is the command's position in the log; 0 if it has none.
	Index uint64 `cbor:"1,keyasint"`
	// Revision is the configuration revision after the command.
	Revision Revision `cbor:"2,keyasint"`
	// Error is set if the command was rejected; its Verdict is NotRun.
	Error *Error `cbor:"3,keyasint,omitempty"`
	// Lease is the result of AcquireLease, Consumer of RegisterConsumer, Ledger of
	// CommitBatch.
	Lease    *Lease       `cbor:"4,keyasint,omitempty"`
	Consumer *Consumer    `cbor:"5,keyasint,omitempty"`
	Ledger   *LedgerState `cbor:"6,keyasint,omitempty"`
	// Current is the pool's current version after PublishWeights.
	Current WeightVersion `cbor:"7,keyasint,omitempty"`
}

// Lease is a named, expiring lock with a fencing epoch.
type Lease struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Holder NodeID `cbor:"2,keyasint" json:"holder"`
	Epoch  Epoch  `cbor:"3,keyasint" json:"epoch"`
	// Expires is in log time, in Unix milliseconds.
	Expires int64 `cbor:"4,keyasint" json:"expires"`
}

// Consumer is the trainer that a pool delivers to.
type Consumer struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Epoch Epoch  `cbor:"2,keyasint" json:"epoch"`
	// Next is the number of the next batch to request.
	Next BatchNumber `cbor:"3,keyasint" json:"next_batch"`
}

// LedgerState is the delivery state of one pool.
type LedgerState struct {
	Pool PoolName `cbor:"1,keyasint" json:"pool"`
	// Committed and Attempt are those of the last committed batch, Acknowledged is the
	// last batch that the consumer acknowledged.
	Committed    BatchNumber `cbor:"2,keyasint" json:"committed"`
	Attempt      uint32      `cbor:"3,keyasint" json:"attempt"`
	Acknowledged BatchNumber `cbor:"4,keyasint" json:"acknowledged"`
	// Last holds the samples of the last committed batch.
	Last []CommittedSample `cbor:"5,keyasint,omitempty" json:"last,omitempty"`
	// PromptsBelow is the lowest prompt not yet committed; PromptsAbove lists the committed
	// prompts above it, in order. A new coordinator restarts all other prompts.
	PromptsBelow PromptIndex   `cbor:"6,keyasint" json:"prompts_below"`
	PromptsAbove []PromptIndex `cbor:"7,keyasint,omitempty" json:"prompts_above,omitempty"`
	Consumer     Consumer      `cbor:"8,keyasint" json:"consumer"`
	// Published is the pool's current weight version at this position of the log; 0 in
	// stored states.
	Published WeightVersion `cbor:"9,keyasint,omitempty" json:"published,omitempty"`
}

// PublishedWeights is a pool's current version.
type PublishedWeights struct {
	Pool    PoolName      `cbor:"1,keyasint" json:"pool"`
	Version WeightVersion `cbor:"2,keyasint" json:"version"`
	Bytes   uint64        `cbor:"3,keyasint" json:"bytes"`
	// Time is the log time of publication, in Unix milliseconds.
	Time int64 `cbor:"4,keyasint" json:"time"`
}
