package report

import (
	"bytes"
	"image/color"
	"math"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

// Figure is a plot as PNG with a title and a note.
type Figure struct {
	Title string
	Note  string
	PNG   []byte
}

// Sizes of plots.
const (
	plotWidth     = 9 * vg.Inch
	lineHeight    = 4 * vg.Inch
	barHeight     = 0.3 * vg.Inch
	barFrame      = 1.1 * vg.Inch
	legendWidth   = 2.2 * vg.Inch
	legendPadding = 0.15 * vg.Inch
	legendGap     = 3 * vg.Inch / 72
	legendFont    = 10 * vg.Inch / 72
	margin        = 0.15 * vg.Inch
	barWidth      = 12 * vg.Inch / 72
	lineWidth     = 1.5 * vg.Inch / 72
)

// palette is the color-blind safe palette of Okabe and Ito, without yellow, which is too
// faint for lines.
var palette = []color.Color{
	color.RGBA{R: 0x00, G: 0x72, B: 0xB2, A: 0xFF},
	color.RGBA{R: 0xD5, G: 0x5E, B: 0x00, A: 0xFF},
	color.RGBA{R: 0x00, G: 0x9E, B: 0x73, A: 0xFF},
	color.RGBA{R: 0xCC, G: 0x79, B: 0xA7, A: 0xFF},
	color.RGBA{R: 0x56, G: 0xB4, B: 0xE9, A: 0xFF},
	color.RGBA{R: 0xE6, G: 0x9F, B: 0x00, A: 0xFF},
	color.RGBA{R: 0x40, G: 0x40, B: 0x40, A: 0xFF},
}

// dashes distinguish lines whose colors repeat.
var dashes = [][]vg.Length{nil, {vg.Length(6), vg.Length(3)}, {vg.Length(2), vg.Length(2)}}

// lineStyle returns the style of the n-th line.
func lineStyle(index int) draw.LineStyle {
	return draw.LineStyle{
		Color:  palette[index%len(palette)],
		Width:  lineWidth,
		Dashes: dashes[index/len(palette)%len(dashes)],
	}
}

// line is one named line of a plot; errors, if set, are half widths of intervals.
type line struct {
	name   string
	points plotter.XYs
	errors []float64
	// limit marks a physical limit, drawn in black and dashed.
	limit bool
}

// chart is a plot of lines.
type chart struct {
	xLabel, yLabel string
	xTicks         plot.Ticker
	logarithmicY   bool
	fromZero       bool
	lines          []line
}

// png draws the chart with its legend on the right. It returns nil if there is nothing to
// draw.
func (c chart) png() ([]byte, error) {
	drawing := newPlot(c.xLabel, c.yLabel)
	legend := newLegend()
	drawn := 0
	for index, line := range c.lines {
		points := c.drawablePoints(line.points)
		if len(points) == 0 {
			continue
		}
		drawn++
		shape, err := plotter.NewLine(points)
		if err != nil {
			return nil, eris.Wrapf(err, "plot line %s", line.name)
		}
		shape.LineStyle = lineStyle(index)
		if line.limit {
			shape.LineStyle = draw.LineStyle{Color: color.Black, Width: lineWidth, Dashes: dashes[1]}
		}
		drawing.Add(shape)
		legend.Add(line.name, shape)
		if err := addErrors(drawing, line, shape.Color); err != nil {
			return nil, err
		}
	}
	if drawn == 0 {
		return nil, nil
	}
	c.scale(drawing)
	return render(drawing, &legend, lineHeight)
}

// drawablePoints returns the points that the axes can show: a logarithmic axis only shows
// positive values.
func (c chart) drawablePoints(points plotter.XYs) plotter.XYs {
	var drawable plotter.XYs
	for _, point := range points {
		if !c.logarithmicY || point.Y > 0 {
			drawable = append(drawable, point)
		}
	}
	return drawable
}

func (c chart) scale(drawing *plot.Plot) {
	if c.xTicks != nil {
		drawing.X.Tick.Marker = c.xTicks
	}
	if c.fromZero {
		drawing.Y.Min = min(drawing.Y.Min, 0)
		drawing.Y.Max *= headroom
	}
	if c.logarithmicY {
		drawing.Y.Scale = plot.LogScale{}
		drawing.Y.Tick.Marker = plot.LogTicks{Prec: -1}
		// Limits at powers of ten give the axis at least two labelled ticks.
		drawing.Y.Min = math.Pow(10, math.Floor(math.Log10(drawing.Y.Min)))
		drawing.Y.Max = math.Pow(10, math.Ceil(math.Log10(drawing.Y.Max*1.01)))
	}
	ensureRange(&drawing.X)
	ensureRange(&drawing.Y)
}

// headroom is the factor by which an axis extends beyond the largest value.
const headroom = 1.05

// ensureRange widens an axis whose values are all equal.
func ensureRange(axis *plot.Axis) {
	if axis.Max <= axis.Min {
		axis.Max = axis.Min + 1
	}
}

func addErrors(drawing *plot.Plot, line line, shade color.Color) error {
	if line.errors == nil {
		return nil
	}
	bars, err := plotter.NewYErrorBars(intervals{points: line.points, halves: line.errors})
	if err != nil {
		return eris.Wrapf(err, "plot intervals of %s", line.name)
	}
	bars.Color = shade
	drawing.Add(bars)
	return nil
}

// intervals are points with symmetric intervals, for both axes.
type intervals struct {
	points plotter.XYs
	halves []float64
}

// Len implements plotter.XYer.
func (i intervals) Len() int { return len(i.points) }

// XY implements plotter.XYer.
func (i intervals) XY(index int) (x, y float64) { return i.points[index].X, i.points[index].Y }

// XError implements plotter.XErrorer.
func (i intervals) XError(index int) (low, high float64) { return i.halves[index], i.halves[index] }

// YError implements plotter.YErrorer.
func (i intervals) YError(index int) (low, high float64) { return i.halves[index], i.halves[index] }

// newPlot returns an empty plot with a grid.
func newPlot(xLabel, yLabel string) *plot.Plot {
	drawing := plot.New()
	drawing.X.Label.Text = xLabel
	drawing.Y.Label.Text = yLabel
	drawing.X.Tick.Marker = plainTicks{}
	drawing.Y.Tick.Marker = plainTicks{}
	grid := plotter.NewGrid()
	grid.Horizontal.Color = color.Gray{Y: 0xDD}
	grid.Vertical.Color = color.Gray{Y: 0xDD}
	drawing.Add(grid)
	return drawing
}

// plainTicks labels an axis with few digits.
type plainTicks struct{}

// Ticks implements plot.Ticker.
func (plainTicks) Ticks(low, high float64) []plot.Tick {
	ticks := plot.DefaultTicks{}.Ticks(low, high)
	for index := range ticks {
		if !ticks[index].IsMinor() {
			ticks[index].Label = number(ticks[index].Value)
		}
	}
	return ticks
}

func newLegend() plot.Legend {
	legend := plot.NewLegend()
	legend.Top = true
	legend.Left = true
	legend.Padding = legendGap
	legend.TextStyle.Font.Size = legendFont
	return legend
}

// render draws a plot, with an optional legend on the right.
func render(drawing *plot.Plot, legend *plot.Legend, height vg.Length) ([]byte, error) {
	canvas := vgimg.New(plotWidth, height)
	full := draw.New(canvas)
	area := draw.Crop(full, margin, -margin, 0, -margin)
	if legend != nil {
		area = draw.Crop(full, margin, -legendWidth, 0, -margin)
		legend.Draw(draw.Crop(full, plotWidth-legendWidth+legendPadding, 0, 0, -legendPadding))
	}
	drawing.Draw(area)
	var content bytes.Buffer
	if _, err := (vgimg.PngCanvas{Canvas: canvas}).WriteTo(&content); err != nil {
		return nil, eris.Wrap(err, "encode plot")
	}
	return content.Bytes(), nil
}
