package experiment

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Overrides changes parts of a site. Fields that are not set change nothing.
type Overrides struct {
	Engines int    `yaml:"engines,omitempty" json:"engines,omitempty"`
	Engine  Engine `yaml:"engine,omitempty" json:"engine,omitzero"`
	// TrainerStep is the duration of a step of every trainer, PublishEvery the number of
	// steps between two versions.
	TrainerStep    settings.Duration `yaml:"trainer_step,omitempty" json:"trainer_step,omitzero"`
	PublishEvery   int               `yaml:"publish_every,omitempty" json:"publish_every,omitempty"`
	StalenessBound *uint64           `yaml:"staleness_bound,omitempty" json:"staleness_bound,omitempty"`
	BatchSamples   int               `yaml:"batch_samples,omitempty" json:"batch_samples,omitempty"`
	GroupSize      int               `yaml:"group_size,omitempty" json:"group_size,omitempty"`
	BufferBatches  int               `yaml:"buffer_batches,omitempty" json:"buffer_batches,omitempty"`
	PromptTokens   int               `yaml:"prompt_tokens,omitempty" json:"prompt_tokens,omitempty"`
	SharedPrefix   *int              `yaml:"shared_prefix_tokens,omitempty" json:"shared_prefix_tokens,omitempty"`
	// SharedPrefixes is the number of different prefixes that prompts share.
	SharedPrefixes int     `yaml:"shared_prefixes,omitempty" json:"shared_prefixes,omitempty"`
	Lengths        Lengths `yaml:"lengths,omitempty" json:"lengths,omitzero"`
	// WeightBytes is the size of a weight version, StoreRate the rate of the weight
	// store in bytes per second.
	WeightBytes uint64 `yaml:"weight_bytes,omitempty" json:"weight_bytes,omitempty"`
	StoreRate   uint64 `yaml:"store_rate,omitempty" json:"store_rate,omitempty"`
	// CallerScale multiplies the rates and worker counts of all callers.
	CallerScale float64 `yaml:"caller_scale,omitempty" json:"caller_scale,omitempty"`
	// Bursts replaces the bursts of the site; an empty list removes them.
	Bursts *[]Burst `yaml:"bursts,omitempty" json:"bursts,omitempty"`
}

// Engine overrides parts of the engine model.
type Engine struct {
	StepBase            settings.Duration `yaml:"step_base,omitempty" json:"step_base,omitzero"`
	StepPerSequence     settings.Duration `yaml:"step_per_sequence,omitempty" json:"step_per_sequence,omitzero"`
	StepPerPrefillToken settings.Duration `yaml:"step_per_prefill_token,omitempty" json:"step_per_prefill_token,omitzero"`
	SwapPause           settings.Duration `yaml:"swap_pause,omitempty" json:"swap_pause,omitzero"`
	MaxSequences        int               `yaml:"max_sequences,omitempty" json:"max_sequences,omitempty"`
	KVBlocks            int               `yaml:"kv_blocks,omitempty" json:"kv_blocks,omitempty"`
}

// Lengths overrides the distribution of sample lengths, in tokens.
type Lengths struct {
	Median float64  `yaml:"median,omitempty" json:"median,omitempty"`
	Sigma  *float64 `yaml:"sigma,omitempty" json:"sigma,omitempty"`
	Max    int      `yaml:"max,omitempty" json:"max,omitempty"`
}

// Burst multiplies the rates of all callers for a time.
type Burst struct {
	At     settings.Duration `yaml:"at" json:"at"`
	Length settings.Duration `yaml:"length" json:"length"`
	Factor float64           `yaml:"factor" json:"factor"`
}

// apply returns a copy of the site with the overrides.
func (o Overrides) apply(site sim.Site) sim.Site {
	replaceIfNonZero(&site.Engines, o.Engines)
	replaceIfNonZero(&site.WeightBytes, o.WeightBytes)
	replaceIfNonZero(&site.StoreRate, o.StoreRate)
	o.Engine.apply(&site.Engine)
	trainers := make([]sim.Trainer, 0, len(site.Trainers))
	for _, trainer := range site.Trainers {
		trainers = append(trainers, o.applyTrainer(trainer))
	}
	site.Trainers = trainers
	if o.CallerScale > 0 {
		site.Callers = scaleCallers(site.Callers, o.CallerScale)
	}
	if o.Bursts != nil {
		site.Bursts = nil
		for _, burst := range *o.Bursts {
			site.Bursts = append(site.Bursts, sim.Burst{At: burst.At.Value(), Length: burst.Length.Value(), Factor: burst.Factor})
		}
	}
	return site
}

func (o Overrides) applyTrainer(trainer sim.Trainer) sim.Trainer {
	replaceIfNonZero(&trainer.StepTime, o.TrainerStep.Value())
	replaceIfNonZero(&trainer.PublishEvery, o.PublishEvery)
	replaceIfNonZero(&trainer.PromptTokens, o.PromptTokens)
	replaceIfSet(&trainer.SharedPrefixTokens, o.SharedPrefix)
	replaceIfNonZero(&trainer.SharedPrefixes, o.SharedPrefixes)
	replaceIfSet(&trainer.Sampling.StalenessBound, o.StalenessBound)
	replaceIfNonZero(&trainer.Sampling.BatchSamples, o.BatchSamples)
	replaceIfNonZero(&trainer.Sampling.GroupSize, o.GroupSize)
	replaceIfNonZero(&trainer.Sampling.BufferBatches, o.BufferBatches)
	o.Lengths.apply(&trainer.Lengths)
	trainer.Sampling.MaxTokens = max(trainer.Sampling.MaxTokens, trainer.Lengths.Max)
	return trainer
}

func (l Lengths) apply(lengths *engine.Lengths) {
	replaceIfNonZero(&lengths.Median, l.Median)
	replaceIfSet(&lengths.Sigma, l.Sigma)
	replaceIfNonZero(&lengths.Max, l.Max)
}

func (e Engine) apply(config *engine.Config) {
	replaceIfNonZero(&config.StepBase, e.StepBase.Value())
	replaceIfNonZero(&config.StepPerSequence, e.StepPerSequence.Value())
	replaceIfNonZero(&config.StepPerPrefillToken, e.StepPerPrefillToken.Value())
	replaceIfNonZero(&config.SwapPause, e.SwapPause.Value())
	replaceIfNonZero(&config.MaxSequences, e.MaxSequences)
	replaceIfNonZero(&config.KVBlocks, e.KVBlocks)
}

// replaceIfNonZero sets a field to value unless value is zero.
func replaceIfNonZero[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

// replaceIfSet sets a field to *value unless value is nil.
func replaceIfSet[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// Limits of durations that overrides may set.
const (
	minEngineTime  = time.Microsecond
	maxEngineTime  = 10 * time.Second
	minTrainerStep = 10 * time.Millisecond
	maxTrainerStep = time.Hour
)
