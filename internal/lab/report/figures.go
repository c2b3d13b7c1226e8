package report

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
)

// figureFunc draws one plot. The PNG is nil if there is nothing to show.
type figureFunc func() (Figure, error)

// Figures draws all plots of a report.
func Figures(results *experiment.Results) ([]Figure, error) {
	base := results.Base()
	makers := []figureFunc{
		func() (Figure, error) { return idleFigure(results) },
		func() (Figure, error) { return stalenessFigure(base) },
		func() (Figure, error) {
			return quantileFigure(base, experiment.DistributionStaleSeconds,
				"Staleness of delivered samples, in seconds", "seconds since the oldest version was replaced")
		},
	}
	for _, class := range figureParts(base, experiment.FigureLatencyP50) {
		makers = append(makers, func() (Figure, error) {
			return quantileFigure(base, experiment.DistributionLatency+"/"+class, "Latency of "+class, "milliseconds")
		})
	}
	makers = append(makers, func() (Figure, error) {
		return quantileFigure(base, experiment.DistributionLongSamples, "Long samples, from first start to score", "seconds")
	})
	makers = append(makers, seriesFigures(results)...)
	makers = append(makers, sweepFigures(results)...)
	return drawAll(makers)
}

func drawAll(makers []figureFunc) ([]Figure, error) {
	var figures []Figure
	for _, maker := range makers {
		figure, err := maker()
		if err != nil {
			return nil, err
		}
		if figure.PNG != nil {
			figures = append(figures, figure)
		}
	}
	return figures, nil
}

// idleFigure plots the idle share of every variant.
func idleFigure(results *experiment.Results) (Figure, error) {
	figure := Figure{
		Title: "Trainer idle share by variant",
		Note:  "Whiskers are the interval over the seeds; black lines are the physical limit. Baselines are grey.",
	}
	var all []bar
	for _, variant := range results.Base().Variants {
		summary, found := variant.SummaryNamed(experiment.FigureIdleShare)
		if !found {
			continue
		}
		entry := bar{name: variant.Name, value: summary.Mean, halfWidth: summary.Half, limit: summary.Limit, shade: loomgradeShade}
		if isBaseline(results.Settings, variant.Name) {
			entry.shade = baselineShade
		}
		all = append(all, entry)
	}
	if len(all) == 0 {
		return figure, nil
	}
	var err error
	figure.PNG, err = barChart("idle share of the trainers", all)
	return figure, err
}

func isBaseline(settings experiment.Settings, name string) bool {
	for _, variant := range settings.Variants {
		if variant.Name == name {
			return variant.Baseline()
		}
	}
	return false
}

// stalenessFigure plots the share of delivered samples by age in versions.
func stalenessFigure(point experiment.Point) (Figure, error) {
	figure := Figure{Title: "Staleness of delivered samples, in versions", Note: "All seeds together."}
	var names []string
	var stacks []stackLayer
	for _, variant := range point.Variants {
		distribution := variant.DistributionNamed(experiment.DistributionStaleness)
		if distribution.Count == 0 {
			continue
		}
		names = append(names, variant.Name)
		for _, count := range distribution.Counts {
			for len(stacks) <= int(count.Value) {
				stacks = append(stacks, stackLayer{name: fmt.Sprintf("age %d", len(stacks))})
			}
			part := &stacks[int(count.Value)]
			part.values = append(padded(part.values, len(names)-1), float64(count.Count)/float64(distribution.Count))
		}
	}
	if len(names) == 0 {
		return figure, nil
	}
	for index := range stacks {
		stacks[index].values = padded(stacks[index].values, len(names))
	}
	var err error
	figure.PNG, err = stackedBars("share of samples", names, stacks)
	return figure, err
}

// padded appends zeros up to a length.
func padded(values []float64, length int) []float64 {
	return append(values, make([]float64, max(length-len(values), 0))...)
}

// logAxisRatio is the ratio of largest to smallest value above which an axis is logarithmic.
const logAxisRatio = 50

