package experiment

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// longSampleQuantile is the quantile of the length above which a sample is long.
const longSampleQuantile = 0.95

// maxSamplesPerHour returns the samples per hour of trainers that idle for idleShare of
// their time.
func maxSamplesPerHour(site sim.Site, idleShare float64) float64 {
	total := 0.0
	for _, trainer := range site.Trainers {
		steps := float64(time.Hour) / float64(trainer.StepTime)
		total += steps * float64(trainer.Sampling.BatchSamples)
	}
	return total * (1 - idleShare)
}

// minLongSampleTime returns the time, in seconds, for a quantile of the long samples on
// an engine without other load and with their prompts cached: one step per token, then
// the scoring. It is computed from the length distribution, so a quantile of few samples
// may be slightly lower.
func minLongSampleTime(site sim.Site, share float64) float64 {
	minTokens := math.Inf(1)
	tail := longSampleQuantile + (1-longSampleQuantile)*share
	normal := distuv.UnitNormal.Quantile(tail)
	for _, trainer := range site.Trainers {
		lengths := trainer.Lengths
		tokens := lengths.Median * math.Exp(lengths.Sigma*normal)
		tokens = min(tokens, float64(lengths.Max), float64(trainer.Sampling.MaxTokens))
		minTokens = min(minTokens, tokens)
	}
	if math.IsInf(minTokens, 1) {
		return 0
	}
	step := site.Engine.StepBase + site.Engine.StepPerSequence
	return minTokens*step.Seconds() + site.ScoreTime.Seconds()
}

// maxPrefixHitShare returns the share of prompt tokens found in a cache if each group's own
// part of the prompt is computed once and the shared prefix never.
func maxPrefixHitShare(site sim.Site) float64 {
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

// minCallTime returns the time of a call that is never queued: the round trip to a node
// plus the median service time.
func minCallTime(site sim.Site) time.Duration {
	return 2*site.ClientLatency + site.ServiceTime
}

// minStalenessP99 returns the lowest possible 99th percentile k of integer staleness
// values from 0 to the bound with a mean of at least minMean: the mean is at most
// 0.99·k + 0.01·bound.
func minStalenessP99(site sim.Site, minMean float64) float64 {
	bound := uint64(0)
	for _, trainer := range site.Trainers {
		bound = max(bound, trainer.Sampling.StalenessBound)
	}
	p99 := (minMean - (1-percentile99)*float64(bound)) / percentile99
	return max(math.Ceil(p99), 0)
}
