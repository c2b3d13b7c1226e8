package sim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Site describes the simulated platform, its callers and trainers.
type Site struct {
	Name string
	// Zones are the zones over which replicas and nodes are spread.
	Zones        []port.ZoneName
	NodesPerZone int
	// ZoneLatency is the one-way latency between zones, ClientLatency that
	// between callers and nodes.
	ZoneLatency, ClientLatency time.Duration

	// EnginePool is the pool of the engines.
	EnginePool port.PoolName
	Engines    int
	Engine     engine.Config
	// Application is the pool of the application back ends.
	Application         port.PoolName
	ApplicationReplicas int
	// ServiceTime is the median time that an application back end takes.
	ServiceTime time.Duration
	// ScoreTime is the median time that a scorer takes.
	ScoreTime time.Duration
	// WeightBytes is the size of one weight version, StoreRate the weight store's
	// throughput in bytes per second.
	WeightBytes, StoreRate uint64

	Trainers []Trainer
	Callers  []load.Class
	// Bursts multiply the callers' rates.
	Bursts []Burst
}

// Trainer consumes one pool's batches and publishes versions.
type Trainer struct {
	Pool port.PoolName
	// Adapter is the adapter that the trainer publishes; empty means the base model.
	Adapter  string
	Sampling port.Sampling
	// StepTime is the duration of a training step.
	StepTime time.Duration
	// PublishEvery is the number of steps between two versions.
	PublishEvery int
	// Prompts and Lengths describe the samples, which are the same for all variants of
	// a seed.
	PromptTokens       int
	SharedPrefixTokens int
	// SharedPrefixes is the number of distinct shared prefixes; 0 means one.
	SharedPrefixes int
	Lengths        engine.Lengths
}

// Burst multiplies the rate of all callers from At for Length.
type Burst struct {
	At, Length time.Duration
	Factor     float64
}

// Routing names how replicas are chosen.
type Routing string

// The routings. All but RoutingLoomgrade are baselines.
const (
	RoutingRoundRobin    Routing = "round_robin"
	RoutingRandom        Routing = "random"
	RoutingLeastInFlight Routing = "least_in_flight"
	RoutingLoomgrade     Routing = "loomgrade"
)

// Variant is a way to run the site.
type Variant struct {
	Name    string
	Routing Routing
	// Policy replaces the trainers' policy program unless it is empty.
	Policy string
	// Without names the disabled parts of loomgrade.
	Without []Part
	// ImportKV lets a moved long sample import its KV cache.
	ImportKV bool
}

// Part is a part of loomgrade that a variant can disable.
type Part string

// The parts.
const (
	PartPrefixAffinity Part = "prefix_affinity"
	PartLongSamples    Part = "long_samples"
	PartStaging        Part = "staging"
	PartPriorities     Part = "priorities"
	PartAdmission      Part = "adaptive_admission"
)

// Options are the inputs of one run.
type Options struct {
	Site    Site
	Variant Variant
	Seed    uint64
	// Length is the virtual length of the run. Statistics exclude the time
	// before Warmup.
	Length, Warmup time.Duration
	// Progress, if set, is called periodically with the virtual time.
	Progress func(at time.Duration)
}

// Outcome is the result of one run. Equal options give equal outcomes.
type Outcome struct {
	Trainers []TrainerOutcome
	Callers  []CallerOutcome
	Series   []Point
	Limits   Limits
	// LongSampleTimes holds the times of samples beyond the 95th percentile of length,
	// from first start to score, in milliseconds.
	LongSampleTimes *hdrhistogram.Histogram
	// TokensGenerated counts all generated tokens, TokensLost those of samples that
	// were never delivered.
	TokensGenerated, TokensLost uint64
	PrefixHitShare              float64
	// Violations are the audit's findings.
	Violations []string
}

// TrainerOutcome is the outcome of one trainer.
type TrainerOutcome struct {
	Pool    port.PoolName
	Steps   int
	Samples int
	// Tokens counts the tokens of the samples. It falls when a policy drops long
	// samples.
	Tokens    int
	IdleShare float64
	// Staleness counts delivered samples by age in versions, StaleMillis by time since
	// the sample's oldest version was replaced, in milliseconds.
	Staleness, StaleMillis *hdrhistogram.Histogram
	DroppedStale           int
	Version                port.WeightVersion
}

// CallerOutcome is the outcome of one class of callers.
type CallerOutcome struct {
	Name                      string
	Answered, Refused, Failed int
	// Latency is that of answered calls, in microseconds.
	Latency *hdrhistogram.Histogram
}

// Point is the state of the site at one time.
type Point struct {
	At                time.Duration
	Waiting, InFlight int
	MemoryShare       float64
	Version           port.WeightVersion
}

// Limits are lower bounds for any way to run the site.
type Limits struct {
	// IdleShare is a lower bound of the trainers' mean idle share, given the engines'
	// total work and the longest samples.
	IdleShare float64
	// Staleness is a lower bound of the mean age of samples in versions, given the trainers'
	// publications.
	Staleness float64
}
