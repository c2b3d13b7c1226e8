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

// enter records a value; one beyond the range counts as the highest.
func enter(histogram *hdrhistogram.Histogram, value int64) {
	if err := histogram.RecordValue(value); err != nil {
		_ = histogram.RecordValue(histogram.HighestTrackableValue())
	}
}

// tally is what a trainer saw after the warm-up.
type tally struct {
	steps, samples, tokens, dropped int
	idle                            time.Duration
	staleness, staleMillis          *hdrhistogram.Histogram
}

func newTally() tally {
	return tally{staleness: newHistogram(maxAgeVersions), staleMillis: newHistogram(maxMillis)}
}

// waited adds the time waited for a batch that falls after the warm-up.
func (t *tally) waited(w *world, from, until time.Duration) {
	from = max(from, w.options.Warmup)
	if until > from {
		t.idle += until - from
	}
}

func (t *tally) age(versions port.WeightVersion, stale time.Duration) {
	enter(t.staleness, int64(versions))
	enter(t.staleMillis, stale.Milliseconds())
}

// outcome gathers what the run gave.
func (w *world) outcome() Outcome {
	outcome := Outcome{
		Series: w.series, Violations: w.books.violations,
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
			w.books.violate("replica %s generated %d tokens and told of %d", replica.id, totals.Generated, replica.tokens)
		}
	}
	outcome.PrefixHitShare = float64(hits) / float64(max(hits+computed, 1))
	outcome.TokensLost = w.tokensLost(outcome.TokensGenerated)
	outcome.Limits = w.limits()
	outcome.Violations = w.books.violations
	return outcome
}

// outcome gives what the pool's trainer saw.
func (p *samplePool) outcome() TrainerOutcome {
	t := p.trainer
	if t.asking {
		t.tally.waited(p.world, t.askedAt, p.world.now)
	}
	length := p.world.options.Length - p.world.options.Warmup
	return TrainerOutcome{
		Pool: p.settings.Pool, Steps: t.tally.steps, Samples: t.tally.samples, Tokens: t.tally.tokens,
		IdleShare: float64(t.tally.idle) / float64(length),
		Staleness: t.tally.staleness, StaleMillis: t.tally.staleMillis,
		DroppedStale: t.tally.dropped, Version: t.version,
	}
}

// tokensLost gives the generated tokens that were neither delivered nor are in
// work at the end. What is left of a prompt whose group was delivered is lost.
func (w *world) tokensLost(generated uint64) uint64 {
	kept := w.books.deliveredTokens
	for _, pool := range w.pools {
		running := pool.running()
		for id, record := range pool.records {
			if !w.books.delivered[id] && !pool.trainer.seen[record.prompt] {
				kept += uint64(record.made(running[record]))
			}
		}
	}
	return generated - min(kept, generated)
}
