package policy

import "github.com/loomgrade/loomgrade/internal/port"

// Selection is the order in which buffered groups go into a batch.
type Selection string

// The selections.
const (
	// SelectOldest delivers the oldest groups within the bound first, so that fewer
	// become stale in the buffer.
	SelectOldest Selection = "oldest_first"
	// SelectFreshest delivers the freshest groups first: lower staleness, but more
	// groups are dropped.
	SelectFreshest Selection = "freshest_first"
)

// Resume is the rule for continuing a sample's text on another replica.
type Resume string

// The rules for resuming.
const (
	// ResumeNever restarts an interrupted sample from its prompt.
	ResumeNever Resume = "never"
	// ResumeFailed continues a sample whose replica failed or was lost.
	ResumeFailed Resume = "failed"
	// ResumeLong is ResumeFailed, and also moves a long sample once to another replica.
	ResumeLong Resume = "long"
)

// Limits of a plan's numbers.
const (
	MaxTargetInFlight = 1 << 20
	MaxOverProvision  = 64
	MaxPriorityOffset = 1000
)

// Plan is the result of a program. Fields that a program omits have the values of
// DefaultPlan.
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
	// LongTokens is the length from which a running sample counts as long; 0 disables
	// the rules for long samples.
	LongTokens int `json:"long_tokens"`
	// LongPriority is added for samples that a group waits for: restarted long ones, and
	// replacements in a group that has finished samples.
	LongPriority port.Priority `json:"long_priority"`
	// Resume is the rule for continuing a sample's text on another replica.
	Resume Resume `json:"resume"`
	// Zones, if not empty, restricts generation to these zones.
	Zones []port.ZoneName `json:"zones"`
	// Exclude lists replicas that get no samples.
	Exclude []port.ReplicaID `json:"exclude"`
	// AbandonAge is the age in versions of its oldest span from which an unfinished
	// sample is cancelled; it is at most the staleness bound.
	AbandonAge uint64 `json:"abandon_age"`
	// PredictStale cancels an unfinished sample that is expected to exceed the staleness
	// bound when it finishes.
	PredictStale bool `json:"predict_stale"`
	// MaxVersions limits the distinct versions that may produce one sample; 0
	// means any number.
	MaxVersions int `json:"max_versions"`
	// Selection is the order in which buffered groups go into a batch.
	Selection Selection `json:"selection"`
}

// DefaultPlan returns the values of the fields that a program omits.
func DefaultPlan(view View) Plan {
	return Plan{
		TargetInFlight: view.Capacity,
		Resume:         ResumeFailed,
		AbandonAge:     view.StalenessBound,
		Selection:      SelectOldest,
	}
}
