package experiment

import (
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Direction says which values of a figure are better.
type Direction string

// The directions.
const (
	LowerIsBetter  Direction = "lower"
	HigherIsBetter Direction = "higher"
	// NeitherIsBetter is that of figures that explain others.
	NeitherIsBetter Direction = "neither"
)

// The names of figures. Those of one pool or class of callers end in a slash and
// its name.
const (
	FigureIdleShare        = "idle_share"
	FigureSamplesPerHour   = "samples_per_hour"
	FigureTokensPerHour    = "tokens_per_hour"
	FigureTokensPerSample  = "tokens_per_sample"
	FigureStalenessMean    = "staleness_mean"
	FigureStalenessP99     = "staleness_p99"
	FigureStaleSecondsMean = "stale_seconds_mean"
	FigureStaleSecondsP99  = "stale_seconds_p99"
	FigureLongSampleP50    = "long_sample_p50"
	FigureLongSampleP99    = "long_sample_p99"
	FigureDroppedShare     = "dropped_stale_share"
	FigureTokensLostShare  = "tokens_lost_share"
	FigurePrefixHitShare   = "prefix_hit_share"
	FigureLatencyP50       = "latency_p50"
	FigureLatencyP99       = "latency_p99"
	FigureRefusedShare     = "refused_share"
	FigureFailedShare      = "failed_share"
	FigureViolations       = "violations"
)

// barFigures are those that bars can judge.
var barFigures = []string{
	FigureIdleShare, FigureStalenessMean, FigureStalenessP99, FigureStaleSecondsMean, FigureStaleSecondsP99,
	FigureLongSampleP50, FigureLongSampleP99, FigureDroppedShare, FigureTokensLostShare,
}

// Figure is one measured number beside its physical limit.
type Figure struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Better Direction `json:"better"`
	Value  float64   `json:"value"`
	// Limit is what perfect knowledge could reach at best; nil where none is
	// known.
	Limit *float64 `json:"limit,omitempty"`
}

// Units of figures.
const (
	unitShare        = "share"
	unitCount        = "count"
	unitVersions     = "versions"
	unitSeconds      = "s"
	unitMilliseconds = "ms"
	unitSamples      = "samples/h"
	unitTokensHour   = "tokens/h"
	unitTokens       = "tokens"
)

// Divisors of recorded values: milliseconds to seconds, microseconds to
// milliseconds.
const (
	millisPerSecond = 1000
	microsPerMilli  = 1000
)

// Quantiles that figures use.
const (
	median       = 0.5
	percentile99 = 0.99
)

// figureList gathers the figures of one run.
type figureList struct{ figures []Figure }

func (l *figureList) add(name, unit string, better Direction, value float64) *Figure {
	l.figures = append(l.figures, Figure{Name: name, Unit: unit, Better: better, Value: value})
	return &l.figures[len(l.figures)-1]
}

func (l *figureList) addLimited(name, unit string, better Direction, value, limit float64) {
	l.add(name, unit, better, value).Limit = &limit
}

// quantile adds a quantile of a distribution, if it holds any value.
func (l *figureList) quantile(name, unit string, distribution Distribution, share float64) *Figure {
	value, known := distribution.At(share)
	if !known {
		return &Figure{}
	}
	return l.add(name, unit, LowerIsBetter, value)
}

// figuresOf computes the figures of one run.
func figuresOf(options sim.Options, outcome sim.Outcome, distributions []NamedDistribution) []Figure {
	var list figureList
	list.trainers(options, outcome)
	list.samples(options.Site, distributions, outcome)
	list.callers(options.Site, outcome, distributions)
	list.add(FigureViolations, unitCount, LowerIsBetter, float64(len(outcome.Violations)))
	return list.figures
}

