package experiment

import (
	"fmt"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

func (c *checker) overrides(o Overrides) {
	c.integer("overrides.engines", o.Engines, 0, maxEngines)
	c.optionalDuration("overrides.trainer_step", o.TrainerStep, minTrainerStep, maxTrainerStep)
	c.integer("overrides.publish_every", o.PublishEvery, 0, maxPublishEvery)
	c.integer("overrides.batch_samples", o.BatchSamples, 0, maxSamples)
	c.integer("overrides.group_size", o.GroupSize, 0, maxSamples)
	c.integer("overrides.buffer_batches", o.BufferBatches, 0, maxSamples)
	c.integer("overrides.prompt_tokens", o.PromptTokens, 0, maxTokens)
	if o.SharedPrefix != nil {
		c.integer("overrides.shared_prefix_tokens", *o.SharedPrefix, 0, maxTokens)
	}
	c.integer("overrides.shared_prefixes", o.SharedPrefixes, 0, maxTokens)
	c.number("overrides.caller_scale", o.CallerScale, 0, maxFactor)
	c.engine(o.Engine)
	c.lengths(o.Lengths)
	c.bursts(o.Bursts)
}

func (c *checker) engine(e Engine) {
	c.optionalDuration("overrides.engine.step_base", e.StepBase, minEngineTime, maxEngineTime)
	c.optionalDuration("overrides.engine.step_per_sequence", e.StepPerSequence, minEngineTime, maxEngineTime)
	c.optionalDuration("overrides.engine.step_per_prefill_token", e.StepPerPrefillToken, minEngineTime, maxEngineTime)
	c.optionalDuration("overrides.engine.swap_pause", e.SwapPause, minEngineTime, maxTrainerStep)
	c.integer("overrides.engine.max_sequences", e.MaxSequences, 0, maxSamples)
	c.integer("overrides.engine.kv_blocks", e.KVBlocks, 0, maxTokens)
}

func (c *checker) lengths(l Lengths) {
	c.number("overrides.lengths.median", l.Median, 0, maxTokens)
	if l.Sigma != nil {
		const maxSigma = 5
		c.number("overrides.lengths.sigma", *l.Sigma, 0, maxSigma)
	}
	c.integer("overrides.lengths.max", l.Max, 0, maxTokens)
}

func (c *checker) bursts(bursts *[]Burst) {
	if bursts == nil {
		return
	}
	for index, burst := range *bursts {
		key := fmt.Sprintf("overrides.bursts[%d]", index)
		c.duration(key+".at", burst.At, 0, maxLength)
		c.duration(key+".length", burst.Length, minTrainerStep, maxLength)
		c.number(key+".factor", burst.Factor, 0, maxFactor)
	}
}

// mergedSite checks the site with the overrides applied. It reports nothing if other
// errors were found.
func (c *checker) mergedSite(siteName string, o Overrides) {
	site, found := siteNamed(siteName)
	if !found || len(c.errors) > 0 {
		return
	}
	for _, trainer := range o.apply(site).Trainers {
		if c.trainer(trainer); len(c.errors) > 0 {
			return
		}
	}
}

func (c *checker) trainer(trainer sim.Trainer) {
	sampling := trainer.Sampling
	if sampling.BatchSamples%sampling.GroupSize != 0 {
		c.addError("overrides.batch_samples", fmt.Sprint(sampling.BatchSamples),
			fmt.Sprintf("a multiple of group_size, which is %d", sampling.GroupSize))
	}
	if trainer.SharedPrefixTokens > trainer.PromptTokens {
		c.addError("overrides.shared_prefix_tokens", fmt.Sprint(trainer.SharedPrefixTokens),
			fmt.Sprintf("at most prompt_tokens, which is %d", trainer.PromptTokens))
	}
}
