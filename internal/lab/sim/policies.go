package sim

import (
	"strings"

	"github.com/loomgrade/loomgrade/internal/core/policy"
)

// plainPolicy is that of the baselines: a fixed number of samples in flight, as
// many as the engines run at a time.
const plainPolicy = `
def plan(pool):
    return struct(target_in_flight = pool.capacity)
`

// withoutLongSamples follows a program and takes the rules for long samples out
// of its plan.
const withoutLongSamples = `
def plan(pool):
    full = full_plan(pool)
    fields = full if type(full) == "dict" else {name: getattr(full, name) for name in dir(full)}
    fields["long_tokens"] = 0
    fields["long_priority"] = 0
    fields["over_provision"] = 0
    fields["resume"] = "failed"
    return fields
`

// policyOf gives the program of a trainer's pool under the variant.
func (w *world) policyOf(trainer *Trainer) string {
	variant := &w.options.Variant
	source := trainer.Sampling.Policy
	switch {
	case variant.Policy != "":
		source = variant.Policy
	case variant.Routing != RoutingLoomgrade:
		return plainPolicy
	}
	if source == "" {
		source = policy.Default
	}
	if variant.Routing == RoutingLoomgrade && !variant.with(PartLongSamples) {
		return strings.Replace(source, "def plan(", "def full_plan(", 1) + withoutLongSamples
	}
	return source
}

// maxInFlight is the bound of a replica's adaptive limit: what an engine runs at
// a time.
func (w *world) maxInFlight() int { return w.replicas[0].model.Config().MaxSequences }

// minInFlight is the lower bound: without the adaptive limit it is the upper one.
func (w *world) minInFlight() int {
	if w.options.Variant.with(PartAdmission) {
		return 1
	}
	return w.maxInFlight()
}
