package coordinator

import "github.com/loomgrade/loomgrade/internal/port"

// Action is something the caller carries out; the types below implement it.
type Action interface{ action() }

// FetchPrompts asks the prompt source for prompts; PromptsArrived or
// PromptsFailed answers it.
type FetchPrompts struct {
	From  port.PromptIndex
	Count int
}

// StartSample generates one sample. The sample is safe to run more than once;
// SampleFinished or SampleFailed ends the attempt.
type StartSample struct {
	ID         port.SampleID
	Attempt    uint32
	Prompt     port.Prompt
	Seed       uint64
	Priority   port.Priority
	MinVersion port.WeightVersion
	// MaxTokens is what may still be generated after the resumed part.
	MaxTokens int
	// Resume is text already generated, ResumeTokens long.
	Resume       string
	ResumeTokens int
	// Zones, if not empty, are the only ones allowed; Exclude lists replicas
	// that may not serve it; Avoid is the replica it was moved from, to be used
	// only if no other can.
	Zones   []port.ZoneName
	Exclude []port.ReplicaID
	Avoid   port.ReplicaID
}

// CancelSample stops an attempt. When Move is set, the caller sends SampleFailed
// with what arrived so far and the sample is started again elsewhere.
type CancelSample struct {
	ID      port.SampleID
	Attempt uint32
	Move    bool
}

// ScoreSample asks the scorer; Scored or ScoreFailed answers it.
type ScoreSample struct {
	ID     port.SampleID
	Prompt string
	Text   string
}

// Commit proposes a batch to the control log under ChangeID; CommitAnswered
// answers it. The same ChangeID and batch may come again, to learn what became
// of a proposal whose answer was lost.
type Commit struct {
	ChangeID string
	Batch    port.CommitBatch
}

// ReadLedger asks for the pool's ledger state; LedgerRead answers it.
type ReadLedger struct{}

// Deliver answers the question Token with a committed batch. Samples is shared
// between deliveries and must not be changed.
type Deliver struct {
	Token          uint64
	Number         port.BatchNumber
	Attempt        uint32
	TrainerVersion port.WeightVersion
	Samples        []DeliveredSample
}

// DeliveredSample is one sample with its text.
type DeliveredSample struct {
	ID     port.SampleID
	Prompt port.Prompt
	Text   string
	Tokens int
	Reward float64
	Spans  []port.Span
}

// Refuse answers the question Token with an error.
type Refuse struct {
	Token uint64
	Err   *port.Error
}

// Record keeps a decision for explain.
type Record struct{ Decision port.Decision }

// Drained answers Drain: the lease may be released.
type Drained struct{}

func (FetchPrompts) action() {}
func (StartSample) action()  {}
func (CancelSample) action() {}
func (ScoreSample) action()  {}
func (Commit) action()       {}
func (ReadLedger) action()   {}
func (Deliver) action()      {}
func (Refuse) action()       {}
func (Record) action()       {}
func (Drained) action()      {}
