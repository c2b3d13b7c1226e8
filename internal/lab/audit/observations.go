package audit

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// End says how work at a back end ended.
type End string

// Ways for work to end. Work that was still going on when the observations
// were taken has the empty End.
const (
	EndFinished  End = "finished"  // the whole answer was written
	EndCancelled End = "cancelled" // the asker cancelled it or went away
	EndExported  End = "exported"  // its KV state was moved elsewhere
	EndCrashed   End = "crashed"   // the back end crashed
	EndCut       End = "cut"       // the back end closed the connection early
)

// Generation is one stay of a request on an engine.
type Generation struct {
	// Work names the stay in a journal; see Entry.
	Work      string `json:"work,omitempty"`
	Engine    string `json:"engine"` // address
	RequestID string `json:"request_id"`
	// From is the zone of the process that sent the request, if it is known.
	From string `json:"from,omitempty"`
	// Call is PromptKey of the prompt.
	Call string `json:"call"`
	// Key is the content key of prompt and seed.
	Key uint64 `json:"key"`
	// First is the position of the first token generated in this stay.
	FirstToken int `json:"first"`
	// Whole is the length of the complete output from position 0.
	TotalTokens int `json:"whole"`
	// Spans are the tokens produced, with the versions that truly did.
	Spans     []port.Span   `json:"spans"`
	StartedAt time.Duration `json:"started_at"`
	EndedAt   time.Duration `json:"ended_at"`
	End       End           `json:"end"`
}

// Execution is one run of a call on an application service.
type Execution struct {
	// Work names the run in a journal; see Entry.
	Work      string `json:"work,omitempty"`
	BackEnd   string `json:"back_end"` // address
	RequestID string `json:"request_id"`
	// From is the zone of the process that sent the request, if it is known.
	From      string        `json:"from,omitempty"`
	Call      string        `json:"call"`
	StartedAt time.Duration `json:"started_at"`
	EndedAt   time.Duration `json:"ended_at"`
	End       End           `json:"end"`
}

// Outcome is what a caller was told.
type Outcome string

// Outcomes of a call.
const (
	OutcomeAnswered   Outcome = "answered"
	OutcomeNotRun     Outcome = "not_run"      // refused or failed with this verdict
	OutcomeMayHaveRun Outcome = "may_have_run" // failed with this verdict, or without one
	OutcomeRan        Outcome = "ran"          // failed with this verdict
	OutcomeLost       Outcome = "lost"         // the connection ended without a whole answer
	OutcomeAbandoned  Outcome = "left"         // the caller itself gave up
)

// Call is one attempt of a caller. A resend is a further Call with the same
// key.
type Call struct {
	Class   string  `json:"class"`  // kind of caller
	Target  string  `json:"target"` // address that was asked
	Key     string  `json:"call"`   // unique key of the content asked for
	Unsafe  bool    `json:"unsafe"` // must run at most once
	Outcome Outcome `json:"outcome"`
	// AnswerTo is the key that the answer's content belongs to, and Whole says
	// that all of the content was there.
	AnswerKey string        `json:"answer_to,omitempty"`
	Complete  bool          `json:"whole,omitempty"`
	Text      string        `json:"text,omitempty"` // of a completion
	Spans     []port.Span   `json:"spans,omitempty"`
	Detail    string        `json:"detail,omitempty"`
	StartedAt time.Duration `json:"started_at"`
	EndedAt   time.Duration `json:"ended_at"`
}

// Delivery is one batch that a trainer received whole.
type Delivery struct {
	Trainer string `json:"trainer"`
	Pool    string `json:"pool"`
	Batch   uint64 `json:"batch"`
	Attempt uint32 `json:"attempt"`
	// Version is the trainer's own newest version on receipt.
	Version port.WeightVersion `json:"version"`
	// AskedAt is when the trainer asked, HeadAt when the head of the answer came and
	// HeadVersion the trainer's version then; all are 0 if the trainer does not note them.
	AskedAt     time.Duration      `json:"asked_at,omitempty"`
	HeadAt      time.Duration      `json:"head_at,omitempty"`
	HeadVersion port.WeightVersion `json:"head_version,omitempty"`
	// Trained says that the trainer learned from the batch and kept it: false
	// when a crash lost it before it was acknowledged.
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

// Departure says that a back end is leaving.
type Departure struct {
	BackEnd string `json:"back_end"` // address
	// From limits the departure to requests from one zone; empty means all.
	From string `json:"from,omitempty"`
	// SignalledAt is when the machine list first showed it as leaving, to the
	// zone.
	SignalledAt time.Duration `json:"signalled_at"`
}

// PlannedStop is an orderly stop of a process, from the signal to its exit.
type PlannedStop struct {
	Process string        `json:"process"` // address
	From    time.Duration `json:"from"`
	To      time.Duration `json:"to"`
}

// Fault is a disturbance that the run's driver caused.
type Fault struct {
	Target string        `json:"target"`
	Kind   string        `json:"kind"`
	From   time.Duration `json:"from"`
	To     time.Duration `json:"to"`
}

// Observations is everything seen in a run.
type Observations struct {
	Generations  []Generation  `json:"generations,omitempty"`
	Executions   []Execution   `json:"executions,omitempty"`
	Calls        []Call        `json:"calls,omitempty"`
	Deliveries   []Delivery    `json:"deliveries,omitempty"`
	Departures   []Departure   `json:"departures,omitempty"`
	PlannedStops []PlannedStop `json:"planned_stops,omitempty"`
	Faults       []Fault       `json:"faults,omitempty"`
}

// Merge adds the observations of another observer.
func (o *Observations) Merge(other Observations) {
	o.Generations = append(o.Generations, other.Generations...)
	o.Executions = append(o.Executions, other.Executions...)
	o.Calls = append(o.Calls, other.Calls...)
	o.Deliveries = append(o.Deliveries, other.Deliveries...)
	o.Departures = append(o.Departures, other.Departures...)
	o.PlannedStops = append(o.PlannedStops, other.PlannedStops...)
	o.Faults = append(o.Faults, other.Faults...)
}

// PromptKey returns the key of a completion call. Callers make their prompts
// unique, so that the key names one call.
func PromptKey(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), 16)
}
