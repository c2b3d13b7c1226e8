package port

import "time"

// GenerateRequest requests one completion from a generation pool.
type GenerateRequest struct {
	ID     RequestID  `cbor:"1,keyasint"`
	Pool   PoolName   `cbor:"2,keyasint"`
	Tenant TenantName `cbor:"3,keyasint,omitempty"`
	// Prompt is the text, PromptTokens its estimated length in tokens.
	Prompt       string   `cbor:"4,keyasint"`
	PromptTokens int      `cbor:"5,keyasint"`
	MaxTokens    int      `cbor:"6,keyasint"`
	Priority     Priority `cbor:"7,keyasint"`
	// Seed makes samples of the same prompt differ.
	Seed uint64 `cbor:"8,keyasint,omitempty"`
	// Resume is the text generated so far, to be continued, and ResumeTokens its length.
	Resume       string `cbor:"9,keyasint,omitempty"`
	ResumeTokens int    `cbor:"10,keyasint,omitempty"`
	// KVHandle names an exported KV cache to import; empty means none.
	KVHandle string `cbor:"11,keyasint,omitempty"`
	// MinVersion is the oldest weight version that may serve the request; 0 means any.
	MinVersion WeightVersion `cbor:"12,keyasint,omitempty"`
	// Safe is set if the request may run more than once.
	Safe bool `cbor:"13,keyasint,omitempty"`
	// PrefixHashes are the block hashes of the prompt, for prefix affinity.
	PrefixHashes []uint64 `cbor:"14,keyasint,omitempty"`
	// Replica, if set, is the replica that the sending node chose. Its home node may
	// reject the request.
	Replica ReplicaID `cbor:"15,keyasint,omitempty"`
	// Adapter names the adapter to use; empty means the base model.
	Adapter string `cbor:"16,keyasint,omitempty"`
}

// Span is a run of tokens produced by one weight version.
type Span struct {
	Version WeightVersion `cbor:"1,keyasint" json:"version"`
	Tokens  int           `cbor:"2,keyasint" json:"tokens"`
}

// OldestVersion returns the lowest version of the spans: 0 if there are none or one is
// unknown.
func OldestVersion(spans []Span) WeightVersion {
	var oldest WeightVersion
	for index, span := range spans {
		if index == 0 || span.Version < oldest {
			oldest = span.Version
		}
	}
	return oldest
}

// AppendTokens appends tokens of a version to spans, merging them with a last span of the
// same version.
func AppendTokens(spans []Span, version WeightVersion, tokens int) []Span {
	last := len(spans) - 1
	if last >= 0 && spans[last].Version == version {
		spans[last].Tokens += tokens
		return spans
	}
	return append(spans, Span{Version: version, Tokens: tokens})
}

// GenerateChunk is a part of a streamed completion.
type GenerateChunk struct {
	Text    string        `cbor:"1,keyasint"`
	Tokens  int           `cbor:"2,keyasint"`
	Version WeightVersion `cbor:"3,keyasint"`
	// Finish is set on the last chunk only.
	Finish FinishReason `cbor:"4,keyasint,omitempty"`
}

// FinishReason is the reason why a completion ended.
type FinishReason string

// The finish reasons.
const (
	FinishStop   FinishReason = "stop"
	FinishLength FinishReason = "length"
)

// LoadReport is the load and weight state that an engine reports, with a delay.
type LoadReport struct {
	Running int           `cbor:"1,keyasint" json:"running"`
	Waiting int           `cbor:"2,keyasint" json:"waiting"`
	KVUsed  int           `cbor:"3,keyasint" json:"kv_used_blocks"`
	KVTotal int           `cbor:"4,keyasint" json:"kv_total_blocks"`
	Version WeightVersion `cbor:"5,keyasint" json:"version"`
	Staged  WeightVersion `cbor:"6,keyasint" json:"staged_version"`
	Role    EngineRole    `cbor:"7,keyasint" json:"role"`
	Fence   Epoch         `cbor:"8,keyasint" json:"highest_fence"`
	// Adapters lists the adapters loaded, with their versions.
	Adapters    []AdapterVersion `cbor:"9,keyasint,omitempty" json:"adapters,omitempty"`
	Incarnation uint64           `cbor:"10,keyasint" json:"incarnation"`
	// AgeMillis is the age of the report when it was sent, in milliseconds.
	AgeMillis int64 `cbor:"11,keyasint" json:"age_ms"`
	// Staging is the version in transfer from the weight store; 0 means none.
	Staging WeightVersion `cbor:"12,keyasint,omitempty" json:"staging_version,omitempty"`
}

