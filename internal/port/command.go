package port

import "time"

// Command is one entry of the replicated control log: exactly one of the
// pointers is set.
type Command struct {
	// ChangeID is chosen by the proposer and unique for the change. A resend
	// with the same id and body gets the first answer again.
	ChangeID string `cbor:"1,keyasint"`
	// Time is the leader's clock when it proposed the command, in milliseconds
	// since 1970; the state machine never lets its own time go back.
	Time int64 `cbor:"2,keyasint"`

	ChangeConfiguration *ChangeConfiguration `cbor:"3,keyasint,omitempty"`
	PublishWeights      *PublishWeights      `cbor:"4,keyasint,omitempty"`
	AcquireLease        *AcquireLease        `cbor:"5,keyasint,omitempty"`
	ReleaseLease        *ReleaseLease        `cbor:"6,keyasint,omitempty"`
	RegisterConsumer    *RegisterConsumer    `cbor:"7,keyasint,omitempty"`
	CommitBatch         *CommitBatch         `cbor:"8,keyasint,omitempty"`
	RegisterNode        *RegisterNode        `cbor:"9,keyasint,omitempty"`
	RemoveNode          *RemoveNode          `cbor:"10,keyasint,omitempty"`

	// TimeJump is the part of Time's advance, in milliseconds, that did not pass
	// by the leader's count of elapsed time: a new leader's wall clock was ahead.
	// Leases run on for as long, so that a jump takes none away.
	TimeJump int64 `cbor:"11,keyasint,omitempty"`
}

// ChangeConfiguration replaces parts of the configuration, if its revision is
// still the expected one.
type ChangeConfiguration struct {
	Expected Revision `cbor:"1,keyasint"`
	Edits    []Edit   `cbor:"2,keyasint"`
	// Author and Note are for the history.
	Author string `cbor:"3,keyasint,omitempty"`
	Note   string `cbor:"4,keyasint,omitempty"`
}

// PublishWeights makes a version of a pool's weights current. Versions of a
// pool strictly increase.
type PublishWeights struct {
	Pool    PoolName      `cbor:"1,keyasint"`
	Version WeightVersion `cbor:"2,keyasint"`
	// Bytes is the size of the weights in the pool's weight store.
	Bytes uint64 `cbor:"3,keyasint"`
	// ConsumerEpoch is the publishing trainer's; 0 is an operator's publication.
	ConsumerEpoch Epoch `cbor:"4,keyasint,omitempty"`
}

// AcquireLease asks for a lease or renews it. A new holder gets a new epoch; a
// renewal names the epoch it holds.
type AcquireLease struct {
	Name   string        `cbor:"1,keyasint"`
	Holder NodeID        `cbor:"2,keyasint"`
	TTL    time.Duration `cbor:"3,keyasint"`
	// Epoch is 0 to acquire, or the held epoch to renew.
	Epoch Epoch `cbor:"4,keyasint,omitempty"`
}

// ReleaseLease gives a lease back before its time.
type ReleaseLease struct {
	Name   string `cbor:"1,keyasint"`
	Holder NodeID `cbor:"2,keyasint"`
	Epoch  Epoch  `cbor:"3,keyasint"`
}

// CoordinatorLease names the lease of a pool's coordinator.
func CoordinatorLease(pool PoolName) string { return "coordinator/" + string(pool) }

// RegisterConsumer makes a trainer the pool's only consumer and fences off
// every earlier one.
type RegisterConsumer struct {
	Pool     PoolName `cbor:"1,keyasint"`
	Consumer string   `cbor:"2,keyasint"`
	// RewindTo, if not 0, is an operator's recorded order to deliver again from
	// this batch number on.
	RewindTo BatchNumber `cbor:"3,keyasint,omitempty"`
}

// RegisterNode makes a node known to all others, or replaces its address or
// draining mark. It needs no change id: repeating it changes nothing.
type RegisterNode struct {
	Node NodeAddress `cbor:"1,keyasint"`
}

// RemoveNode takes a node that left or fell silent out of the view.
type RemoveNode struct {
	ID NodeID `cbor:"1,keyasint"`
}

// CommittedSample is one sample of a batch as the log records it.
type CommittedSample struct {
	ID     SampleID      `cbor:"1,keyasint" json:"id"`
	Prompt PromptIndex   `cbor:"2,keyasint" json:"prompt"`
	Oldest WeightVersion `cbor:"3,keyasint" json:"oldest_version"`
}

