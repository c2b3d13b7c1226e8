package sim

import (
	"strings"

	"github.com/loomgrade/loomgrade/internal/core/policy"
)

// baselinePolicy is the policy of the baselines: a fixed number of samples in flight,
// equal to the engines' capacity.
const baselinePolicy = `
def plan(pool):
    return struct(target_in_flight = pool.capacity)
`

// withoutLongSamples is appended to a policy and removes the rules for long samples
// from its plan.
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

// policyOf returns the policy of a trainer's pool under the variant.
func (w *world) policyOf(trainer *Trainer) string {
	variant := &w.options.Variant
	source := trainer.Sampling.Policy
	switch {
	case variant.Policy != "":
		source = variant.Policy
	case variant.Routing != RoutingLoomgrade:
		return baselinePolicy
	}
	if source == "" {
		source = policy.Default
	}
	if variant.Routing == RoutingLoomgrade && !variant.enabled(PartLongSamples) {
		return strings.Replace(source, "def plan(", "def full_plan(", 1) + withoutLongSamples
	}
	return source
}

// maxInFlight is the maximum of a replica's adaptive limit: the engine's batch size.
func (w *world) maxInFlight() int { return w.replicas[0].model.Config().MaxSequences }

// minInFlight is the minimum of a replica's limit: the maximum without PartAdmission.
func (w *world) minInFlight() int {
	if w.options.Variant.enabled(PartAdmission) {
		return 1
	}
	return w.maxInFlight()
}
