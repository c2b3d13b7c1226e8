package chaos

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// The simulated pool.
const (
	batchSamples   = 4
	groupSize      = 2
	stalenessBound = 1
)

const poolName port.PoolName = "captions"

func simulatedPool() port.Pool {
	return port.Pool{
		Name: poolName, Kind: port.PoolGeneration,
		Admission: port.Admission{MinInflight: 1, MaxInflight: 8, QueueLength: 16, DefaultDeadline: port.Duration(time.Second)},
		Retry:     port.Retry{MaxAttempts: 1},
		Sampling: &port.Sampling{
			StalenessBound: stalenessBound, BatchSamples: batchSamples, GroupSize: groupSize,
			MaxTokens: 16, PromptSource: "http://10.0.0.2",
		},
	}
}

func sortedKeys[K cmp.Ordered, V any](values map[K]V) []K {
	return slices.Sorted(maps.Keys(values))
}
