package experiment

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// longSampleShare is the share of samples that are shorter than the long ones.
const longSampleShare = 0.95

// mostSamplesPerHour is what the trainers take when they idle no more than the
// limit.
func mostSamplesPerHour(site sim.Site, idleShare float64) float64 {
	total := 0.0
	for _, trainer := range site.Trainers {
		steps := float64(time.Hour) / float64(trainer.StepTime)
		total += steps * float64(trainer.Sampling.BatchSamples)
	}
	return total * (1 - idleShare)
}

// leastLongSampleTime is the time, in seconds, that a quantile of the long
// samples takes on an engine that runs nothing else and has their prompts in its
// cache: one step a token, then the score. It follows from the distribution of
// lengths, so a quantile of few samples may lie a little below it.
func leastLongSampleTime(site sim.Site, share float64) float64 {
	least := math.Inf(1)
	tail := longSampleShare + (1-longSampleShare)*share
	normal := distuv.UnitNormal.Quantile(tail)
	for _, trainer := range site.Trainers {
		lengths := trainer.Lengths
		tokens := lengths.Median * math.Exp(lengths.Sigma*normal)
		tokens = min(tokens, float64(lengths.Max), float64(trainer.Sampling.MaxTokens))
		least = min(least, tokens)
	}
	if math.IsInf(least, 1) {
		return 0
	}
	step := site.Engine.StepBase + site.Engine.StepPerSequence
	return least*step.Seconds() + site.ScoreTime.Seconds()
}

// mostPrefixHits is the share of prompt tokens found in a cache when each
// group's own part of the prompt is computed once and the shared part never.
func mostPrefixHits(site sim.Site) float64 {
	computed, total := 0.0, 0.0
	for _, trainer := range site.Trainers {
		samplesPerSecond := float64(trainer.Sampling.BatchSamples) / trainer.StepTime.Seconds()
		total += samplesPerSecond * float64(trainer.PromptTokens)
		own := float64(trainer.PromptTokens - trainer.SharedPrefixTokens)
		computed += samplesPerSecond * own / float64(max(trainer.Sampling.GroupSize, 1))
	}
	if total == 0 {
		return 0
	}
	return 1 - computed/total
}

// leastCallTime is the time of a call that waits nowhere: to a node and back,
// and the median service time.
func leastCallTime(site sim.Site) time.Duration {
	return 2*site.ClientLatency + site.ServiceTime
}

// leastStalenessP99 is the least 99th percentile of whole ages between 0 and the
// staleness bound whose mean is at least the limit: with a percentile k the mean
// is at most 0.99·k + 0.01·bound.
func leastStalenessP99(site sim.Site, leastMean float64) float64 {
	bound := uint64(0)
	for _, trainer := range site.Trainers {
		bound = max(bound, trainer.Sampling.StalenessBound)
	}
	least := (leastMean - (1-percentile99)*float64(bound)) / percentile99
	return max(math.Ceil(least), 0)
}
