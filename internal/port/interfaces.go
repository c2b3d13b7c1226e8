package port

import "context"

// Engine is a node's way to one model engine. Every error carries an *Error.
type Engine interface {
	// Generate starts a completion and hands each chunk to receive until the
	// last; an error from receive cancels the request at the engine.
	Generate(ctx context.Context, request GenerateRequest, receive func(GenerateChunk) error) error
	// Order sends a fenced order; a lower fence gives CodeFenced.
	Order(ctx context.Context, order Order) (LoadReport, error)
	// Load asks for the engine's load report.
	Load(ctx context.Context) (LoadReport, error)
	// CacheEvents gives the events after a sequence number; gap says that some
	// are missing, and that the index must be built anew from Next on.
	CacheEvents(ctx context.Context, after uint64) (events []CacheEvent, gap bool, err error)
	// ExportKV gives a handle for the cache of a running request.
	ExportKV(ctx context.Context, id RequestID) (handle string, err error)
}

// Application is a node's way to one application back end.
type Application interface {
	// Call sends the request once and gives the whole answer or an *Error.
	Call(ctx context.Context, request ApplicationRequest) (ApplicationResponse, error)
}

// Scorer gives rewards; asking twice for one sample gives the same answer.
type Scorer interface {
	Score(ctx context.Context, sample SampleID, prompt, text string) (reward float64, err error)
}

// PromptSource gives prompts by index; the same index gives the same prompt.
type PromptSource interface {
	Prompts(ctx context.Context, from PromptIndex, count int) ([]Prompt, error)
}

// Prompt is one prompt of a source.
type Prompt struct {
	Index  PromptIndex `cbor:"1,keyasint" json:"index"`
	Text   string      `cbor:"2,keyasint" json:"text"`
	Tokens int         `cbor:"3,keyasint" json:"tokens"`
}

// MachineList tells which machines exist, some time late.
type MachineList interface {
	Machines(ctx context.Context) ([]Machine, error)
}

// Control is a node's way to the replicated control state.
type Control interface {
	// Propose puts a command through the log. A refusal by the state machine
	// comes back in Result.Error; err tells of everything else, with a verdict.
	Propose(ctx context.Context, command Command) (Result, error)
	// Watch hands over updates after a position until ctx ends; it moves from
	// member to member by itself and never goes back in position.
	Watch(ctx context.Context, after uint64, receive func(ViewUpdate)) error
	// Report tells control about this node.
	Report(ctx context.Context, report NodeReport) error
}
