package experiment

import (
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/settings"
	"github.com/loomgrade/loomgrade/internal/lab/engine"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Overrides change parts of a site. What is left out stays as it is.
type Overrides struct {
	Engines int    `yaml:"engines,omitempty" json:"engines,omitempty"`
	Engine  Engine `yaml:"engine,omitempty" json:"engine,omitzero"`
	// TrainerStep is how long every trainer takes for a batch, PublishEvery the
	// number of steps between two versions.
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
	// WeightBytes is the size of a weight version, StoreRate what the weight
	// store gives in a second, in bytes.
	WeightBytes uint64 `yaml:"weight_bytes,omitempty" json:"weight_bytes,omitempty"`
	StoreRate   uint64 `yaml:"store_rate,omitempty" json:"store_rate,omitempty"`
	// CallerScale multiplies the rates and numbers of all callers.
	CallerScale float64 `yaml:"caller_scale,omitempty" json:"caller_scale,omitempty"`
	// Bursts replace those of the site; an empty list takes them away.
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

// Burst multiplies the rates of all callers for a while.
type Burst struct {
	At     settings.Duration `yaml:"at" json:"at"`
	Length settings.Duration `yaml:"length" json:"length"`
	Factor float64           `yaml:"factor" json:"factor"`
}

// apply gives the site with the overrides. The given site stays as it is.
func (o Overrides) apply(site sim.Site) sim.Site {
	replace(&site.Engines, o.Engines)
	replace(&site.WeightBytes, o.WeightBytes)
	replace(&site.StoreRate, o.StoreRate)
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
	replace(&trainer.StepTime, o.TrainerStep.Value())
	replace(&trainer.PublishEvery, o.PublishEvery)
	replace(&trainer.PromptTokens, o.PromptTokens)
	replacePointed(&trainer.SharedPrefixTokens, o.SharedPrefix)
	replace(&trainer.SharedPrefixes, o.SharedPrefixes)
	replacePointed(&trainer.Sampling.StalenessBound, o.StalenessBound)
	replace(&trainer.Sampling.BatchSamples, o.BatchSamples)
	replace(&trainer.Sampling.GroupSize, o.GroupSize)
	replace(&trainer.Sampling.BufferBatches, o.BufferBatches)
	o.Lengths.apply(&trainer.Lengths)
	trainer.Sampling.MaxTokens = max(trainer.Sampling.MaxTokens, trainer.Lengths.Max)
	return trainer
}

func (l Lengths) apply(lengths *engine.Lengths) {
	replace(&lengths.Median, l.Median)
	replacePointed(&lengths.Sigma, l.Sigma)
	replace(&lengths.Max, l.Max)
}

func (e Engine) apply(config *engine.Config) {
	replace(&config.StepBase, e.StepBase.Value())
	replace(&config.StepPerSequence, e.StepPerSequence.Value())
	replace(&config.StepPerPrefillToken, e.StepPerPrefillToken.Value())
	replace(&config.SwapPause, e.SwapPause.Value())
	replace(&config.MaxSequences, e.MaxSequences)
	replace(&config.KVBlocks, e.KVBlocks)
}

// replace puts a value that is not zero in place of another.
func replace[T comparable](field *T, value T) {
	var zero T
	if value != zero {
		*field = value
	}
}

// replacePointed puts a value that is given, zero or not, in place of another.
func replacePointed[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

// Bounds of times that overrides may set.
const (
	minEngineTime  = time.Microsecond
	maxEngineTime  = 10 * time.Second
	minTrainerStep = 10 * time.Millisecond
	maxTrainerStep = time.Hour
)
