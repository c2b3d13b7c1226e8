package experiment

import (
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// Direction is the direction in which a figure improves.
type Direction string

// Values of Direction.
const (
	LowerIsBetter  Direction = "lower"
	HigherIsBetter Direction = "higher"
	// NeitherIsBetter is used for figures that only explain others.
	NeitherIsBetter Direction = "neither"
)

// Names of figures. The name of a figure of one pool or caller class ends in a slash and
// the pool or class.
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

// barFigures are the figures that bars can use.
var barFigures = []string{
	FigureIdleShare, FigureStalenessMean, FigureStalenessP99, FigureStaleSecondsMean, FigureStaleSecondsP99,
	FigureLongSampleP50, FigureLongSampleP99, FigureDroppedShare, FigureTokensLostShare,
}

// Figure is one measured value with its physical limit.
type Figure struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Better Direction `json:"better"`
	Value  float64   `json:"value"`
	// Limit is the best value that is physically possible; nil if unknown.
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

// Divisors that convert recorded values to the units of figures.
const (
	millisPerSecond = 1000
	microsPerMilli  = 1000
)

// Quantiles used by figures.
const (
	median       = 0.5
	percentile99 = 0.99
)

// figureList collects the figures of one run.
type figureList struct{ figures []Figure }

func (l *figureList) add(name, unit string, better Direction, value float64) *Figure {
	l.figures = append(l.figures, Figure{Name: name, Unit: unit, Better: better, Value: value})
	return &l.figures[len(l.figures)-1]
}

func (l *figureList) addLimited(name, unit string, better Direction, value, limit float64) {
	l.add(name, unit, better, value).Limit = &limit
}

// quantile adds a quantile of a distribution, unless it is empty.
func (l *figureList) quantile(name, unit string, distribution Distribution, share float64) *Figure {
	value, found := distribution.At(share)
	if !found {
		return &Figure{}
	}
	return l.add(name, unit, LowerIsBetter, value)
}

// figuresOf returns the figures of one run.
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
	l.addLimited(FigureSamplesPerHour, unitSamples, HigherIsBetter, rate, maxSamplesPerHour(options.Site, outcome.Limits.IdleShare))
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
	minStaleness := minStalenessP99(site, outcome.Limits.Staleness)
	l.quantile(FigureStalenessP99, unitVersions, staleness, percentile99).Limit = &minStaleness
	seconds := distributionNamed(distributions, DistributionStaleSeconds)
	if seconds.Count > 0 {
		l.add(FigureStaleSecondsMean, unitSeconds, LowerIsBetter, seconds.Mean)
	}
	l.quantile(FigureStaleSecondsP99, unitSeconds, seconds, percentile99)
	long := distributionNamed(distributions, DistributionLongSamples)
	minMedian, minP99 := minLongSampleTime(site, median), minLongSampleTime(site, percentile99)
	l.quantile(FigureLongSampleP50, unitSeconds, long, median).Limit = &minMedian
	l.quantile(FigureLongSampleP99, unitSeconds, long, percentile99).Limit = &minP99
	if outcome.TokensGenerated > 0 {
		lost := float64(outcome.TokensLost) / float64(outcome.TokensGenerated)
		l.addLimited(FigureTokensLostShare, unitShare, LowerIsBetter, lost, 0)
	}
	l.addLimited(FigurePrefixHitShare, unitShare, HigherIsBetter, outcome.PrefixHitShare, maxPrefixHitShare(site))
}

func (l *figureList) callers(site sim.Site, outcome sim.Outcome, distributions []NamedDistribution) {
	minMillis := float64(minCallTime(site)) / float64(time.Millisecond)
	for _, caller := range outcome.Callers {
		suffix := "/" + caller.Name
		latency := distributionNamed(distributions, DistributionLatency+suffix)
		l.quantile(FigureLatencyP50+suffix, unitMilliseconds, latency, median).Limit = &minMillis
		l.quantile(FigureLatencyP99+suffix, unitMilliseconds, latency, percentile99).Limit = &minMillis
		calls := float64(caller.Answered + caller.Refused + caller.Failed)
		if calls == 0 {
			continue
		}
		l.addLimited(FigureRefusedShare+suffix, unitShare, LowerIsBetter, float64(caller.Refused)/calls, 0)
		l.addLimited(FigureFailedShare+suffix, unitShare, LowerIsBetter, float64(caller.Failed)/calls, 0)
	}
}

// figureNamed returns the figure with a name.
func figureNamed(figures []Figure, name string) (Figure, bool) {
	for _, figure := range figures {
		if figure.Name == name {
			return figure, true
		}
	}
	return Figure{}, false
}

// SplitName splits the name of a figure into the base name and the pool or caller class,
// which may be empty.
func SplitName(name string) (base, of string) {
	base, of, _ = strings.Cut(name, "/")
	return base, of
}
