package sim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Ranges and precision of the histograms.
const (
	maxAgeVersions  = 1 << 20
	maxMillis       = int64(24 * time.Hour / time.Millisecond)
	maxMicros       = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func newHistogram(highest int64) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highest, histogramDigits)
}

// recordValue records a value; one beyond the range counts as the highest.
func recordValue(histogram *hdrhistogram.Histogram, value int64) {
	if err := histogram.RecordValue(value); err != nil {
		_ = histogram.RecordValue(histogram.HighestTrackableValue())
	}
}

// trainerStats are a trainer's counts after the warm-up.
type trainerStats struct {
	steps, samples, tokens, dropped int
	idle                            time.Duration
	staleness, staleMillis          *hdrhistogram.Histogram
}

func newTrainerStats() trainerStats {
	return trainerStats{staleness: newHistogram(maxAgeVersions), staleMillis: newHistogram(maxMillis)}
}

// addIdle adds the part of an idle period that is after the warm-up.
func (t *trainerStats) addIdle(w *world, from, until time.Duration) {
	from = max(from, w.options.Warmup)
	if until > from {
		t.idle += until - from
	}
}

func (t *trainerStats) addStaleness(versions port.WeightVersion, stale time.Duration) {
	recordValue(t.staleness, int64(versions))
	recordValue(t.staleMillis, stale.Milliseconds())
}

// outcome returns the outcome of the run.
func (w *world) outcome() Outcome {
	outcome := Outcome{
		Series: w.series, Violations: w.auditRecords.violations,
		LongSampleTimes: newHistogram(maxMillis),
	}
	for _, pool := range w.pools {
		outcome.Trainers = append(outcome.Trainers, pool.outcome())
		outcome.LongSampleTimes.Merge(pool.longTimes)
	}
	for _, class := range w.callers {
		outcome.Callers = append(outcome.Callers, class.outcome())
	}
	var hits, computed uint64
	for _, replica := range w.replicas {
		totals := replica.model.Load().Totals
		hits += totals.CacheHits
		computed += totals.Prefilled
		outcome.TokensGenerated += totals.Generated
		if totals.Generated != replica.tokens {
			w.auditRecords.addViolation("replica %s generated %d tokens and reported %d", replica.id, totals.Generated, replica.tokens)
		}
	}
	outcome.PrefixHitShare = float64(hits) / float64(max(hits+computed, 1))
	outcome.TokensLost = w.tokensLost(outcome.TokensGenerated)
	outcome.Limits = w.limits()
	outcome.Violations = w.auditRecords.violations
	return outcome
}

// outcome returns the outcome of the pool's trainer.
func (p *samplePool) outcome() TrainerOutcome {
	t := p.trainer
	if t.requesting {
		t.stats.addIdle(p.world, t.requestedAt, p.world.now)
	}
	length := p.world.options.Length - p.world.options.Warmup
	return TrainerOutcome{
		Pool: p.settings.Pool, Steps: t.stats.steps, Samples: t.stats.samples, Tokens: t.stats.tokens,
		IdleShare: float64(t.stats.idle) / float64(length),
		Staleness: t.stats.staleness, StaleMillis: t.stats.staleMillis,
		DroppedStale: t.stats.dropped, Version: t.version,
	}
}

// tokensLost returns the generated tokens that were not delivered and whose samples are
// not pending. Samples of a prompt whose group was delivered are lost.
func (w *world) tokensLost(generated uint64) uint64 {
	useful := w.auditRecords.deliveredTokens
	for _, pool := range w.pools {
		running := pool.running()
		for id, record := range pool.records {
			if !w.auditRecords.delivered[id] && !pool.trainer.deliveredPrompts[record.prompt] {
				useful += uint64(record.generatedTokens(running[record]))
			}
		}
	}
	return generated - min(useful, generated)
}
