package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// limits gives what perfect knowledge could have reached with the samples that
// this run delivered. Both bounds hold for every way to run the site, whatever
// it knows, since they use only what no way can avoid:
//
//   - An engine makes at most MaxSequences tokens in a step, so a token costs it
//     StepBase/MaxSequences + StepPerSequence, and each prompt's own tokens are
//     computed at least once.
//   - A sample of L tokens takes at least L steps of StepBase + StepPerSequence,
//     then its score, the commit and the way to the trainer.
//   - A sample delivered at version V has its first token of version V less the
//     bound at the oldest, and no token of a version comes before the version was
//     published, brought to an engine from the weight store and switched to.
//
// IdleShare is the greater of two bounds on the mean over the trainers.
//
// The work bound: what the trainers get in the time counted was made in it, by
// at most Engines × time of engine work, or was there when it began. Training as
// much as this feeds, the trainers with the cheapest batches for their steps
// first, is the most that the trainers can be busy.
//
// The chain bound: each trainer alone with infinitely many engines. Step k
// starts no sooner than step k-1 has ended and, where its samples must be newer
// than what there was before the time counted, than the version at which they
// may start was published, brought over and the longest sample of the batch was
// made. What the run did before the time counted is taken as it was.
//
// Staleness is the mean least age of the delivered samples, in versions, at the
// times at which this run delivered them: a sample could be of version U only if
// its tokens fit between the time when U could first be served and the delivery.
func (w *world) limits() Limits {
	costs := w.stepCosts()
	limits := Limits{IdleShare: max(w.workBound(costs), w.chainBound(costs))}
	var ages, samples float64
	for _, pool := range w.pools {
		age, count := pool.leastAges(costs)
		ages += age
		samples += count
	}
	if samples > 0 {
		limits.Staleness = ages / samples
	}
	return limits
}

// stepCosts are the least times of an engine's work.
type stepCosts struct {
	// token is the engine's time for a token in a full batch, prompt that for a
	// prompt token, alone the time for a token of a sample that runs alone.
	token, prompt, alone time.Duration
	// commit is the least time between the end of a score and the trainer, ready
	// that between a publication and the first token of the version.
	commit, ready time.Duration
}

func (w *world) stepCosts() stepCosts {
	config := w.replicas[0].model.Config()
	pause := config.SwapPause
	if w.site.Trainers[0].Adapter != "" {
		pause = config.AdapterLoadTime
	}
	transfer := float64(w.site.WeightBytes) / float64(w.site.StoreRate)
	return stepCosts{
		token:  config.StepBase/time.Duration(config.MaxSequences) + config.StepPerSequence,
		prompt: config.StepPerPrefillToken,
		alone:  config.StepBase + config.StepPerSequence,
		commit: 2*w.site.ZoneLatency + syncTime + w.site.ClientLatency,
		ready:  time.Duration(transfer*float64(time.Second)) + pause,
	}
}

// work is the least engine time for a delivery.
func (p *samplePool) work(costs stepCosts, batch *delivery) time.Duration {
	tokens := 0
	for _, sample := range batch.samples {
		tokens += sample.tokens
	}
	own := (p.settings.PromptTokens - p.settings.SharedPrefixTokens) * batch.prompts
	return time.Duration(tokens)*costs.token + time.Duration(own)*costs.prompt
}

// need is the least time from a sample's first token to its trainer.
func (p *samplePool) need(costs stepCosts, sample *deliveredSample) time.Duration {
	return time.Duration(sample.tokens)*costs.alone + p.scoreTime(sample.key) + costs.commit
}

// longest is the greatest need of a delivery's samples.
func (p *samplePool) longest(costs stepCosts, batch *delivery) time.Duration {
	longest := time.Duration(0)
	for index := range batch.samples {
		longest = max(longest, p.need(costs, &batch.samples[index]))
	}
	return longest
}

// feed is what the work bound needs of one trainer.
type feed struct {
	// step is the time of a step, work the engine time that it takes.
	step, work float64
}

// workBound gives the least mean idle share that the engines' work allows.
func (w *world) workBound(costs stepCosts) float64 {
	counted := (w.options.Length - w.options.Warmup).Seconds()
	available := float64(len(w.replicas)) * counted
	var feeds []feed
	for _, pool := range w.pools {
		work, ready, batches := pool.workCounted(costs)
		if batches == 0 {
			continue
		}
		available += ready
		feeds = append(feeds, feed{step: pool.settings.StepTime.Seconds(), work: work / float64(batches)})
	}
	slices.SortFunc(feeds, func(a, b feed) int { return cmp.Compare(a.work/a.step, b.work/b.step) })
	busy := 0.0
	for _, one := range feeds {
		share := min(max(available, 0)/(one.work*counted/one.step), 1)
		available -= share * one.work * counted / one.step
		busy += share
	}
	if len(feeds) == 0 {
		return 0
	}
	return max(1-busy/float64(len(feeds)), 0)
}

