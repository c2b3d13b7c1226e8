package api

import "github.com/loomgrade/loomgrade/internal/port"

// Paths that a trainer, scorer and machine list serve.
const (
	PathPrompts  = "/v1/prompts"  // GET ?from=INDEX&count=N at the prompt source
	PathScore    = "/v1/score"    // POST Score at the scorer, returns Reward
	PathMachines = "/v1/machines" // GET at the machine list
)

// Prompts is the response of PathPrompts.
type Prompts struct {
	Prompts []port.Prompt `json:"prompts"`
}

// Score requests the reward of a sample.
type Score struct {
	SampleID string `json:"sample_id"`
	Prompt   string `json:"prompt"`
	Text     string `json:"text"`
}

// Reward is the response to Score.
type Reward struct {
	SampleID string  `json:"sample_id"`
	Reward   float64 `json:"reward"`
}

// Machines is the response of PathMachines.
type Machines struct {
	Machines []port.Machine `json:"machines"`
}

// RegisterConsumer is the body of POST PathConsumers, whose response is port.Consumer.
// RewindTo needs an operator's token.
type RegisterConsumer struct {
	Consumer string `json:"consumer"`
	RewindTo uint64 `json:"rewind_to,omitempty"`
}

// Query parameters of GET PathBatch. Requesting batch N acknowledges N-1.
const (
	QueryConsumerEpoch = "consumer_epoch"
	// QueryWaitMs is how long the node may wait for the batch to be complete, after which
	// it returns 503 with code not_ready and Retry-After.
	QueryWaitMs = "wait_ms"
)

// Batch is the response of GET PathBatch.
type Batch struct {
	Pool    string `json:"pool"`
	Number  uint64 `json:"number"`
	Attempt uint32 `json:"attempt"`
	// TrainerVersion is the pool's published version at the log position of the commit.
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
	// ChangeID may be empty: versions strictly increase, so a retry returns a conflict
	// that shows the version as current.
	ChangeID string `json:"change_id,omitempty"`
}

// PublishedWeights is the response of PathWeights.
type PublishedWeights struct {
	Version  uint64 `json:"version"`
	Revision uint64 `json:"revision"`
}
