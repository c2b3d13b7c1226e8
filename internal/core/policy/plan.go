package policy

import "github.com/loomgrade/loomgrade/internal/port"

// Selection says which of the buffered groups go into a batch first.
type Selection string

// The selections.
const (
	// SelectOldest delivers the oldest groups still within the bound first, so
	// that fewer go stale in the buffer.
	SelectOldest Selection = "oldest_first"
	// SelectFreshest delivers the freshest groups first, for low staleness at
	// the cost of dropping more.
	SelectFreshest Selection = "freshest_first"
)

// Resume says when a sample continues from its text so far on another replica.
type Resume string

// The rules for resuming.
const (
	// ResumeNever starts an interrupted sample from its prompt again.
	ResumeNever Resume = "never"
	// ResumeFailed continues a sample whose replica failed or was lost.
	ResumeFailed Resume = "failed"
	// ResumeLong does that, and also moves a long sample once to another replica.
	ResumeLong Resume = "long"
)

// Bounds of a plan's numbers.
const (
	MaxTargetInFlight = 1 << 20
	MaxOverProvision  = 64
	MaxPriorityOffset = 1000
)

// Plan is what a program decided. The zero value of a field a program left out
// is replaced by the default that DefaultPlan gives.
type Plan struct {
	// TargetInFlight is the number of samples to keep in generation.
	TargetInFlight int `json:"target_in_flight"`
	// MinVersion is the oldest version a new sample may start on.
	MinVersion port.WeightVersion `json:"min_version"`
	// OverProvision is the number of extra samples started for each group; the
	// first ones to finish make the group and the others are cancelled.
	OverProvision int `json:"over_provision"`
	// Priority is added to the pool's priority for every sample.
	Priority port.Priority `json:"priority"`
	// LongTokens is the length from which a running sample counts as long; 0
	// switches the rules for long samples off.
	LongTokens int `json:"long_tokens"`
	// LongPriority is added for samples that a group waits for: long ones that
	// are started again, and replacements in a group that has finished samples.
	LongPriority port.Priority `json:"long_priority"`
	// Resume says when a sample continues elsewhere from its text so far.
	Resume Resume `json:"resume"`
	// Zones, if not empty, lists the only zones to generate in.
	Zones []port.ZoneName `json:"zones"`
	// Exclude lists replicas that get no samples.
	Exclude []port.ReplicaID `json:"exclude"`
	// AbandonAge is the age in versions of its oldest span from which an
	// unfinished sample is given up; it is at most the staleness bound.
	AbandonAge uint64 `json:"abandon_age"`
	// PredictStale gives up an unfinished sample as soon as it is expected to be
	// over the staleness bound when it finishes.
	PredictStale bool `json:"predict_stale"`
	// MaxVersions bounds the distinct versions that may produce one sample; 0
	// means any number.
	MaxVersions int `json:"max_versions"`
	// Selection says which buffered groups go first.
	Selection Selection `json:"selection"`
}

// DefaultPlan gives the plan that holds for fields a program leaves out.
func DefaultPlan(view View) Plan {
	return Plan{
		TargetInFlight: view.Capacity,
		Resume:         ResumeFailed,
		AbandonAge:     view.StalenessBound,
		Selection:      SelectOldest,
	}
}
