package fleet

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	appnode "github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Scenario names what happens to the fleet besides its ordinary rates.
type Scenario string

// The scenarios.
const (
	// ScenarioSteady has changes of the configuration and no faults.
	ScenarioSteady Scenario = "steady"
	// ScenarioFailures adds machine failures, restarts and the loss of a rack.
	ScenarioFailures Scenario = "failures"
	// ScenarioZoneLoss takes one zone down for half of the run.
	ScenarioZoneLoss Scenario = "zone-loss"
	// ScenarioRegionCut cuts one region from all others for a third of the run.
	ScenarioRegionCut Scenario = "region-cut"
	// ScenarioWeights publishes a version for every pool.
	ScenarioWeights Scenario = "weights"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{ScenarioSteady, ScenarioFailures, ScenarioZoneLoss, ScenarioRegionCut, ScenarioWeights}
}

// The fleet that the project aims at.
const (
	TargetNodes    = 660
	TargetReplicas = 3500
	TargetMembers  = 6
	TargetRequests = 32_000 // a second
	TargetTokens   = 11_000_000

	changesADay  = 7700
	failuresADay = 42
	restartsADay = 490
	day          = 24 * time.Hour
	regions      = 5
	zones        = 14
	trainers     = 16
	stepSamples  = 8192
)

// Defaults of Options.
const (
	DefaultLength      = 2 * time.Minute
	DefaultCompression = 24
	DefaultSampleTime  = time.Minute
	DefaultWeightBytes = 16 << 30
	DefaultStoreRate   = 1 << 40
	minLoadInterval    = 50 * time.Millisecond
	minNodes           = regions
	minLength          = 10 * time.Second
)

// Options sets a run.
type Options struct {
	Nodes    int           `json:"nodes"`
	Replicas int           `json:"replicas"`
	Members  int           `json:"members"`
	Length   time.Duration `json:"length_ns"`
	Seed     uint64        `json:"seed"`
	Scenario Scenario      `json:"scenario"`
	// Compression multiplies the daily rates of changes, failures and restarts:
	// 24 lets the events of a day pass in an hour.
	Compression float64 `json:"compression"`
	// Samples is the number of samples in a step of each of the 16 trainers; 0
	// leaves the coordinators out.
	Samples int `json:"samples"`
	// SampleTime is the median time in which a sample is generated.
	SampleTime time.Duration `json:"sample_time_ns"`
	// LoadInterval is the least time between two polls of an engine by its home.
	LoadInterval time.Duration `json:"load_interval_ns"`
	// WeightBytes is the size of a version on one replica, StoreRate what the
	// weight store gives to all replicas together, in bytes a second.
	WeightBytes float64 `json:"weight_bytes"`
	StoreRate   float64 `json:"store_rate"`
}

// Default gives the options of the target's fleet.
func Default() Options {
	return Options{
		Nodes: TargetNodes, Replicas: TargetReplicas, Members: TargetMembers, Length: DefaultLength,
		Seed: 1, Scenario: ScenarioSteady, Compression: DefaultCompression, Samples: stepSamples,
		SampleTime: DefaultSampleTime, LoadInterval: appnode.DefaultLoad, WeightBytes: DefaultWeightBytes, StoreRate: DefaultStoreRate,
	}
}

// Scaled gives the options of a smaller or larger fleet with replicas and
// samples in proportion.
func (o Options) Scaled(nodes int) Options {
	scaled := o
	scaled.Nodes = nodes
	scaled.Replicas = max(1, o.Replicas*nodes/o.Nodes)
	scaled.Samples = o.Samples * nodes / o.Nodes / groupSize * groupSize
	scaled.StoreRate = o.StoreRate * float64(nodes) / float64(o.Nodes)
	return scaled
}

// Validate refuses options that cannot be run.
func (o Options) Validate() error {
	switch {
	case o.Nodes < minNodes || o.Nodes > 4*TargetNodes:
		return invalid("nodes", o.Nodes, minNodes, 4*TargetNodes)
	case o.Replicas < 1 || o.Replicas > 4*TargetReplicas:
		return invalid("replicas", o.Replicas, 1, 4*TargetReplicas)
	case o.Members < 1 || o.Members > 9:
		return invalid("members", o.Members, 1, 9)
	case o.Length < minLength:
		return port.InvalidField("length", o.Length.String(), "at least "+minLength.String())
	case o.Samples < 0 || o.Samples%groupSize != 0:
		return port.InvalidField("samples", strconv.Itoa(o.Samples), fmt.Sprintf("a multiple of %d, 0 for none", groupSize))
	case o.LoadInterval < minLoadInterval:
		return port.InvalidField("load_interval", o.LoadInterval.String(), "at least "+minLoadInterval.String())
	case o.Compression < 0:
		return port.InvalidField("compression", fmt.Sprint(o.Compression), "0 or more")
	case !slices.Contains(Scenarios(), o.Scenario):
		return port.InvalidField("scenario", string(o.Scenario), scenarioNames())
	}
	return nil
}

func scenarioNames() string {
	var names []string
	for _, scenario := range Scenarios() {
		names = append(names, string(scenario))
	}
	return strings.Join(names, ", ")
}

func invalid(field string, value, low, high int) error {
	return port.InvalidField(field, strconv.Itoa(value), fmt.Sprintf("%d to %d", low, high))
}

// every gives the mean time between events of a daily count at the target's
// size, for this fleet's share of nodes; 0 means never.
func (o Options) every(daily float64) time.Duration {
	rate := daily * o.Compression * float64(o.Nodes) / TargetNodes
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(day) / rate)
}
