package experiment

import (
	"math"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
	"github.com/loomgrade/loomgrade/internal/port"
)

// The names of sites.
const (
	siteInkwell = "inkwell"
	siteMarea   = "marea"
)

// Zones, latencies and numbers of replicas are those of the users. What they
// did not state is chosen and can be overridden: step times, sample lengths,
// batch sizes, training steps, sizes of weights and rates.
const (
	chosenServiceTime  = 5 * time.Millisecond
	chosenScoreTime    = 10 * time.Millisecond
	chosenWeightBytes  = 2 << 30
	chosenStoreRate    = 1 << 30
	chosenGroupSize    = 4
	chosenPromptTokens = 512
	chosenSharedPrefix = 256
)

// siteNamed gives a site as the users described it.
func siteNamed(name string) (sim.Site, bool) {
	switch name {
	case siteInkwell:
		return inkwell(), true
	case siteMarea:
		return marea(), true
	default:
		return sim.Site{}, false
	}
}

// chosenEngine states the step times that the engine model has by default, so
// that limits can be computed from them.
func chosenEngine() engine.Config {
	return engine.Config{
		StepBase:            12 * time.Millisecond,
		StepPerSequence:     150 * time.Microsecond,
		StepPerPrefillToken: 25 * time.Microsecond,
		MaxSequences:        32,
		KVBlocks:            8192,
		SwapPause:           400 * time.Millisecond,
		CacheGenerated:      true,
		CacheEvents:         true,
	}
}

// inkwell trains one model on captions; stale captions reach readers.
func inkwell() sim.Site {
	return sim.Site{
		Name:                siteInkwell,
		Zones:               []port.ZoneName{"dub-north", "dub-south", "kildare"},
		NodesPerZone:        1,
		ZoneLatency:         500 * time.Microsecond,
		ClientLatency:       time.Millisecond,
		EnginePool:          "caption-lm",
		Engines:             8,
		Engine:              chosenEngine(),
		Application:         "page-api",
		ApplicationReplicas: 3,
		ServiceTime:         chosenServiceTime,
		ScoreTime:           chosenScoreTime,
		WeightBytes:         chosenWeightBytes,
		StoreRate:           chosenStoreRate,
		Trainers:            []sim.Trainer{trainer("caption-lm", "", 512)},
		Callers:             load.InkwellCallers(1),
	}
}

// marea trains three models on one pool of engines; trainers that wait cost
// most.
func marea() sim.Site {
	return sim.Site{
		Name:                siteMarea,
		Zones:               []port.ZoneName{"hall-a", "hall-b", "hall-c"},
		NodesPerZone:        1,
		ZoneLatency:         1500 * time.Microsecond,
		ClientLatency:       3 * time.Millisecond,
		EnginePool:          "lm-pool",
		Engines:             9,
		Engine:              chosenEngine(),
		Application:         "buoy-api",
		ApplicationReplicas: 4,
		ServiceTime:         chosenServiceTime,
		ScoreTime:           chosenScoreTime,
		WeightBytes:         chosenWeightBytes / 8,
		StoreRate:           chosenStoreRate,
		Trainers: []sim.Trainer{
			trainer("bulletins", "bulletins", 192),
			trainer("anomaly-notes", "anomaly-notes", 192),
			trainer("summaries", "summaries", 192),
		},
		Callers: load.MareaCallers(1),
	}
}

// trainer gives a trainer whose samples have a heavy tail and whose weights
// change every two minutes at full speed.
func trainer(pool port.PoolName, adapter string, batchSamples int) sim.Trainer {
	return sim.Trainer{
		Pool:    pool,
		Adapter: adapter,
		Sampling: port.Sampling{
			StalenessBound: 2,
			BatchSamples:   batchSamples,
			GroupSize:      chosenGroupSize,
			MaxTokens:      4000,
			BufferBatches:  2,
		},
		StepTime:           20 * time.Second,
		PublishEvery:       6,
		PromptTokens:       chosenPromptTokens,
		SharedPrefixTokens: chosenSharedPrefix,
		Lengths:            engine.Lengths{Median: 250, Sigma: 1, Max: 4000},
	}
}

// scaleCallers multiplies rates and numbers of callers.
func scaleCallers(callers []load.Class, scale float64) []load.Class {
	scaled := make([]load.Class, 0, len(callers))
	for _, class := range callers {
		class.Rate *= scale
		if class.Workers > 0 {
			class.Workers = max(int(math.Round(float64(class.Workers)*scale)), 1)
		}
		scaled = append(scaled, class)
	}
	return scaled
}
