package experiment_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// validFile is a valid experiment file.
const validFile = `name: demo
site: marea
overrides:
  engines: 4
  engine:
    step_base: 10ms
  lengths: {median: 100, sigma: 0.5, max: 800}
  trainer_step: 10s
  prompt_tokens: 1000
  shared_prefix_tokens: 600
length: 20m
warm_up: 2m
seeds: 3
reference: loomgrade
variants:
  - name: round-robin
    routing: round_robin
  - name: random
    routing: random
  - name: without-staging
    routing: loomgrade
    without: [staging]
  - name: loomgrade
    routing: loomgrade
sweeps:
  - setting: engine.step_base
    values: [5ms, 20ms]
    variants: [random, loomgrade]
    seeds: 2
bars:
  - figure: idle_share
    variant: loomgrade
    against: best_baseline
    at_most: 0.7
  - figure: staleness_p99
    variant: loomgrade
    against: best_baseline
    at_most: 1
    throughput: 0.98
`

// fakeIdle is the idle share of each variant in the fake simulator, without noise.
var fakeIdle = map[string]float64{"round-robin": 0.4, "random": 0.5, "without-staging": 0.3, "loomgrade": 0.2}

// fakeSimulate is a fake simulator. Its noise depends only on the seed, so it is equal
// for all variants.
func fakeSimulate(options sim.Options) (sim.Outcome, error) {
	source := rand.New(rand.NewPCG(options.Seed, 0))
	noise := 0.1 * source.Float64()
	idle := fakeIdle[options.Variant.Name] + noise
	outcome := sim.Outcome{
		Limits:          sim.Limits{IdleShare: 0.1, Staleness: 1},
		LongSampleTimes: histogram(source, 60_000),
		TokensGenerated: 1000,
		PrefixHitShare:  0.5,
		Series:          []sim.Point{{At: time.Minute, Waiting: 3, InFlight: 7}, {At: 2 * time.Minute, Waiting: 1, InFlight: 9}},
	}
	for _, trainer := range options.Site.Trainers {
		outcome.Trainers = append(outcome.Trainers, sim.TrainerOutcome{
			Pool: trainer.Pool, Samples: 900, Tokens: 900 * int(100+options.Seed), IdleShare: idle,
			Staleness: histogram(source, 3), StaleMillis: histogram(source, 30_000),
		})
	}
	for _, caller := range options.Site.Callers {
		outcome.Callers = append(outcome.Callers, sim.CallerOutcome{
			Name: caller.Name, Answered: 99, Refused: 1, Latency: histogram(source, 20_000),
		})
	}
	return outcome, nil
}

func histogram(source *rand.Rand, limit int64) *hdrhistogram.Histogram {
	const values = 100
	recorded := hdrhistogram.New(1, 3_600_000, 3)
	for range values {
		_ = recorded.RecordValue(source.Int64N(limit))
	}
	return recorded
}

func parse(t *testing.T, content string) *experiment.Settings {
	t.Helper()
	settings, err := experiment.Parse("demo.yaml", []byte(content))
	if err != nil {
		t.Fatalf("a valid file was rejected: %v", err)
	}
	return settings
}

func runFake(t *testing.T, content string, simulate experiment.Simulator, parallel int) *experiment.Results {
	t.Helper()
	plan := experiment.Plan{Settings: parse(t, content), Simulate: simulate, Parallel: parallel}
	results, err := experiment.Run(context.Background(), plan)
	if err != nil {
		t.Fatalf("the experiment failed: %v", err)
	}
	return results
}