func (l *figureList) trainers(options sim.Options, outcome sim.Outcome) {
	var idle []float64
	samples, tokens, dropped := 0, 0, 0
	for _, trainer := range outcome.Trainers {
		idle = append(idle, trainer.IdleShare)
		samples += trainer.Samples
		tokens += trainer.Tokens
		dropped += trainer.DroppedStale
	}
	if len(idle) == 0 {
		return
	}
	l.addLimited(FigureIdleShare, unitShare, LowerIsBetter, stat.Mean(idle, nil), outcome.Limits.IdleShare)
	for _, trainer := range outcome.Trainers {
		if len(idle) > 1 {
			l.add(FigureIdleShare+"/"+string(trainer.Pool), unitShare, LowerIsBetter, trainer.IdleShare)
		}
	}
	hours := (options.Length - options.Warmup).Hours()
	rate := float64(samples) / hours
	l.addLimited(FigureSamplesPerHour, unitSamples, HigherIsBetter, rate, mostSamplesPerHour(options.Site, outcome.Limits.IdleShare))
	l.add(FigureTokensPerHour, unitTokensHour, HigherIsBetter, float64(tokens)/hours)
	if samples > 0 {
		l.add(FigureTokensPerSample, unitTokens, NeitherIsBetter, float64(tokens)/float64(samples))
	}
	if samples+dropped > 0 {
		l.addLimited(FigureDroppedShare, unitShare, LowerIsBetter, float64(dropped)/float64(samples+dropped), 0)
	}
}

func (l *figureList) samples(site sim.Site, distributions []NamedDistribution, outcome sim.Outcome) {
	staleness := distributionNamed(distributions, DistributionStaleness)
	if staleness.Count > 0 {
		l.addLimited(FigureStalenessMean, unitVersions, LowerIsBetter, staleness.Mean, outcome.Limits.Staleness)
	}
	leastStale := leastStalenessP99(site, outcome.Limits.Staleness)
	l.quantile(FigureStalenessP99, unitVersions, staleness, percentile99).Limit = &leastStale
	seconds := distributionNamed(distributions, DistributionStaleSeconds)
	if seconds.Count > 0 {
		l.add(FigureStaleSecondsMean, unitSeconds, LowerIsBetter, seconds.Mean)
	}
	l.quantile(FigureStaleSecondsP99, unitSeconds, seconds, percentile99)
	long := distributionNamed(distributions, DistributionLongSamples)
	leastMedian, leastP99 := leastLongSampleTime(site, median), leastLongSampleTime(site, percentile99)
	l.quantile(FigureLongSampleP50, unitSeconds, long, median).Limit = &leastMedian
	l.quantile(FigureLongSampleP99, unitSeconds, long, percentile99).Limit = &leastP99
	if outcome.TokensGenerated > 0 {
		lost := float64(outcome.TokensLost) / float64(outcome.TokensGenerated)
		l.addLimited(FigureTokensLostShare, unitShare, LowerIsBetter, lost, 0)
	}
	l.addLimited(FigurePrefixHitShare, unitShare, HigherIsBetter, outcome.PrefixHitShare, mostPrefixHits(site))
}

func (l *figureList) callers(site sim.Site, outcome sim.Outcome, distributions []NamedDistribution) {
	least := float64(leastCallTime(site)) / float64(time.Millisecond)
	for _, caller := range outcome.Callers {
		suffix := "/" + caller.Name
		latency := distributionNamed(distributions, DistributionLatency+suffix)
		l.quantile(FigureLatencyP50+suffix, unitMilliseconds, latency, median).Limit = &least
		l.quantile(FigureLatencyP99+suffix, unitMilliseconds, latency, percentile99).Limit = &least
		calls := float64(caller.Answered + caller.Refused + caller.Failed)
		if calls == 0 {
			continue
		}
		l.addLimited(FigureRefusedShare+suffix, unitShare, LowerIsBetter, float64(caller.Refused)/calls, 0)
		l.addLimited(FigureFailedShare+suffix, unitShare, LowerIsBetter, float64(caller.Failed)/calls, 0)
	}
}

// figureNamed finds a figure by name.
func figureNamed(figures []Figure, name string) (Figure, bool) {
	for _, figure := range figures {
		if figure.Name == name {
			return figure, true
		}
	}
	return Figure{}, false
}

// SplitName gives a figure's name without its pool or class of callers, and that
// pool or class.
func SplitName(name string) (base, of string) {
	base, of, _ = strings.Cut(name, "/")
	return base, of
}
