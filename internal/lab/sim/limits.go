package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// limits returns lower bounds for the idle share and the staleness of any way to run
// the site, given the samples that this run delivered. They use only:
//
//   - An engine generates at most MaxSequences tokens in a step, so a token costs it
//     StepBase/MaxSequences + StepPerSequence, and each prompt's own tokens are
//     computed at least once.
//   - A sample of L tokens takes at least L steps of StepBase + StepPerSequence, then
//     its score, the commit and the delivery to the trainer.
//   - The first token of a sample delivered at version V has version V - bound or
//     newer, and no token of a version is generated before the version was published,
//     fetched from the weight store and swapped in.
//
// IdleShare is the maximum of two bounds on the trainers' mean idle share.
//
// Work bound: the samples delivered after the warm-up need engine work, which is at most
// engines × time plus the work done during the warm-up. The bound gives this work to the
// trainers with the cheapest batches per step time first, which maximizes their busy
// time.
//
// Chain bound: each trainer alone with infinitely many engines. A step starts after the
// previous one and, if its samples need a version published after the warm-up, after
// that version was published, swapped in and the longest sample of the batch was
// generated. Deliveries during the warm-up have the times of the run.
//
// Staleness is the mean of the minimum ages of the delivered samples in versions: a
// sample can have version U only if its tokens fit between the first time at which U
// can be served and the sample's delivery.
func (w *world) limits() Limits {
	costs := w.stepCosts()
	limits := Limits{IdleShare: max(w.workBound(costs), w.chainBound(costs))}
	var ages, samples float64
	for _, pool := range w.pools {
		age, count := pool.minAges(costs)
		ages += age
		samples += count
	}
	if samples > 0 {
		limits.Staleness = ages / samples
	}
	return limits
}

// stepCosts are minimum times of an engine's work.
type stepCosts struct {
	// token is the time per token in a full batch, promptToken per prompt token, and
	// unbatchedToken per token of a sample that runs alone.
	token, promptToken, unbatchedToken time.Duration
	// commit is the time from the end of a score to the trainer, versionReady from a
	// publication to the first token of the version.
	commit, versionReady time.Duration
}

func (w *world) stepCosts() stepCosts {
	config := w.replicas[0].model.Config()
	pause := config.SwapPause
	if w.site.Trainers[0].Adapter != "" {
		pause = config.AdapterLoadTime
	}
	transfer := float64(w.site.WeightBytes) / float64(w.site.StoreRate)
	return stepCosts{
		token:          config.StepBase/time.Duration(config.MaxSequences) + config.StepPerSequence,
		promptToken:    config.StepPerPrefillToken,
		unbatchedToken: config.StepBase + config.StepPerSequence,
		commit:         2*w.site.ZoneLatency + syncTime + w.site.ClientLatency,
		versionReady:   time.Duration(transfer*float64(time.Second)) + pause,
	}
}

// minWork returns the minimum engine time for a delivery.
func (p *samplePool) minWork(costs stepCosts, batch *delivery) time.Duration {
	tokens := 0
	for _, sample := range batch.samples {
		tokens += sample.tokens
	}
	promptTokens := (p.settings.PromptTokens - p.settings.SharedPrefixTokens) * batch.prompts
	return time.Duration(tokens)*costs.token + time.Duration(promptTokens)*costs.promptToken
}

// minLatency returns the minimum time from a sample's first token to its trainer.
func (p *samplePool) minLatency(costs stepCosts, sample *deliveredSample) time.Duration {
	return time.Duration(sample.tokens)*costs.unbatchedToken + p.scoreTime(sample.key) + costs.commit
}

// maxLatency returns the greatest minimum latency of a delivery's samples.
func (p *samplePool) maxLatency(costs stepCosts, batch *delivery) time.Duration {
	longest := time.Duration(0)
	for index := range batch.samples {
		longest = max(longest, p.minLatency(costs, &batch.samples[index]))
	}
	return longest
}

// trainerWork is a trainer's share in the work bound.
type trainerWork struct {
	// step is the duration of a step, work the engine time for it, in seconds.
	step, work float64
}

