package fleet

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
)

// Slope is a straight line through a figure at several sizes of the fleet, by
// least squares.
type Slope struct {
	Figure string `json:"figure"`
	Unit   string `json:"unit"`
	// Values are the figure at each size.
	Values []float64 `json:"values"`
	// Base and PerNode are the line: Base + PerNode*nodes.
	Base    float64 `json:"base"`
	PerNode float64 `json:"per_node"`
	// Residuals are what the line misses at each size.
	Residuals []float64 `json:"residuals"`
	// Linear says that no residual is over a tenth of the largest value.
	Linear bool `json:"linear"`
}

// nonLinearShare is the residual, as a share of the largest value, over which a
// figure is not called linear.
const nonLinearShare = 0.1

// figure is a reading of a result.
type figure struct {
	name string
	unit string
	read func(*Result) float64
}

func figures() []figure {
	return []figure{
		{"node messages, mean", "1/s", func(r *Result) float64 { return r.Node.Messages.Mean }},
		{"node bytes both ways, mean", "B/s", func(r *Result) float64 { return r.Node.Bytes.Mean }},
		{"node bytes both ways, max", "B/s", func(r *Result) float64 { return r.Node.Bytes.Max }},
		{"node bytes out, max", "B/s", func(r *Result) float64 { return r.Node.BytesOut.Max }},
		{"node CPU, mean", "% of a core", func(r *Result) float64 { return 100 * r.Node.CPU.Mean }},
		{"node CPU, max", "% of a core", func(r *Result) float64 { return 100 * r.Node.CPU.Max }},
		{"tick with a rebuild", "us", func(r *Result) float64 { return float64(r.Rebuild.Each.Nanoseconds()) / 1000 }},
		{"node heap", "MB", func(r *Result) float64 { return r.Memory.Node / 1e6 }},
		{"coordinator bytes both ways, mean", "B/s", func(r *Result) float64 { return r.Holder.Bytes.Mean }},
		{"coordinator CPU, mean", "% of a core", func(r *Result) float64 { return 100 * r.Holder.CPU.Mean }},
		{"coordinator heap", "MB", func(r *Result) float64 { return r.Memory.Coordinator / 1e6 }},
		{"leader messages", "1/s", func(r *Result) float64 { return r.Leader.Messages.Mean }},
		{"leader bytes both ways", "B/s", func(r *Result) float64 { return r.Leader.Bytes.Mean }},
		{"leader CPU", "% of a core", func(r *Result) float64 { return 100 * r.Leader.CPU.Mean }},
		{"follower bytes both ways, mean", "B/s", func(r *Result) float64 { return r.Follower.Bytes.Mean }},
		{"follower CPU, mean", "% of a core", func(r *Result) float64 { return 100 * r.Follower.CPU.Mean }},
		{"member heap", "MB", func(r *Result) float64 { return r.Memory.Member / 1e6 }},
		{"log", "B/s", func(r *Result) float64 { return r.Log.BytesPerSecond }},
		{"log syncs", "1/s", func(r *Result) float64 { return r.Log.SyncsPerSecond }},
		{"accept to in force, p99", "ms", func(r *Result) float64 { return r.InForce.P99.Seconds() * 1000 }},
		{"accept to in force, max", "ms", func(r *Result) float64 { return r.InForce.Max.Seconds() * 1000 }},
	}
}

// Slopes fits every figure of runs at several sizes.
func Slopes(results []*Result) []Slope {
	var slopes []Slope
	sizes := make([]float64, 0, len(results))
	for _, result := range results {
		sizes = append(sizes, float64(result.Options.Nodes))
	}
	for _, figure := range figures() {
		values := make([]float64, 0, len(results))
		for _, result := range results {
			values = append(values, figure.read(result))
		}
		slopes = append(slopes, fit(figure, sizes, values))
	}
	return slopes
}

// fit lays the line of least squares through the values.
func fit(figure figure, sizes, values []float64) Slope {
	slope := Slope{Figure: figure.name, Unit: figure.unit, Values: values, Linear: true}
	slope.Base, slope.PerNode = stat.LinearRegression(sizes, values, nil, false)
	largest := 0.0
	for _, value := range values {
		largest = max(largest, math.Abs(value))
	}
	for index, value := range values {
		residual := value - slope.Base - slope.PerNode*sizes[index]
		slope.Residuals = append(slope.Residuals, residual)
		slope.Linear = slope.Linear && math.Abs(residual) <= nonLinearShare*largest
	}
	return slope
}

// WriteSlopes prints slopes for people.
func WriteSlopes(out io.Writer, results []*Result, slopes []Slope) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "figure\tunit")
	for _, result := range results {
		fmt.Fprintf(w, "\tat %d", result.Options.Nodes)
	}
	fmt.Fprint(w, "\tbase\tper node\tresiduals\tlinear\n")
	for _, slope := range slopes {
		fmt.Fprintf(w, "%s\t%s", slope.Figure, slope.Unit)
		for _, value := range slope.Values {
			fmt.Fprintf(w, "\t%.4g", value)
		}
		fmt.Fprintf(w, "\t%.4g\t%.4g\t%.3g\t%v\n", slope.Base, slope.PerNode, slope.Residuals, slope.Linear)
	}
	return w.Flush()
}
