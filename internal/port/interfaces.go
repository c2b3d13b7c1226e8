package port

import "context"

// Engine is a client of one model engine. Every error wraps an *Error.
type Engine interface {
	// Generate runs a completion and passes each chunk to receive. An error from receive
	// cancels the request at the engine.
	Generate(ctx context.Context, request GenerateRequest, receive func(GenerateChunk) error) error
	// Order sends a fenced order. An engine that has seen a higher fence returns CodeFenced.
	Order(ctx context.Context, order Order) (LoadReport, error)
	// Load returns the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents returns the events after a sequence number. gap reports that some are
	// missing; the caller must rebuild its index.
	CacheEvents(ctx context.Context, after uint64) (events []CacheEvent, gap bool, err error)
	// ExportKV returns a handle for the KV cache of a running request.
	ExportKV(ctx context.Context, id RequestID) (handle string, err error)
}

// Application is a client of one application back end.
type Application interface {
	// Call sends the request once and returns the complete response or an *Error.
	Call(ctx context.Context, request ApplicationRequest) (ApplicationResponse, error)
}

// Scorer scores samples. Scoring is idempotent.
type Scorer interface {
	Score(ctx context.Context, sample SampleID, prompt, text string) (reward float64, err error)
}

// PromptSource returns prompts by index. An index always returns the same prompt.
type PromptSource interface {
	Prompts(ctx context.Context, from PromptIndex, count int) ([]Prompt, error)
}

// Prompt is one prompt of a source.
type Prompt struct {
	Index  PromptIndex `cbor:"1,keyasint" json:"index"`
	Text   string      `cbor:"2,keyasint" json:"text"`
	Tokens int         `cbor:"3,keyasint" json:"tokens"`
}

// MachineList returns the existing machines, with a delay.
type MachineList interface {
	Machines(ctx context.Context) ([]Machine, error)
}

// Control is a client of the replicated control state.
type Control interface {
	// Propose proposes a command and waits until it is applied. Errors of the state
	// machine are in Result.Error; err reports all others, with a verdict.
	Propose(ctx context.Context, command Command) (Result, error)
	// Watch passes the updates after a position to receive until ctx ends. It switches
	// between members, and its position never decreases.
	Watch(ctx context.Context, after uint64, receive func(ViewUpdate)) error
	// Report sends this node's report to control.
	Report(ctx context.Context, report NodeReport) error
}
