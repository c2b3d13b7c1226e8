package coordinator

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Event is something that happened to the pool; the types below implement it.
type Event interface{ event() }

// Tick lets time pass. Send it every 100 to 250 milliseconds.
type Tick struct{}

// PromptsArrived answers FetchPrompts with prompts in the order of their index.
// Fewer than asked for, also none, means that the source has no more for now.
type PromptsArrived struct {
	From    port.PromptIndex
	Prompts []port.Prompt
}

// PromptsFailed answers FetchPrompts with an error.
type PromptsFailed struct {
	From port.PromptIndex
	Err  *port.Error
}

// SampleProgress tells of a running sample. Tokens and Spans count from the
// start of this attempt, without what StartSample.Resume carried. Send one every
// few seconds: a sample silent for the stall timeout is cancelled.
type SampleProgress struct {
	ID      port.SampleID
	Attempt uint32
	Replica port.ReplicaID
	Tokens  int
	Spans   []port.Span
}

// SampleFinished gives the whole text of this attempt, without the resumed
// part. Spans must add up to Tokens, otherwise the sample is refused.
type SampleFinished struct {
	ID      port.SampleID
	Attempt uint32
	Replica port.ReplicaID
	Text    string
	Tokens  int
	Spans   []port.Span
}

// SampleFailed ends an attempt with an error, also one that was cancelled. Text
// and Spans hold what arrived of it, so that it can be resumed.
type SampleFailed struct {
	ID      port.SampleID
	Attempt uint32
	Replica port.ReplicaID
	Err     *port.Error
	Text    string
	Tokens  int
	Spans   []port.Span
}

// Scored gives a sample's reward.
type Scored struct {
	ID     port.SampleID
	Reward float64
}

// ScoreFailed says that the scorer gave no reward.
type ScoreFailed struct {
	ID  port.SampleID
	Err *port.Error
}

// BatchRequested is the trainer's question for a batch. Token names the
// question; exactly one Deliver or Refuse answers it.
type BatchRequested struct {
	Token         uint64
	Number        port.BatchNumber
	ConsumerEpoch port.Epoch
	// Deadline is when the question is answered with CodeNotReady at the latest;
	// zero means at once.
	Deadline time.Time
}

// RequestAbandoned says that the asker of a question is gone.
type RequestAbandoned struct{ Token uint64 }

// CommitAnswered gives the outcome of a Commit: the state machine's Result, or
// Err when there is none.
type CommitAnswered struct {
	ChangeID string
	Number   port.BatchNumber
	Attempt  uint32
	Result   port.Result
	Err      *port.Error
}

// LedgerRead gives the pool's ledger state: the answer to ReadLedger, or news of
// a change by someone else, such as a new consumer. Err means none was read.
type LedgerRead struct {
	State port.LedgerState
	Err   *port.Error
}

// WeightsPublished tells of the pool's current version.
type WeightsPublished struct{ Weights port.PublishedWeights }

// PublicationBegun says that a version of the pool's weights goes to the log now.
type PublicationBegun struct{ Version port.WeightVersion }

// PublicationEnded says that it was published, or that its publisher was not told so.
type PublicationEnded struct {
	Version   port.WeightVersion
	Published bool
}

// CapacityChanged lists the replicas that may serve the pool, with their load.
type CapacityChanged struct{ Replicas []policy.Replica }

// SettingsChanged brings new settings of the pool and, if its policy changed, the
// new program; a nil Program keeps the one in force.
type SettingsChanged struct {
	Sampling port.Sampling
	Program  *policy.Program
}

// LeaseRenewed says until when, by this node's clock, the lease is safely held.
type LeaseRenewed struct{ Until time.Time }

// LeaseLost ends the coordinator: someone else holds the pool.
type LeaseLost struct{}

// Drain prepares for a planned stop: nothing new is started. Drained answers it
// when nothing is in doubt any more.
type Drain struct{}

func (Tick) event()             {}
func (PromptsArrived) event()   {}
func (PromptsFailed) event()    {}
func (SampleProgress) event()   {}
func (SampleFinished) event()   {}
func (SampleFailed) event()     {}
func (Scored) event()           {}
func (ScoreFailed) event()      {}
func (BatchRequested) event()   {}
func (RequestAbandoned) event() {}
func (CommitAnswered) event()   {}
func (LedgerRead) event()       {}
func (WeightsPublished) event() {}
func (PublicationBegun) event() {}
func (PublicationEnded) event() {}
func (CapacityChanged) event()  {}
func (SettingsChanged) event()  {}
func (LeaseRenewed) event()     {}
func (LeaseLost) event()        {}
func (Drain) event()            {}