// quantileFigure plots the quantiles of a distribution on an axis that expands the tail.
func quantileFigure(point experiment.Point, distribution, title, unit string) (Figure, error) {
	picture := chart{xLabel: "quantile", yLabel: unit, xTicks: quantileTicks{}}
	lowest, highest := math.Inf(1), 0.0
	for _, variant := range point.Variants {
		values := line{name: variant.Name}
		for _, quantile := range variant.DistributionNamed(distribution).Quantiles {
			if quantile.Share < 1 {
				values.points = append(values.points, plotter.XY{X: tailPosition(quantile.Share), Y: quantile.Value})
				lowest, highest = min(lowest, quantile.Value), max(highest, quantile.Value)
			}
		}
		picture.lines = append(picture.lines, values)
	}
	picture.logarithmicY = lowest > 0 && highest > logAxisRatio*lowest
	picture.fromZero = !picture.logarithmicY
	content, err := picture.png()
	return Figure{Title: title, Note: "All seeds together; the axis gives each further nine of the quantile the same room.", PNG: content}, err
}

// tailPosition returns the axis position of a quantile: 0.9, 0.99 and 0.999 are equally
// far apart.
func tailPosition(share float64) float64 { return -math.Log10(1 - share) }

// quantileTicks labels the axis of quantiles.
type quantileTicks struct{}

// Ticks implements plot.Ticker.
func (quantileTicks) Ticks(low, high float64) []plot.Tick {
	const rounding = 1e-9
	var ticks []plot.Tick
	for _, tick := range []struct {
		share float64
		label string
	}{{0, "0"}, {0.5, "0.5"}, {0.9, "0.9"}, {0.99, "0.99"}, {0.999, "0.999"}, {0.9999, "0.9999"}} {
		position := tailPosition(tick.share)
		if position >= low-rounding && position <= high+rounding {
			ticks = append(ticks, plot.Tick{Value: position, Label: tick.label})
		}
	}
	return ticks
}

// seriesFigures plot the first seed's run over time, for the baselines and the reference.
func seriesFigures(results *experiment.Results) []figureFunc {
	metrics := []struct {
		title, label string
		of           func(experiment.SeriesPoint) float64
	}{
		{"Requests waiting over time", "requests waiting", func(p experiment.SeriesPoint) float64 { return float64(p.Waiting) }},
		{"Requests in flight over time", "requests in flight", func(p experiment.SeriesPoint) float64 { return float64(p.InFlight) }},
		{"Memory of the engines over time", "share of KV memory in use", func(p experiment.SeriesPoint) float64 { return p.MemoryShare }},
	}
	var makers []figureFunc
	for _, metric := range metrics {
		makers = append(makers, func() (Figure, error) {
			picture := chart{xLabel: "virtual time in minutes", yLabel: metric.label, fromZero: true}
			for _, variant := range results.Base().Variants {
				if hasSeriesLine(results.Settings, variant.Name) && len(variant.Runs) > 0 {
					picture.lines = append(picture.lines, seriesLine(variant, metric.of))
				}
			}
			content, err := picture.png()
			return Figure{Title: metric.title, Note: "Seed 1, baselines and reference.", PNG: content}, err
		})
	}
	return makers
}

func hasSeriesLine(settings experiment.Settings, name string) bool {
	return isBaseline(settings, name) || name == settings.Reference
}

// maxSeriesPoints limits the points of a line over time; each point is the mean of a
// chunk of the series.
const maxSeriesPoints = 100

func seriesLine(variant experiment.VariantResult, of func(experiment.SeriesPoint) float64) line {
	const secondsPerMinute = 60
	curve := line{name: variant.Name}
	series := variant.Runs[0].Series
	chunkSize := max((len(series)+maxSeriesPoints-1)/maxSeriesPoints, 1)
	for chunk := range slices.Chunk(series, chunkSize) {
		sum := 0.0
		for _, point := range chunk {
			sum += of(point)
		}
		curve.points = append(curve.points, plotter.XY{X: chunk[0].Seconds / secondsPerMinute, Y: sum / float64(len(chunk))})
	}
	return curve
}

