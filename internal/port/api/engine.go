package api

import "github.com/loomgrade/loomgrade/internal/port"

// Paths of a model engine, and of a node for PathCompletions.
const (
	PathEngineRequest = "/v1/requests/{id}"            // DELETE cancels
	PathEngineOrders  = "/v1/orders"                   // POST port.Order, returns port.LoadReport
	PathEngineLoad    = "/v1/load"                     // GET port.LoadReport
	PathCacheEvents   = "/v1/cache-events"             // GET ?after=SEQUENCE
	PathKVExport      = "/v1/kv/export"                // POST KVExport, returns KVHandle
	PathKVBlob        = "/v1/kv/{handle}"              // GET, between engines
	PathWeightsBlob   = "/v1/weights/{pool}/{version}" // GET at the weight store
)

// Completion is the body of POST /v1/completions: the OpenAI-compatible form with common
// extensions for scheduling.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority is the scheduling priority; higher goes first.
	Priority int    `json:"priority,omitempty"`
	Seed     uint64 `json:"seed,omitempty"`
	Adapter  string `json:"adapter,omitempty"`
	// ResumeText is a partial completion to continue, ResumeTokens its length.
	ResumeText   string `json:"resume_text,omitempty"`
	ResumeTokens int    `json:"resume_tokens,omitempty"`
	// KVHandle is the PathKVBlob URL of an exported cache to import.
	KVHandle string `json:"kv_handle,omitempty"`
	// MinVersion makes the engine reject the request (409, not run) if its version is
	// older.
	MinVersion uint64 `json:"min_version,omitempty"`
}

// CompletionChunk is one server-sent event of a streamed completion, or the complete
// response if Stream was false. The stream ends with "data: [DONE]".
type CompletionChunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	// Spans lists the weight versions that produced this chunk's tokens.
	Spans []port.Span `json:"spans,omitempty"`
	Usage *Usage      `json:"usage,omitempty"`
}

// CompletionChoice is the only choice of a chunk.
type CompletionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts tokens. It is set on the last chunk.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// CacheEvents is the response of PathCacheEvents. First is the lowest sequence number still
// stored; a caller behind it has missed events.
type CacheEvents struct {
	First  uint64            `json:"first"`
	Events []port.CacheEvent `json:"events"`
}

// KVExport requests the cache of a running request.
type KVExport struct {
	RequestID string `json:"request_id"`
}

// KVHandle identifies an exported cache.
type KVHandle struct {
	Handle string `json:"handle"`
	Bytes  uint64 `json:"bytes"`
	Tokens int    `json:"tokens"`
}