// CommitBatch records the samples of a batch before its bytes leave. The state
// machine refuses it when the coordinator's or the consumer's epoch is fenced
// off, when a sample is too old at this position of the log, when a sample or
// prompt was committed before, or when Number is not the next one (or the
// unacknowledged last one with a higher Attempt, which voids its earlier
// samples and returns their prompts).
type CommitBatch struct {
	Pool             PoolName          `cbor:"1,keyasint"`
	CoordinatorEpoch Epoch             `cbor:"2,keyasint"`
	ConsumerEpoch    Epoch             `cbor:"3,keyasint"`
	Number           BatchNumber       `cbor:"4,keyasint"`
	Attempt          uint32            `cbor:"5,keyasint"`
	Samples          []CommittedSample `cbor:"6,keyasint"`
	// Acknowledge is the batch number that the consumer's request acknowledged.
	Acknowledge BatchNumber `cbor:"7,keyasint"`
}

// Result is the state machine's answer to a Command.
type Result struct {
	// Index is the command's position in the log; 0 if it never got one.
	Index uint64 `cbor:"1,keyasint"`
	// Revision is the configuration revision after the command.
	Revision Revision `cbor:"2,keyasint"`
	// Error is set when the command was refused; its Verdict is NotRun.
	Error *Error `cbor:"3,keyasint,omitempty"`
	// Lease answers AcquireLease, Consumer RegisterConsumer, Ledger CommitBatch.
	Lease    *Lease       `cbor:"4,keyasint,omitempty"`
	Consumer *Consumer    `cbor:"5,keyasint,omitempty"`
	Ledger   *LedgerState `cbor:"6,keyasint,omitempty"`
	// Current shows the version in force when PublishWeights was refused.
	Current WeightVersion `cbor:"7,keyasint,omitempty"`
}

// Lease is a named right with a fencing epoch.
type Lease struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Holder NodeID `cbor:"2,keyasint" json:"holder"`
	Epoch  Epoch  `cbor:"3,keyasint" json:"epoch"`
	// Expires is in milliseconds of the log's time.
	Expires int64 `cbor:"4,keyasint" json:"expires"`
}

// Consumer is the trainer that a pool delivers to.
type Consumer struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	Epoch Epoch  `cbor:"2,keyasint" json:"epoch"`
	// Next is the number of the batch to ask for.
	Next BatchNumber `cbor:"3,keyasint" json:"next_batch"`
}

// LedgerState is the delivery state of one pool, small enough to travel.
type LedgerState struct {
	Pool PoolName `cbor:"1,keyasint" json:"pool"`
	// Committed is the last committed batch, with its attempt; Acknowledged the
	// last one that the consumer is done with.
	Committed    BatchNumber `cbor:"2,keyasint" json:"committed"`
	Attempt      uint32      `cbor:"3,keyasint" json:"attempt"`
	Acknowledged BatchNumber `cbor:"4,keyasint" json:"acknowledged"`
	// Last holds the samples of the last committed batch.
	Last []CommittedSample `cbor:"5,keyasint,omitempty" json:"last,omitempty"`
	// PromptsBelow is the lowest prompt not yet committed; PromptsAbove lists
	// committed prompts beyond it, in order. A new coordinator starts every
	// prompt that is in neither again, so none is lost.
	PromptsBelow PromptIndex   `cbor:"6,keyasint" json:"prompts_below"`
	PromptsAbove []PromptIndex `cbor:"7,keyasint,omitempty" json:"prompts_above,omitempty"`
	Consumer     Consumer      `cbor:"8,keyasint" json:"consumer"`
	// Published is the pool's current weight version at this position of the log;
	// 0 in states that are kept rather than answered.
	Published WeightVersion `cbor:"9,keyasint,omitempty" json:"published,omitempty"`
}

// PublishedWeights is a pool's current version.
type PublishedWeights struct {
	Pool    PoolName      `cbor:"1,keyasint" json:"pool"`
	Version WeightVersion `cbor:"2,keyasint" json:"version"`
	Bytes   uint64        `cbor:"3,keyasint" json:"bytes"`
	// Time is the log's time of publication in milliseconds since 1970.
	Time int64 `cbor:"4,keyasint" json:"time"`
}
