package engine

import (
	"cmp"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Config configures an engine. Zero fields with a default are set to it. The defaults resemble
// a small model on one accelerator.
type Config struct {
	// StepBase is the fixed time of one step. Default 12 ms.
	StepBase time.Duration
	// StepPerSequence is added for each sequence that decodes in the step.
	// Default 150 µs.
	StepPerSequence time.Duration
	// StepPerPrefillToken is added for each prompt token that is computed in
	// the step. Default 25 µs.
	StepPerPrefillToken time.Duration
	// MaxSequences limits the batch. Default 32.
	MaxSequences int
	// MaxWaiting limits the waiting queue. If it is full, Submit returns ErrQueueFull.
	// Default 1024.
	MaxWaiting int
	// PrefillTokensPerStep limits the prompt tokens of one step. Default 2048.
	PrefillTokensPerStep int
	// BlockTokens is the size of a KV block in tokens. Default 16.
	BlockTokens int
	// KVBlocks is the size of the KV memory in blocks. Default 8192.
	KVBlocks int
	// CacheGenerated makes the prefix cache store the blocks of generated tokens when a
	// sequence ends, so that it can be resumed without recomputing them.
	CacheGenerated bool
	// CacheEvents makes the model emit events for changes of its prefix cache.
	CacheEvents bool
	// KVBytesPerToken is the size of one token's KV state. Default 64 KiB.
	KVBytesPerToken int64
	// KVBytesPerSecond is the bandwidth of KV export and import, shared by
	// all transfers of this engine. Default 1 GiB/s.
	KVBytesPerSecond int64
	// WeightBytes is the size of one weight version. Default 2 GiB.
	WeightBytes int64
	// Store transfers staged weights. If it is nil, the driver transfers them and calls
	// CompleteStaging.
	Store *Store
	// StagedSlots limits the number of staged weights. Default 2.
	StagedSlots int
	// SwapPause is how long an activation stops all steps. Default 400 ms.
	SwapPause time.Duration
	// AdapterLoadTime is how long loading an adapter takes. Default 200 ms.
	AdapterLoadTime time.Duration
	// Weights are the weights served after a start.
	Weights Weights
	// Adapters maps the adapters loaded after a start to their versions.
	Adapters map[string]port.WeightVersion
	// Role is the role after a start.
	Role Role

	// maxRunSteps limits the decode steps merged into one event; tests set it to 1 to
	// compare merged runs with single steps.
	maxRunSteps int
}

const (
	defaultBlockTokens          = 16
	defaultStepBase             = 12 * time.Millisecond
	defaultStepPerSequence      = 150 * time.Microsecond
	defaultStepPerPrefillToken  = 25 * time.Microsecond
	defaultMaxSequences         = 32
	defaultMaxWaiting           = 1024
	defaultPrefillTokensPerStep = 2048
	defaultKVBlocks             = 8192
	defaultKVBytesPerToken      = 64 << 10
	defaultKVBytesPerSecond     = 1 << 30
	defaultWeightBytes          = 2 << 30
	defaultStagedSlots          = 2
	defaultSwapPause            = 400 * time.Millisecond
	defaultAdapterLoadTime      = 200 * time.Millisecond
	unlimitedRunSteps           = 1 << 30
)

// withDefaults returns the configuration with defaults for all zero fields.
func (c Config) withDefaults() Config {
	c.StepBase = cmp.Or(c.StepBase, defaultStepBase)
	c.StepPerSequence = cmp.Or(c.StepPerSequence, defaultStepPerSequence)
	c.StepPerPrefillToken = cmp.Or(c.StepPerPrefillToken, defaultStepPerPrefillToken)
	c.MaxSequences = cmp.Or(c.MaxSequences, defaultMaxSequences)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	c.PrefillTokensPerStep = cmp.Or(c.PrefillTokensPerStep, defaultPrefillTokensPerStep)
	c.BlockTokens = cmp.Or(c.BlockTokens, defaultBlockTokens)
	c.KVBlocks = cmp.Or(c.KVBlocks, defaultKVBlocks)
	c.KVBytesPerToken = cmp.Or(c.KVBytesPerToken, defaultKVBytesPerToken)
	c.KVBytesPerSecond = cmp.Or(c.KVBytesPerSecond, defaultKVBytesPerSecond)
	c.WeightBytes = cmp.Or(c.WeightBytes, defaultWeightBytes)
	c.StagedSlots = cmp.Or(c.StagedSlots, defaultStagedSlots)
	c.SwapPause = cmp.Or(c.SwapPause, defaultSwapPause)
	c.AdapterLoadTime = cmp.Or(c.AdapterLoadTime, defaultAdapterLoadTime)
	c.maxRunSteps = cmp.Or(c.maxRunSteps, unlimitedRunSteps)
	return c
}
