package sim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Site describes what a run simulates: the platform, its callers and trainers.
type Site struct {
	Name string
	// Zones are those of the site; replicas and nodes are spread over them in
	// turn.
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
	// WeightBytes is the size of one weight version, StoreRate what the weight
	// store gives in a second, in bytes.
	WeightBytes, StoreRate uint64

	Trainers []Trainer
	Callers  []load.Class
	// Bursts multiply the callers' rates.
	Bursts []Burst
}

// Trainer consumes one pool's batches and publishes versions.
type Trainer struct {
	Pool port.PoolName
	// Adapter is what the trainer publishes; empty means the base model.
	Adapter  string
	Sampling port.Sampling
	// StepTime is how long the trainer takes for a batch.
	StepTime time.Duration
	// PublishEvery is the number of steps between two versions.
	PublishEvery int
	// Prompts and Lengths describe the samples; equal seeds give every variant
	// the same ones.
	PromptTokens       int
	SharedPrefixTokens int
	// SharedPrefixes is the number of different prefixes that prompts share; 0
	// means one.
	SharedPrefixes int
	Lengths        engine.Lengths
}

// Burst multiplies the rate of all callers for a while.
type Burst struct {
	At, Length time.Duration
	Factor     float64
}

// Routing is a way to choose a replica.
type Routing string

// The ways to choose a replica. All but RoutingLoomgrade are the baselines.
const (
	RoutingRoundRobin    Routing = "round_robin"
	RoutingRandom        Routing = "random"
	RoutingLeastInFlight Routing = "least_in_flight"
	RoutingLoomgrade     Routing = "loomgrade"
)

// Variant is one way to run the site.
type Variant struct {
	Name    string
	Routing Routing
	// Policy replaces the trainers' policy program; empty keeps it.
	Policy string
	// Without names the parts of loomgrade that are switched off.
	Without []Part
	// ImportKV lets a long sample that is moved take its cache along.
	ImportKV bool
}

// Part is a part of loomgrade that a variant can switch off.
type Part string

// The parts that a variant can switch off.
const (
	PartPrefixAffinity Part = "prefix_affinity"
	PartLongSamples    Part = "long_samples"
	PartStaging        Part = "staging"
	PartPriorities     Part = "priorities"
	PartAdmission      Part = "adaptive_admission"
)

// Options are what one run takes.
type Options struct {
	Site    Site
	Variant Variant
	Seed    uint64
	// Length is the virtual time that the run takes; what happens before Warmup
	// is not counted.
	Length, Warmup time.Duration
	// Progress, if set, hears of the virtual time now and then.
	Progress func(at time.Duration)
}

// Outcome is what one run gave. Equal options give equal outcomes.
type Outcome struct {
	Trainers []TrainerOutcome
	Callers  []CallerOutcome
	Series   []Point
	Limits   Limits
	// LongSampleTimes are the times of samples beyond the 95th percentile of
	// length, from their first start to their score, in milliseconds.
	LongSampleTimes *hdrhistogram.Histogram
	// TokensGenerated counts all generated tokens, TokensLost those of samples
	// that were never delivered.
	TokensGenerated, TokensLost uint64
	PrefixHitShare              float64
	// Violations are what the audit found.
	Violations []string
}

// TrainerOutcome is what one trainer saw.
type TrainerOutcome struct {
	Pool    port.PoolName
	Steps   int
	Samples int
	// Tokens counts those of the samples. A policy whose samples are shorter than
	// those of another keeps the short ones and gives up the long ones.
	Tokens    int
	IdleShare float64
	// Staleness counts delivered samples by age in versions, StaleSeconds by age
	// in milliseconds since the sample's oldest version was replaced.
	Staleness, StaleMillis *hdrhistogram.Histogram
	DroppedStale           int
	Version                port.WeightVersion
}

// CallerOutcome is what one class of callers saw.
type CallerOutcome struct {
	Name                      string
	Answered, Refused, Failed int
	// Latency is in microseconds, of answered calls.
	Latency *hdrhistogram.Histogram
}

// Point is the state of the site at one time.
type Point struct {
	At                time.Duration
	Waiting, InFlight int
	MemoryShare       float64
	Version           port.WeightVersion
}

// Limits are what perfect knowledge could reach at best.
type Limits struct {
	// IdleShare is the least mean idle share of the trainers that total work
	// over capacity and the longest sample allow.
	IdleShare float64
	// Staleness is the least mean age, in versions, that the trainers' own
	// rhythm allows.
	Staleness float64
}
