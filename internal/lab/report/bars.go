package report

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// bar is one horizontal bar with its interval and an optional limit.
type bar struct {
	name             string
	value, halfWidth float64
	limit            *float64
	shade            color.Color
}

// Colors of bars.
var (
	baselineShade  = color.Gray{Y: 0xAA}
	loomgradeShade = palette[4]
)

// barChart draws horizontal bars from top to bottom, with intervals as whiskers and limits
// as black lines across the bars.
func barChart(xLabel string, bars []bar) ([]byte, error) {
	drawing := newPlot(xLabel, "")
	points := make(plotter.XYs, len(bars))
	halves := make([]float64, len(bars))
	names := make([]string, len(bars))
	for index, bar := range bars {
		position := len(bars) - 1 - index
		names[position] = bar.name
		points[position] = plotter.XY{X: bar.value, Y: float64(position)}
		halves[position] = bar.halfWidth
		if err := addBar(drawing, bar, float64(position)); err != nil {
			return nil, err
		}
	}
	whiskers, err := plotter.NewXErrorBars(intervals{points: points, halves: halves})
	if err != nil {
		return nil, eris.Wrap(err, "plot intervals")
	}
	drawing.Add(whiskers)
	return renderBars(drawing, names, nil)
}

func addBar(drawing *plot.Plot, bar bar, position float64) error {
	shape, err := plotter.NewBarChart(plotter.Values{bar.value}, barWidth)
	if err != nil {
		return eris.Wrapf(err, "plot bar %s", bar.name)
	}
	shape.Horizontal = true
	shape.XMin = position
	shape.Color = bar.shade
	shape.LineStyle.Width = 0
	drawing.Add(shape)
	if bar.limit == nil {
		return nil
	}
	const halfBar = 0.45
	ends := plotter.XYs{{X: *bar.limit, Y: position - halfBar}, {X: *bar.limit, Y: position + halfBar}}
	mark, err := plotter.NewLine(ends)
	if err != nil {
		return eris.Wrapf(err, "plot limit of %s", bar.name)
	}
	mark.Width = lineWidth
	drawing.Add(mark)
	return nil
}

// stackLayer is one segment of every bar of a stacked chart.
type stackLayer struct {
	name   string
	values []float64
}

// stackedBars draws horizontal bars from top to bottom, each with one segment per layer.
func stackedBars(xLabel string, names []string, stacks []stackLayer) ([]byte, error) {
	drawing := newPlot(xLabel, "")
	legend := newLegend()
	var below *plotter.BarChart
	for index, stack := range stacks {
		shape, err := plotter.NewBarChart(plotter.Values(reversed(stack.values)), barWidth)
		if err != nil {
			return nil, eris.Wrapf(err, "plot bars %s", stack.name)
		}
		shape.Horizontal = true
		shape.Color = palette[index%len(palette)]
		shape.LineStyle.Width = 0
		if below != nil {
			shape.StackOn(below)
		}
		below = shape
		drawing.Add(shape)
		legend.Add(stack.name, shape)
	}
	return renderBars(drawing, reversed(names), &legend)
}

// renderBars labels and draws a plot of bars. The names are ordered from bottom to top.
func renderBars(drawing *plot.Plot, names []string, legend *plot.Legend) ([]byte, error) {
	drawing.NominalY(names...)
	drawing.X.Min = 0
	drawing.X.Max *= headroom
	ensureRange(&drawing.X)
	return render(drawing, legend, barFrame+vg.Length(len(names))*barHeight)
}

// reversed returns a reversed copy.
func reversed[T any](values []T) []T {
	result := make([]T, 0, len(values))
	for index := len(values) - 1; index >= 0; index-- {
		result = append(result, values[index])
	}
	return result
}
