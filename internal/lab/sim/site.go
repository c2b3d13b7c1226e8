package sim

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Engine step times of the sites, equal to the engine model's defaults.
const (
	stepBase            = 12 * time.Millisecond
	stepPerSequence     = 150 * time.Microsecond
	stepPerPrefillToken = 25 * time.Microsecond
	maxSequences        = 32
	kvBlocks            = 8192
	swapPause           = 400 * time.Millisecond
	adapterLoadTime     = 200 * time.Millisecond
)

// engineOf returns the engine configuration of the sites.
func engineOf() engine.Config {
	return engine.Config{
		StepBase: stepBase, StepPerSequence: stepPerSequence, StepPerPrefillToken: stepPerPrefillToken,
		MaxSequences: maxSequences, KVBlocks: kvBlocks, SwapPause: swapPause,
		AdapterLoadTime: adapterLoadTime, StagedSlots: 4,
	}
}

// Inkwell is a comics reader: one trainer on 8 engines, the reader app and its indexers
// on 3 page services, in three zones.
func Inkwell() Site {
	return Site{
		Name: "inkwell", Zones: []port.ZoneName{"dub-north", "dub-south", "kildare"}, NodesPerZone: 1,
		ZoneLatency: 500 * time.Microsecond, ClientLatency: time.Millisecond,
		EnginePool: "caption-lm", Engines: 8, Engine: engineOf(),
		Application: "page-api", ApplicationReplicas: 3, ServiceTime: 8 * time.Millisecond,
		ScoreTime: 100 * time.Millisecond, WeightBytes: 2 << 30, StoreRate: 1 << 30,
		Trainers: []Trainer{{
			Pool: "caption-lm", Sampling: samplingOf(384, 8, 2048, 2), StepTime: 20 * time.Second, PublishEvery: 6,
			PromptTokens: 1024, SharedPrefixTokens: 512, SharedPrefixes: 16,
			Lengths: engine.Lengths{Median: 220, Sigma: 0.9, Max: 2048},
		}},
		Callers: load.InkwellCallers(1),
		Bursts:  []Burst{{At: 3 * time.Minute, Length: 30 * time.Second, Factor: 4}},
	}
}

// Marea is a buoy data service: three trainers share 9 engines by adapter, the pilots
// and the stitching jobs use 4 buoy services, in three zones.
func Marea() Site {
	site := Site{
		Name: "marea", Zones: []port.ZoneName{"hall-a", "hall-b", "hall-c"}, NodesPerZone: 1,
		ZoneLatency: 1500 * time.Microsecond, ClientLatency: 3 * time.Millisecond,
		EnginePool: "lm-pool", Engines: 9, Engine: engineOf(),
		Application: "buoy-api", ApplicationReplicas: 4, ServiceTime: 8 * time.Millisecond,
		ScoreTime: 100 * time.Millisecond, WeightBytes: 256 << 20, StoreRate: 1 << 30,
		Callers: load.MareaCallers(1),
		Bursts:  []Burst{{At: 3 * time.Minute, Length: 30 * time.Second, Factor: 4}},
	}
	for _, name := range []string{"bulletins", "anomaly-notes", "summaries"} {
		site.Trainers = append(site.Trainers, Trainer{
			Pool: port.PoolName(name), Adapter: name, Sampling: samplingOf(256, 8, 4096, 3),
			StepTime: 20 * time.Second, PublishEvery: 1,
			PromptTokens: 1024, SharedPrefixTokens: 512, SharedPrefixes: 8,
			Lengths: engine.Lengths{Median: 300, Sigma: 1, Max: 4096},
		})
	}
	return site
}

// samplingOf returns a trainer's sampling settings; the rest is the same at both sites.
func samplingOf(batch, group, maxTokens int, bound uint64) port.Sampling {
	return port.Sampling{
		StalenessBound: bound, BatchSamples: batch, GroupSize: group, MaxTokens: maxTokens, BufferBatches: 2,
		PromptSource: "http://10.0.1.2:9000", Scorer: "http://10.0.1.3:9000", WeightStore: "http://10.0.1.1:9000",
	}
}
