package api

import "github.com/loomgrade/loomgrade/internal/port"

// Paths that a trainer, scorer and machine list serve.
const (
	PathPrompts  = "/v1/prompts"  // GET ?from=INDEX&count=N at the prompt source
	PathScore    = "/v1/score"    // POST Score at the scorer, answers Reward
	PathMachines = "/v1/machines" // GET at the machine list
)

// Prompts answers PathPrompts.
type Prompts struct {
	Prompts []port.Prompt `json:"prompts"`
}

// Score asks for a sample's reward.
type Score struct {
	SampleID string `json:"sample_id"`
	Prompt   string `json:"prompt"`
	Text     string `json:"text"`
}

// Reward answers Score.
type Reward struct {
	SampleID string  `json:"sample_id"`
	Reward   float64 `json:"reward"`
}

// Machines answers PathMachines.
type Machines struct {
	Machines []port.Machine `json:"machines"`
}

// RegisterConsumer is the body of POST PathConsumers; it answers
// port.Consumer. RewindTo needs an operator's token.
type RegisterConsumer struct {
	Consumer string `json:"consumer"`
	RewindTo uint64 `json:"rewind_to,omitempty"`
}

// Query parameters of GET PathBatch. Asking for batch N acknowledges N-1.
const (
	QueryConsumerEpoch = "consumer_epoch"
	// QueryWaitMs is how long the node may hold the question while the batch is
	// not whole; then it answers 503 with code not_ready and Retry-After.
	QueryWaitMs = "wait_ms"
)

// Batch answers GET PathBatch.
type Batch struct {
	Pool    string `json:"pool"`
	Number  uint64 `json:"number"`
	Attempt uint32 `json:"attempt"`
	// TrainerVersion is the pool's published version at the commit's position.
	TrainerVersion uint64   `json:"trainer_version"`
	Samples        []Sample `json:"samples"`
}

// Sample is one delivered sample.
type Sample struct {
	ID     string      `json:"id"`
	Prompt port.Prompt `json:"prompt"`
	Text   string      `json:"text"`
	Tokens int         `json:"tokens"`
	Reward float64     `json:"reward"`
	Spans  []port.Span `json:"spans"`
}

// PublishWeights is the body of POST PathWeights.
type PublishWeights struct {
	Version       uint64 `json:"version"`
	Bytes         uint64 `json:"bytes"`
	ConsumerEpoch uint64 `json:"consumer_epoch,omitempty"`
	// ChangeID may be empty: versions strictly increase, so that a resend is
	// answered with a conflict that shows the version as current.
	ChangeID string `json:"change_id,omitempty"`
}

// PublishedWeights answers PublishWeights.
type PublishedWeights struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}