// workBound returns the minimum mean idle share given the engines' work.
func (w *world) workBound(costs stepCosts) float64 {
	counted := (w.options.Length - w.options.Warmup).Seconds()
	available := float64(len(w.replicas)) * counted
	var trainers []trainerWork
	for _, pool := range w.pools {
		work, warmup, batches := pool.countedWork(costs)
		if batches == 0 {
			continue
		}
		available += warmup
		trainers = append(trainers, trainerWork{step: pool.settings.StepTime.Seconds(), work: work / float64(batches)})
	}
	slices.SortFunc(trainers, func(a, b trainerWork) int { return cmp.Compare(a.work/a.step, b.work/b.step) })
	busy := 0.0
	for _, one := range trainers {
		share := min(max(available, 0)/(one.work*counted/one.step), 1)
		available -= share * one.work * counted / one.step
		busy += share
	}
	if len(trainers) == 0 {
		return 0
	}
	return max(1-busy/float64(len(trainers)), 0)
}

// countedWork returns the engine time of the deliveries after the warm-up and the part
// of it done before, in seconds, and the number of batches.
func (p *samplePool) countedWork(costs stepCosts) (work, warmup float64, batches int) {
	for index := range p.trainer.deliveries {
		batch := &p.trainer.deliveries[index]
		if batch.at < p.world.options.Warmup {
			continue
		}
		work += p.minWork(costs, batch).Seconds()
		warmup += p.warmupWork(costs, batch).Seconds()
		batches++
	}
	return work, warmup, batches
}

// warmupWork returns the engine time for a delivery that was spent during the warm-up.
// It counts all prompts of the delivery if any of its samples had started.
func (p *samplePool) warmupWork(costs stepCosts, batch *delivery) time.Duration {
	tokens := 0
	for _, sample := range batch.samples {
		tokens += sample.warmupTokens
	}
	if tokens == 0 {
		return 0
	}
	promptTokens := (p.settings.PromptTokens - p.settings.SharedPrefixTokens) * batch.prompts
	return time.Duration(tokens)*costs.token + time.Duration(promptTokens)*costs.promptToken
}

// chainBound returns the minimum mean idle share given the staleness bound and the
// longest samples.
func (w *world) chainBound(costs stepCosts) float64 {
	total := 0.0
	for _, pool := range w.pools {
		total += pool.chainIdle(costs)
	}
	return total / float64(len(w.pools))
}

// chainIdle returns a trainer's minimum idle share with infinitely many engines.
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
		requested := max(end, options.Warmup)
		if published[batch.version] == 0 && batch.version > firstVersion {
			// Use the publication time of the run.
			requested = end + p.publishTime(index)
			published[batch.version] = requested
		}
		start := max(requested, p.earliestDelivery(costs, batch, published))
		if requested < options.Length {
			idle += max(min(start, options.Length)-max(requested, options.Warmup), 0)
		}
		end = start + p.settings.StepTime
	}
	return idle.Seconds() / (options.Length - options.Warmup).Seconds()
}

// publishTime returns the time between the end of the previous step and the request
// for the delivery at index.
func (p *samplePool) publishTime(index int) time.Duration {
	if index == 0 {
		return 0
	}
	deliveries := p.trainer.deliveries
	return max(deliveries[index].requestedAt-deliveries[index-1].at-p.settings.StepTime, 0)
}

// earliestDelivery returns the earliest time at which a batch can be delivered.
func (p *samplePool) earliestDelivery(costs stepCosts, batch *delivery, published map[port.WeightVersion]time.Duration) time.Duration {
	bound := port.WeightVersion(p.settings.Sampling.StalenessBound)
	if batch.version <= firstVersion+bound {
		return 0
	}
	oldest, found := published[batch.version-bound]
	if !found {
		return 0
	}
	return oldest + costs.versionReady + p.maxLatency(costs, batch)
}

// minAges sums the minimum ages of the samples delivered after the warm-up.
func (p *samplePool) minAges(costs stepCosts) (sum, samples float64) {
	for index := range p.trainer.deliveries {
		batch := &p.trainer.deliveries[index]
		if batch.at < p.world.options.Warmup {
			continue
		}
		for sample := range batch.samples {
			sum += float64(p.minAge(costs, batch, &batch.samples[sample]))
			samples++
		}
	}
	return sum, samples
}

// minAge returns the age of the newest version that a sample's first token can have.
func (p *samplePool) minAge(costs stepCosts, batch *delivery, sample *deliveredSample) port.WeightVersion {
	latestStart := batch.at - p.minLatency(costs, sample)
	for version := batch.version; version > firstVersion; version-- {
		if latestStart >= p.trainer.published[version]+costs.versionReady {
			return batch.version - version
		}
	}
	return batch.version - firstVersion
}