// workCounted gives the engine time of what was delivered after the warm-up, in
// seconds, how much of it was done before, and the number of batches.
func (p *samplePool) workCounted(costs stepCosts) (work, ready float64, batches int) {
	for index := range p.trainer.deliveries {
		batch := &p.trainer.deliveries[index]
		if batch.at < p.world.options.Warmup {
			continue
		}
		work += p.work(costs, batch).Seconds()
		ready += p.ready(costs, batch).Seconds()
		batches++
	}
	return work, ready, batches
}

// ready is the engine time for a delivery that was spent before the warm-up's
// end: all prompts of it count whose samples had begun.
func (p *samplePool) ready(costs stepCosts, batch *delivery) time.Duration {
	tokens := 0
	for _, sample := range batch.samples {
		tokens += sample.early
	}
	if tokens == 0 {
		return 0
	}
	own := (p.settings.PromptTokens - p.settings.SharedPrefixTokens) * batch.prompts
	return time.Duration(tokens)*costs.token + time.Duration(own)*costs.prompt
}

// chainBound gives the least mean idle share that the staleness bound and the
// longest samples allow.
func (w *world) chainBound(costs stepCosts) float64 {
	total := 0.0
	for _, pool := range w.pools {
		total += pool.chainIdle(costs)
	}
	return total / float64(len(w.pools))
}

// chainIdle gives a trainer's least idle share with infinitely many engines.
func (p *samplePool) chainIdle(costs stepCosts) float64 {
	options := &p.world.options
	published := make(map[port.WeightVersion]time.Duration)
	var idle, end time.Duration
	for index := range p.trainer.deliveries {
		batch := &p.trainer.deliveries[index]
		if batch.at < options.Warmup {
			published[batch.version] = p.trainer.published[batch.version]
			end = batch.at + p.settings.StepTime
			continue
		}
		asked := max(end, options.Warmup)
		if published[batch.version] == 0 && batch.version > firstVersion {
			// Publishing takes as long as it took.
			asked = end + p.publishing(index)
			published[batch.version] = asked
		}
		start := max(asked, p.earliest(costs, batch, published))
		if asked < options.Length {
			idle += max(min(start, options.Length)-max(asked, options.Warmup), 0)
		}
		end = start + p.settings.StepTime
	}
	return idle.Seconds() / (options.Length - options.Warmup).Seconds()
}

// publishing gives the time between the end of the step before a delivery and
// the question for it.
func (p *samplePool) publishing(index int) time.Duration {
	if index == 0 {
		return 0
	}
	deliveries := p.trainer.deliveries
	return max(deliveries[index].asked-deliveries[index-1].at-p.settings.StepTime, 0)
}

// earliest gives when a batch could be there, from when its samples may start.
func (p *samplePool) earliest(costs stepCosts, batch *delivery, published map[port.WeightVersion]time.Duration) time.Duration {
	bound := port.WeightVersion(p.settings.Sampling.StalenessBound)
	if batch.version <= firstVersion+bound {
		return 0
	}
	oldest, known := published[batch.version-bound]
	if !known {
		return 0
	}
	return oldest + costs.ready + p.longest(costs, batch)
}

// leastAges sums up the least ages of the samples delivered after the warm-up.
func (p *samplePool) leastAges(costs stepCosts) (sum, samples float64) {
	for index := range p.trainer.deliveries {
		batch := &p.trainer.deliveries[index]
		if batch.at < p.world.options.Warmup {
			continue
		}
		for sample := range batch.samples {
			sum += float64(p.leastAge(costs, batch, &batch.samples[sample]))
			samples++
		}
	}
	return sum, samples
}

// leastAge gives the age of the newest version that a sample's first token could
// be of.
func (p *samplePool) leastAge(costs stepCosts, batch *delivery, sample *deliveredSample) port.WeightVersion {
	latestStart := batch.at - p.need(costs, sample)
	for version := batch.version; version > firstVersion; version-- {
		if latestStart >= p.trainer.published[version]+costs.ready {
			return batch.version - version
		}
	}
	return batch.version - firstVersion
}
