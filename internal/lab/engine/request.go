package engine

import (
	"errors"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// UnknownVersion is reported when the engine cannot tell which weights it
// serves, as after a swap that failed partway.
const UnknownVersion port.WeightVersion = 0

// Weights names one set of weights: of a base model, or of an adapter when
// Adapter is not empty.
type Weights struct {
	Model   string
	Adapter string
	Version port.WeightVersion
}

// Role limits the requests that an engine accepts.
type Role uint8

// Roles of an engine.
const (
	RoleBoth    Role = iota // prefill and decode
	RolePrefill             // only requests with PrefillOnly
	RoleDecode              // only requests whose context is imported
)

// String returns the name of the role.
func (r Role) String() string {
	switch r {
	case RolePrefill:
		return "prefill"
	case RoleDecode:
		return "decode"
	default:
		return "both"
	}
}

// Request asks for a completion.
type Request struct {
	// ID names the request; it must not be in use on this engine.
	ID string
	// Priority orders waiting requests; higher goes first.
	Priority int
	// Adapter names a loaded adapter, or is empty.
	Adapter string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// PromptBlocks are the chained hashes of the prompt's full blocks.
	PromptBlocks []uint64
	// ContentKey identifies the text that follows the prompt. Requests with
	// equal prompts and keys share the cache blocks of generated tokens.
	ContentKey uint64
	// ResumedTokens counts tokens generated earlier, here or elsewhere, from
	// which generation continues.
	ResumedTokens int
	// ImportedTokens counts leading context tokens whose KV state is
	// transferred to this engine instead of computed.
	ImportedTokens int
	// OutputTokens is how many tokens are generated here before the sequence
	// ends by itself. The system under test does not know it.
	OutputTokens int
	// MaxTokens bounds the tokens generated here; 0 means no bound.
	MaxTokens int
	// PrefillOnly computes the context and holds it for export.
	PrefillOnly bool
}

// target returns how many tokens the request generates here.
func (r *Request) target() int {
	if r.MaxTokens > 0 && r.MaxTokens < r.OutputTokens {
		return r.MaxTokens
	}
	return r.OutputTokens
}

// FinishReason says why a sequence ended.
type FinishReason uint8

// Reasons for the end of a sequence.
const (
	FinishStop      FinishReason = iota // the sequence ended by itself
	FinishLength                        // MaxTokens was reached
	FinishPrefilled                     // the context is computed and held
)

// Completion describes a finished sequence.
type Completion struct {
	Reason       FinishReason
	Spans        []port.Span
	SubmittedAt  time.Duration
	FirstTokenAt time.Duration
	// CachedTokens counts context tokens found in the prefix cache at the
	// first admission.
	CachedTokens int
	// Preemptions counts how often the sequence lost its memory.
	Preemptions int
}

// EventKind says what an Event reports.
type EventKind uint8

// Kinds of events, with the fields of Event that they fill.
const (
	EventTokens        EventKind = iota // ID, Count, Version
	EventFinished                       // ID, Completion
	EventPreempted                      // ID
	EventExported                       // ID, Count (context tokens), Completion (spans so far)
	EventStaged                         // Weights
	EventActivated                      // Weights
	EventSwapFailed                     // Weights (those that were ordered)
	EventAdapterLoaded                  // Weights
	EventCache                          // Cache
)

// Event reports something that the engine did at time At.
type Event struct {
	At         time.Duration
	Kind       EventKind
	ID         string
	Count      int
	Version    port.WeightVersion
	Weights    Weights
	Completion *Completion
	Cache      CacheEvent
}

// CacheEventKind says how the prefix cache changed.
type CacheEventKind uint8

// Kinds of cache events.
const (
	CacheStored  CacheEventKind = iota // Hash became reusable
	CacheRemoved                       // Hash was evicted
	CacheCleared                       // everything was dropped
)

// CacheEvent is one change of the prefix cache. Sequence numbers are
// consecutive within an incarnation of the engine and start above
// incarnation << incarnationShift, so that they also grow across restarts.
type CacheEvent struct {
	Sequence uint64
	Kind     CacheEventKind
	Hash     uint64
}

// Errors of Submit, Export and CompleteStaging. A request that was refused
// with one of them did not run.
var (
	ErrDown             = errors.New("engine is down")
	ErrQueueFull        = errors.New("waiting queue is full")
	ErrDuplicateID      = errors.New("request id is in use")
	ErrTooLarge         = errors.New("request does not fit into KV memory")
	ErrEmpty            = errors.New("request has no prompt or no output")
	ErrRole             = errors.New("engine's role does not allow the request")
	ErrAdapterNotLoaded = errors.New("adapter is not loaded")
	ErrUnknownRequest   = errors.New("no such request")
)
