package audit

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// End is how work at a back end ended.
type End string

// Ends of work. Work in progress has the empty End.
const (
	EndFinished  End = "finished"  // the complete answer was written
	EndCancelled End = "cancelled" // the caller cancelled it or disconnected
	EndExported  End = "exported"  // its KV cache was exported
	EndCrashed   End = "crashed"   // the back end crashed
	EndCut       End = "cut"       // the back end closed the connection early
)

// Generation is the part of a request that ran on one engine.
type Generation struct {
	// Work identifies the generation in a journal; see Entry.
	Work      string `json:"work,omitempty"`
	Engine    string `json:"engine"` // address
	RequestID string `json:"request_id"`
	// From is the zone of the process that sent the request, if known.
	From string `json:"from,omitempty"`
	// Call is the PromptKey of the prompt.
	Call string `json:"call"`
	// Key is the content key of prompt and seed.
	Key uint64 `json:"key"`
	// FirstToken is the position of the first generated token.
	FirstToken int `json:"first"`
	// TotalTokens is the length of the complete output, counted from position 0.
	TotalTokens int `json:"whole"`
	// Spans are the generated tokens, by the version that generated them.
	Spans     []port.Span   `json:"spans"`
	StartedAt time.Duration `json:"started_at"`
	EndedAt   time.Duration `json:"ended_at"`
	End       End           `json:"end"`
}

// Execution is one run of a call on an application service.
type Execution struct {
	// Work identifies the execution in a journal; see Entry.
	Work      string `json:"work,omitempty"`
	BackEnd   string `json:"back_end"` // address
	RequestID string `json:"request_id"`
	// From is the zone of the process that sent the request, if known.
	From      string        `json:"from,omitempty"`
	Call      string        `json:"call"`
	StartedAt time.Duration `json:"started_at"`
	EndedAt   time.Duration `json:"ended_at"`
	End       End           `json:"end"`
}

// Outcome is the result of a call as its caller received it.
type Outcome string

// Outcomes of a call.
const (
	OutcomeAnswered   Outcome = "answered"
	OutcomeNotRun     Outcome = "not_run"      // error with this verdict
	OutcomeMayHaveRun Outcome = "may_have_run" // error with this verdict, or without one
	OutcomeRan        Outcome = "ran"          // error with this verdict
	OutcomeLost       Outcome = "lost"         // the connection ended before the complete answer
	OutcomeAbandoned  Outcome = "left"         // the caller gave up
)

// Call is one attempt of a caller. A retry is another Call with the same key.
type Call struct {
	Class   string  `json:"class"`  // kind of caller
	Target  string  `json:"target"` // address of the called process
	Key     string  `json:"call"`   // unique key of the requested content
	Unsafe  bool    `json:"unsafe"` // must run at most once
	Outcome Outcome `json:"outcome"`
	// AnswerKey is the key of the call that the answer's content belongs to; Complete
	// reports whether the content was complete.
	AnswerKey string        `json:"answer_to,omitempty"`
	Complete  bool          `json:"whole,omitempty"`
	Text      string        `json:"text,omitempty"` // of a completion
	Spans     []port.Span   `json:"spans,omitempty"`
	Detail    string        `json:"detail,omitempty"`
	StartedAt time.Duration `json:"started_at"`
	EndedAt   time.Duration `json:"ended_at"`
}

// Delivery is one batch that a trainer received completely.
type Delivery struct {
	Trainer string `json:"trainer"`
	Pool    string `json:"pool"`
	Batch   uint64 `json:"batch"`
	Attempt uint32 `json:"attempt"`
	// Version is the trainer's newest version on receipt.
	Version port.WeightVersion `json:"version"`
	// RequestedAt is when the trainer sent the request and HeaderAt when the response header
	// arrived; 0 if not recorded. HeaderVersion is the newest version that the trainer had
	// published or begun to publish then; 0 if the header did not announce the length of
	// the content, which may then have been produced later.
	RequestedAt   time.Duration      `json:"asked_at,omitempty"`
	HeaderAt      time.Duration      `json:"head_at,omitempty"`
	HeaderVersion port.WeightVersion `json:"head_version,omitempty"`
	// Trained reports whether the trainer trained on the batch. It is false if a crash
	// lost the batch before it was acknowledged.
	Trained bool          `json:"trained"`
	At      time.Duration `json:"at"`
	Samples []Sample      `json:"samples"`
}

// Sample is one delivered sample.
type Sample struct {
	ID     string           `json:"id"`
	Prompt port.PromptIndex `json:"prompt"`
	Call   string           `json:"call"` // PromptKey of the prompt's text
	Text   string           `json:"text"`
	Tokens int              `json:"tokens"`
	Spans  []port.Span      `json:"spans"`
}

// Departure is the announcement that a back end is leaving.
type Departure struct {
	BackEnd string `json:"back_end"` // address
	// From limits the departure to requests from one zone; empty means all.
	From string `json:"from,omitempty"`
	// SignalledAt is when the machine list first showed the zone that it is leaving.
	SignalledAt time.Duration `json:"signalled_at"`
}

// GracefulStop is a graceful stop of a process, from the signal to its exit.
type GracefulStop struct {
	Process string        `json:"process"` // address
	From    time.Duration `json:"from"`
	To      time.Duration `json:"to"`
}

// Fault is a fault injected by the test driver.
type Fault struct {
	Target string        `json:"target"`
	Kind   string        `json:"kind"`
	From   time.Duration `json:"from"`
	To     time.Duration `json:"to"`
}

// Observations holds the observations of a run.
type Observations struct {
	Generations   []Generation   `json:"generations,omitempty"`
	Executions    []Execution    `json:"executions,omitempty"`
	Calls         []Call         `json:"calls,omitempty"`
	Deliveries    []Delivery     `json:"deliveries,omitempty"`
	Departures    []Departure    `json:"departures,omitempty"`
	GracefulStops []GracefulStop `json:"planned_stops,omitempty"`
	Faults        []Fault        `json:"faults,omitempty"`
}

// Merge appends the observations of another observer.
func (o *Observations) Merge(other Observations) {
	o.Generations = append(o.Generations, other.Generations...)
	o.Executions = append(o.Executions, other.Executions...)
	o.Calls = append(o.Calls, other.Calls...)
	o.Deliveries = append(o.Deliveries, other.Deliveries...)
	o.Departures = append(o.Departures, other.Departures...)
	o.GracefulStops = append(o.GracefulStops, other.GracefulStops...)
	o.Faults = append(o.Faults, other.Faults...)
}

// PromptKey returns the key of a completion call, derived from its prompt. Callers use
// unique prompts.
func PromptKey(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}