// sweepFigures plot idle share and staleness against each swept setting.
func sweepFigures(results *experiment.Results) []figureFunc {
	var makers []figureFunc
	for index := range results.Settings.Sweeps {
		for _, figure := range []struct{ name, label string }{
			{experiment.FigureIdleShare, "idle share of the trainers"},
			{experiment.FigureStalenessMean, "mean staleness in versions"},
		} {
			makers = append(makers, func() (Figure, error) { return sweepFigure(results, index, figure.name, figure.label) })
		}
	}
	return makers
}

// sweptPoint is one value on the axis of a sweep.
type sweptPoint struct {
	label string
	value float64
	point experiment.Point
}

// sweptPoints returns the values of a sweep in ascending order, including the configured
// value.
func sweptPoints(results *experiment.Results, index int) []sweptPoint {
	configured := results.SweptDefaults[index]
	points := []sweptPoint{{label: configured + " (as given)", value: experiment.SweptValue(configured), point: results.Base()}}
	sweep := results.Settings.Sweeps[index]
	for _, value := range sweep.Values {
		if value == configured {
			continue
		}
		points = append(points, sweptPoint{
			label: value, value: experiment.SweptValue(value), point: findPoint(results, sweep.Setting, value),
		})
	}
	slices.SortStableFunc(points, func(a, b sweptPoint) int { return cmp.Compare(a.value, b.value) })
	return points
}

// sweptVariants returns the names of a sweep's variants; the default is all.
func sweptVariants(results *experiment.Results, sweep experiment.Sweep) []string {
	if len(sweep.Variants) > 0 {
		return sweep.Variants
	}
	var names []string
	for _, variant := range results.Settings.Variants {
		names = append(names, variant.Name)
	}
	return names
}

func sweepFigure(results *experiment.Results, sweepIndex int, figure, label string) (Figure, error) {
	sweep := results.Settings.Sweeps[sweepIndex]
	points := sweptPoints(results, sweepIndex)
	var labels []string
	for _, point := range points {
		labels = append(labels, point.label)
	}
	picture := chart{xLabel: sweep.Setting, yLabel: label, xTicks: labelTicks(labels), fromZero: true}
	limits := line{name: "limit", limit: true}
	for index, name := range sweptVariants(results, sweep) {
		curve := line{name: name}
		for position, point := range points {
			result, _ := point.point.VariantNamed(name)
			summary, found := result.SummaryNamed(figure)
			if !found {
				continue
			}
			curve.points = append(curve.points, plotter.XY{X: float64(position), Y: summary.Mean})
			curve.errors = append(curve.errors, summary.Half)
			if summary.Limit != nil && index == 0 {
				limits.points = append(limits.points, plotter.XY{X: float64(position), Y: *summary.Limit})
			}
		}
		picture.lines = append(picture.lines, curve)
	}
	picture.lines = append(picture.lines, limits)
	content, err := picture.png()
	title := strings.ToUpper(label[:1]) + label[1:] + " by " + sweep.Setting
	return Figure{Title: title, Note: "Intervals over the seeds; the limit is that of the first variant.", PNG: content}, err
}

func findPoint(results *experiment.Results, setting, value string) experiment.Point {
	for _, point := range results.Points {
		if point.Setting == setting && point.Value == value {
			return point
		}
	}
	return experiment.Point{}
}

// labelTicks are labels at 0, 1, 2 and so on.
type labelTicks []string

// Ticks implements plot.Ticker.
func (l labelTicks) Ticks(float64, float64) []plot.Tick {
	ticks := make([]plot.Tick, 0, len(l))
	for index, label := range l {
		ticks = append(ticks, plot.Tick{Value: float64(index), Label: label})
	}
	return ticks
}
