package sim

import (
	"testing"
	"time"
)

// overProvisionPolicy starts two samples more than a group needs.
const overProvisionPolicy = `
def plan(pool):
    return struct(target_in_flight = pool.capacity, over_provision = 2)
`

func TestOverProvisionLosesTokensAndShortensSamples(t *testing.T) {
	// With rare publications no sample becomes stale.
	site := Marea()
	for index := range site.Trainers {
		site.Trainers[index].PublishEvery = 6
	}
	measure := func(policy string) (lost, meanTokens float64) {
		options := Options{
			Site: site, Seed: 3, Length: 3 * time.Minute, Warmup: 30 * time.Second,
			Variant: Variant{Name: "spare", Routing: RoutingLoomgrade, Policy: policy},
		}
		outcome := run(t, options)
		samples, tokens := 0, 0
		for _, trainer := range outcome.Trainers {
			samples += trainer.Samples
			tokens += trainer.Tokens
		}
		return float64(outcome.TokensLost) / float64(outcome.TokensGenerated), float64(tokens) / float64(samples)
	}
	lost, mean := measure(baselinePolicy)
	overProvisionedLost, overProvisionedMean := measure(overProvisionPolicy)
	if lost != 0 || overProvisionedLost <= 0 {
		t.Errorf("share of tokens lost %v without and %v with over-provisioning, want 0 and more", lost, overProvisionedLost)
	}
	if overProvisionedMean >= mean {
		t.Errorf("mean tokens of a delivered sample %v without and %v with over-provisioning, want fewer", mean, overProvisionedMean)
	}
}
