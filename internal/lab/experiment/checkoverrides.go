package experiment

import (
	"fmt"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

func (c *checker) overrides(o Overrides) {
	c.whole("overrides.engines", o.Engines, 0, maxEngines)
	c.optional("overrides.trainer_step", o.TrainerStep, minTrainerStep, maxTrainerStep)
	c.whole("overrides.publish_every", o.PublishEvery, 0, maxPublishEvery)
	c.whole("overrides.batch_samples", o.BatchSamples, 0, maxSamples)
	c.whole("overrides.group_size", o.GroupSize, 0, maxSamples)
	c.whole("overrides.buffer_batches", o.BufferBatches, 0, maxSamples)
	c.whole("overrides.prompt_tokens", o.PromptTokens, 0, maxTokens)
	if o.SharedPrefix != nil {
		c.whole("overrides.shared_prefix_tokens", *o.SharedPrefix, 0, maxTokens)
	}
	c.whole("overrides.shared_prefixes", o.SharedPrefixes, 0, maxTokens)
	c.number("overrides.caller_scale", o.CallerScale, 0, maxFactor)
	c.engine(o.Engine)
	c.lengths(o.Lengths)
	c.bursts(o.Bursts)
}

func (c *checker) engine(e Engine) {
	c.optional("overrides.engine.step_base", e.StepBase, minEngineTime, maxEngineTime)
	c.optional("overrides.engine.step_per_sequence", e.StepPerSequence, minEngineTime, maxEngineTime)
	c.optional("overrides.engine.step_per_prefill_token", e.StepPerPrefillToken, minEngineTime, maxEngineTime)
	c.optional("overrides.engine.swap_pause", e.SwapPause, minEngineTime, maxTrainerStep)
	c.whole("overrides.engine.max_sequences", e.MaxSequences, 0, maxSamples)
	c.whole("overrides.engine.kv_blocks", e.KVBlocks, 0, maxTokens)
}

func (c *checker) lengths(l Lengths) {
	c.number("overrides.lengths.median", l.Median, 0, maxTokens)
	if l.Sigma != nil {
		const maxSigma = 5
		c.number("overrides.lengths.sigma", *l.Sigma, 0, maxSigma)
	}
	c.whole("overrides.lengths.max", l.Max, 0, maxTokens)
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

// combined checks what holds between overrides and the rest of the site. It
// says nothing while there are other faults.
func (c *checker) combined(siteName string, o Overrides) {
	site, known := siteNamed(siteName)
	if !known || len(c.faults) > 0 {
		return
	}
	for _, trainer := range o.apply(site).Trainers {
		if c.trainer(trainer); len(c.faults) > 0 {
			return
		}
	}
}

func (c *checker) trainer(trainer sim.Trainer) {
	sampling := trainer.Sampling
	if sampling.BatchSamples%sampling.GroupSize != 0 {
		c.fault("overrides.batch_samples", fmt.Sprint(sampling.BatchSamples),
			fmt.Sprintf("a multiple of group_size, which is %d", sampling.GroupSize))
	}
	if trainer.SharedPrefixTokens > trainer.PromptTokens {
		c.fault("overrides.shared_prefix_tokens", fmt.Sprint(trainer.SharedPrefixTokens),
			fmt.Sprintf("at most prompt_tokens, which is %d", trainer.PromptTokens))
	}
}