// AdapterVersion holds the versions of an adapter that an engine serves, has staged and is
// staging.
type AdapterVersion struct {
	Name    string        `cbor:"1,keyasint" json:"name"`
	Version WeightVersion `cbor:"2,keyasint" json:"version"`
	Staged  WeightVersion `cbor:"3,keyasint" json:"staged_version"`
	Staging WeightVersion `cbor:"4,keyasint,omitempty" json:"staging_version,omitempty"`
}

// StagingVersion returns the version of an adapter that the engine is staging, or of the base
// model if adapter is empty; 0 means none.
func (r *LoadReport) StagingVersion(adapter string) WeightVersion {
	if adapter == "" {
		return r.Staging
	}
	for _, loaded := range r.Adapters {
		if loaded.Name == adapter {
			return loaded.Staging
		}
	}
	return 0
}

// Versions returns the versions of an adapter that the engine serves and has staged, or of
// the base model if adapter is empty; 0 means none.
func (r *LoadReport) Versions(adapter string) (version, staged WeightVersion) {
	if adapter == "" {
		return r.Version, r.Staged
	}
	for _, loaded := range r.Adapters {
		if loaded.Name == adapter {
			return loaded.Version, loaded.Staged
		}
	}
	return 0, 0
}

// LoadedAdapters returns the adapters of which the engine serves a known version. It leaves out
// adapters that are only staged or were left in an unknown state by a failed swap.
func (r *LoadReport) LoadedAdapters() []string {
	var names []string
	for _, adapter := range r.Adapters {
		if adapter.Version != 0 {
			names = append(names, adapter.Name)
		}
	}
	return names
}

// EngineRole is the phase that an engine serves.
type EngineRole string

// The roles.
const (
	RoleBoth    EngineRole = "both"
	RolePrefill EngineRole = "prefill"
	RoleDecode  EngineRole = "decode"
)

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of order.
const (
	OrderStage       OrderKind = "stage"
	OrderActivate    OrderKind = "activate"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderSetRole     OrderKind = "set_role"
)

// Order orders an engine to change what it serves. An engine rejects an order with a
// lower fence than the highest it has seen.
type Order struct {
	Kind    OrderKind     `cbor:"1,keyasint" json:"kind"`
	Fence   Epoch         `cbor:"2,keyasint" json:"fence"`
	Version WeightVersion `cbor:"3,keyasint" json:"version,omitempty"`
	// Source is the URL of the weights, for OrderStage.
	Source  string     `cbor:"4,keyasint" json:"source,omitempty"`
	Adapter string     `cbor:"5,keyasint" json:"adapter,omitempty"`
	Role    EngineRole `cbor:"6,keyasint" json:"role,omitempty"`
}

// CacheEvent records that an engine stored or evicted a prefix block.
type CacheEvent struct {
	Sequence uint64 `cbor:"1,keyasint" json:"sequence"`
	Block    uint64 `cbor:"2,keyasint" json:"block"`
	Evicted  bool   `cbor:"3,keyasint,omitempty" json:"evicted,omitempty"`
}

// MachineState is the state of a machine in the machine list.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// Machine is an entry of the machine list.
type Machine struct {
	Address string       `json:"address"`
	State   MachineState `json:"state"`
	// Since is the time of the last change, in Unix milliseconds.
	Since int64 `json:"since_ms"`
}

// ApplicationRequest is a short call to an application back end.
type ApplicationRequest struct {
	ID       RequestID
	Pool     PoolName
	Tenant   TenantName
	Method   string
	Path     string // including the query
	Header   []HeaderField
	Body     []byte
	Priority Priority
	Safe     bool
	Key      string // idempotency key of the caller; empty means none
	Deadline time.Time
}

// HeaderField is one HTTP header line.
type HeaderField struct{ Name, Value string }

// ApplicationResponse is a complete response.
type ApplicationResponse struct {
	Status int
	Header []HeaderField
	Body   []byte
}
