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

// figureMaker makes one plot, with nil PNG where there is nothing to show.
type figureMaker func() (Figure, error)

// Figures draws all plots of a report.
func Figures(results *experiment.Results) ([]Figure, error) {
	base := results.Base()
	makers := []figureMaker{
		func() (Figure, error) { return idleFigure(results) },
		func() (Figure, error) { return ageFigure(base) },
		func() (Figure, error) {
			return quantileFigure(base, experiment.DistributionStaleSeconds,
				"Staleness of delivered samples, in seconds", "seconds since the oldest version was replaced")
		},
	}
	for _, class := range parts(base, experiment.FigureLatencyP50) {
		makers = append(makers, func() (Figure, error) {
			return quantileFigure(base, experiment.DistributionLatency+"/"+class, "Latency of "+class, "milliseconds")
		})
	}
	makers = append(makers, func() (Figure, error) {
		return quantileFigure(base, experiment.DistributionLongSamples, "Long samples, from first start to score", "seconds")
	})
	makers = append(makers, seriesMakers(results)...)
	makers = append(makers, sweepMakers(results)...)
	return makeAll(makers)
}

func makeAll(makers []figureMaker) ([]Figure, error) {
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

// idleFigure shows the idle share of every variant.
func idleFigure(results *experiment.Results) (Figure, error) {
	figure := Figure{
		Title: "Trainer idle share by variant",
		Note:  "Whiskers are the interval over the seeds; black lines are the physical limit. Baselines are grey.",
	}
	var all []bar
	for _, variant := range results.Base().Variants {
		summary, known := variant.SummaryNamed(experiment.FigureIdleShare)
		if !known {
			continue
		}
		one := bar{name: variant.Name, value: summary.Mean, half: summary.Half, limit: summary.Limit, shade: loomgradeShade}
		if isBaseline(results.Settings, variant.Name) {
			one.shade = baselineShade
		}
		all = append(all, one)
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

// ageFigure shows how many of the delivered samples were how many versions old.
func ageFigure(point experiment.Point) (Figure, error) {
	figure := Figure{Title: "Staleness of delivered samples, in versions", Note: "All seeds together."}
	var names []string
	var stacks []stack
	for _, variant := range point.Variants {
		distribution := variant.DistributionNamed(experiment.DistributionStaleness)
		if distribution.Count == 0 {
			continue
		}
		names = append(names, variant.Name)
		for _, count := range distribution.Counts {
			for len(stacks) <= int(count.Value) {
				stacks = append(stacks, stack{name: fmt.Sprintf("age %d", len(stacks))})
			}
			part := &stacks[int(count.Value)]
			part.values = append(grown(part.values, len(names)-1), float64(count.Count)/float64(distribution.Count))
		}
	}
	if len(names) == 0 {
		return figure, nil
	}
	for index := range stacks {
		stacks[index].values = grown(stacks[index].values, len(names))
	}
	var err error
	figure.PNG, err = stackedBars("share of samples", names, stacks)
	return figure, err
}

// grown fills up with zeros to a length.
func grown(values []float64, length int) []float64 {
	return append(values, make([]float64, max(length-len(values), 0))...)
}

// wideRange is the ratio of values beyond which an axis is logarithmic.
const wideRange = 50

// quantileFigure shows the values at rising quantiles, with room for the tail.
func quantileFigure(point experiment.Point, distribution, title, unit string) (Figure, error) {
	picture := chart{xLabel: "quantile", yLabel: unit, xTicks: quantileTicks{}}
	least, most := math.Inf(1), 0.0
	for _, variant := range point.Variants {
		values := line{name: variant.Name}
		for _, quantile := range variant.DistributionNamed(distribution).Quantiles {
			if quantile.Share < 1 {
				values.points = append(values.points, plotter.XY{X: tailPosition(quantile.Share), Y: quantile.Value})
				least, most = min(least, quantile.Value), max(most, quantile.Value)
			}
		}
		picture.lines = append(picture.lines, values)
	}
	picture.logarithmicY = least > 0 && most > wideRange*least
	picture.fromZero = !picture.logarithmicY
	content, err := picture.png()
	return Figure{Title: title, Note: "All seeds together; the axis gives each further nine of the quantile the same room.", PNG: content}, err
}

// tailPosition places a quantile so that 0.9, 0.99 and 0.999 are equally far
// apart.
func tailPosition(share float64) float64 { return -math.Log10(1 - share) }

// quantileTicks labels the axis of quantiles.
type quantileTicks struct{}

// Ticks gives the labelled positions between two ends.
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

// seriesMakers show the course of the first seed's run under the baselines and
// the reference.
func seriesMakers(results *experiment.Results) []figureMaker {
	courses := []struct {
		title, label string
		of           func(experiment.SeriesPoint) float64
	}{
		{"Requests waiting over time", "requests waiting", func(p experiment.SeriesPoint) float64 { return float64(p.Waiting) }},
		{"Requests in flight over time", "requests in flight", func(p experiment.SeriesPoint) float64 { return float64(p.InFlight) }},
		{"Memory of the engines over time", "share of KV memory in use", func(p experiment.SeriesPoint) float64 { return p.MemoryShare }},
	}
	var makers []figureMaker
	for _, course := range courses {
		makers = append(makers, func() (Figure, error) {
			picture := chart{xLabel: "virtual time in minutes", yLabel: course.label, fromZero: true}
			for _, variant := range results.Base().Variants {
				if shownOverTime(results.Settings, variant.Name) && len(variant.Runs) > 0 {
					picture.lines = append(picture.lines, courseOf(variant, course.of))
				}
			}
			content, err := picture.png()
			return Figure{Title: course.title, Note: "Seed 1, baselines and reference.", PNG: content}, err
		})
	}
	return makers
}

func shownOverTime(settings experiment.Settings, name string) bool {
	return isBaseline(settings, name) || name == settings.Reference
}

// coursePoints bounds the points of a line over time; each is the mean of its
// stretch.
const coursePoints = 100

func courseOf(variant experiment.VariantResult, of func(experiment.SeriesPoint) float64) line {
	const secondsPerMinute = 60
	course := line{name: variant.Name}
	series := variant.Runs[0].Series
	stretch := max((len(series)+coursePoints-1)/coursePoints, 1)
	for part := range slices.Chunk(series, stretch) {
		sum := 0.0
		for _, point := range part {
			sum += of(point)
		}
		course.points = append(course.points, plotter.XY{X: part[0].Seconds / secondsPerMinute, Y: sum / float64(len(part))})
	}
	return course
}

// sweepMakers show how idle share and staleness change with each swept setting.
func sweepMakers(results *experiment.Results) []figureMaker {
	var makers []figureMaker
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

// sweptPoints gives the values of a sweep, that of the settings as given
// included, in rising order.
func sweptPoints(results *experiment.Results, index int) []sweptPoint {
	given := results.Given[index]
	points := []sweptPoint{{label: given + " (as given)", value: experiment.SweptValue(given), point: results.Base()}}
	sweep := results.Settings.Sweeps[index]
	for _, value := range sweep.Values {
		if value == given {
			continue
		}
		points = append(points, sweptPoint{
			label: value, value: experiment.SweptValue(value), point: pointOf(results, sweep.Setting, value),
		})
	}
	slices.SortStableFunc(points, func(a, b sweptPoint) int { return cmp.Compare(a.value, b.value) })
	return points
}

// sweptVariants are the names of a sweep's variants, or of all.
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
		course := line{name: name}
		for position, point := range points {
			result, _ := point.point.VariantNamed(name)
			summary, known := result.SummaryNamed(figure)
			if !known {
				continue
			}
			course.points = append(course.points, plotter.XY{X: float64(position), Y: summary.Mean})
			course.errors = append(course.errors, summary.Half)
			if summary.Limit != nil && index == 0 {
				limits.points = append(limits.points, plotter.XY{X: float64(position), Y: *summary.Limit})
			}
		}
		picture.lines = append(picture.lines, course)
	}
	picture.lines = append(picture.lines, limits)
	content, err := picture.png()
	title := strings.ToUpper(label[:1]) + label[1:] + " by " + sweep.Setting
	return Figure{Title: title, Note: "Intervals over the seeds; the limit is that of the first variant.", PNG: content}, err
}

func pointOf(results *experiment.Results, setting, value string) experiment.Point {
	for _, point := range results.Points {
		if point.Setting == setting && point.Value == value {
			return point
		}
	}
	return experiment.Point{}
}

// labelTicks puts texts at 0, 1, 2 and so on.
type labelTicks []string

// Ticks gives all labels.
func (l labelTicks) Ticks(float64, float64) []plot.Tick {
	ticks := make([]plot.Tick, 0, len(l))
	for index, label := range l {
		ticks = append(ticks, plot.Tick{Value: float64(index), Label: label})
	}
	return ticks
}
