package coordinator

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Event is an input of the state machine; the types below implement it.
type Event interface{ event() }

// Tick advances time. Send it every 100 to 250 milliseconds.
type Tick struct{}

// PromptsArrived answers FetchPrompts with prompts in index order. Fewer prompts than
// requested, or none, means that the source has no more for now.
type PromptsArrived struct {
	From    port.PromptIndex
	Prompts []port.Prompt
}

// PromptsFailed answers FetchPrompts with an error.
type PromptsFailed struct {
	From port.PromptIndex
	Err  *port.Error
}

// SampleProgress reports the progress of a running sample. Tokens and Spans count from
// the start of this attempt, without the resumed part. Send one every few seconds: a
// sample without progress for the stall timeout is cancelled.
type SampleProgress struct {
	ID      port.SampleID
	Attempt uint32
	Replica port.ReplicaID
	Tokens  int
	Spans   []port.Span
}

// SampleFinished ends an attempt with its text, without the resumed part. Spans must add
// up to Tokens, otherwise the sample is retried.
type SampleFinished struct {
	ID      port.SampleID
	Attempt uint32
	Replica port.ReplicaID
	Text    string
	Tokens  int
	Spans   []port.Span
}

// SampleFailed ends an attempt with an error, also after a cancel. Text and Spans hold
// the partial output to resume from.
type SampleFailed struct {
	ID      port.SampleID
	Attempt uint32
	Replica port.ReplicaID
	Err     *port.Error
	Text    string
	Tokens  int
	Spans   []port.Span
}

// Scored reports a sample's reward.
type Scored struct {
	ID     port.SampleID
	Reward float64
}

// ScoreFailed reports that the scorer returned no reward.
type ScoreFailed struct {
	ID  port.SampleID
	Err *port.Error
}

// BatchRequested is the trainer's request for a batch. Token identifies the request;
// exactly one Deliver or Refuse answers it.
type BatchRequested struct {
	Token         uint64
	Number        port.BatchNumber
	ConsumerEpoch port.Epoch
	// Deadline is when the request is refused with CodeNotReady at the latest; zero means
	// immediately.
	Deadline time.Time
}

// RequestAbandoned reports that the caller of a request has disconnected.
type RequestAbandoned struct{ Token uint64 }

// CommitAnswered reports the outcome of a Commit: the state machine's Result, or Err if
// there is none.
type CommitAnswered struct {
	ChangeID string
	Number   port.BatchNumber
	Attempt  uint32
	Result   port.Result
	Err      *port.Error
}

// LedgerRead reports the pool's ledger state, in answer to ReadLedger or after a change
// by another process, such as a new consumer. Err is set if the read failed.
type LedgerRead struct {
	State port.LedgerState
	Err   *port.Error
}

// WeightsPublished reports the pool's published version.
type WeightsPublished struct{ Weights port.PublishedWeights }

// PublicationStarted reports that the publication of a version is being sent to the log.
type PublicationStarted struct{ Version port.WeightVersion }

// PublicationEnded reports the outcome of a publication; Published is false if it failed
// or its outcome is unknown.
type PublicationEnded struct {
	Version   port.WeightVersion
	Published bool
}

// CapacityChanged lists the replicas that may serve the pool, with their load.
type CapacityChanged struct{ Replicas []policy.Replica }

// SettingsChanged carries new pool settings and, if the policy changed, the new program;
// a nil Program keeps the current one.
type SettingsChanged struct {
	Sampling port.Sampling
	Program  *policy.Program
}

// LeaseRenewed reports the new lease expiry by this node's clock.
type LeaseRenewed struct{ Until time.Time }

// LeaseLost stops the coordinator: another node may hold the lease.
type LeaseLost struct{}

// Drain prepares for a graceful stop: the coordinator starts nothing new, and emits
// Drained once no commit is pending.
type Drain struct{}

func (Tick) event()               {}
func (PromptsArrived) event()     {}
func (PromptsFailed) event()      {}
func (SampleProgress) event()     {}
func (SampleFinished) event()     {}
func (SampleFailed) event()       {}
func (Scored) event()             {}
func (ScoreFailed) event()        {}
func (BatchRequested) event()     {}
func (RequestAbandoned) event()   {}
func (CommitAnswered) event()     {}
func (LedgerRead) event()         {}
func (WeightsPublished) event()   {}
func (PublicationStarted) event() {}
func (PublicationEnded) event()   {}
func (CapacityChanged) event()    {}
func (SettingsChanged) event()    {}
func (LeaseRenewed) event()       {}
func (LeaseLost) event()          {}
func (Drain) event()              {}
