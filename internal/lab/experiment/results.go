package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// ResultsFile is the name of the results file in an output folder.
const ResultsFile = "results.json"

// resultsFormat is the version of the layout of Results.
const resultsFormat = 1

// Results holds the results of an experiment. They contain no wall clock time: equal
// settings and an equal build give identical bytes.
type Results struct {
	Format int `json:"format"`
	// Version is the version of the program.
	Version  string   `json:"version"`
	Settings Settings `json:"settings"`
	// SweptDefaults lists, for each sweep, the value of its setting without the sweep.
	SweptDefaults []string `json:"given,omitempty"`
	// Points lists the point without swept values first, then those of the sweeps.
	Points []Point `json:"points"`
}

// Point holds the results for one value of a swept setting.
type Point struct {
	// Setting and Value are the swept override, empty for the point without one.
	Setting  string            `json:"setting,omitempty"`
	Value    string            `json:"value,omitempty"`
	Variants []VariantResult   `json:"variants"`
	Bars     []ThresholdResult `json:"bars,omitempty"`
}

// Name returns the name of the point, unique within the results.
func (p Point) Name() string {
	if p.Setting == "" {
		return "as given"
	}
	return p.Setting + " = " + p.Value
}

// VariantResult holds the results of one variant over all seeds.
type VariantResult struct {
	Name string `json:"name"`
	// Summary has one entry for each figure that all runs have.
	Summary []Summary `json:"summary"`
	// Distributions are merged over all seeds.
	Distributions []NamedDistribution `json:"distributions,omitempty"`
	Runs          []RunResult         `json:"runs"`
}

// Summary summarizes a figure over all seeds of a variant.
type Summary struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Better Direction `json:"better"`
	Estimate
	// Limit is the mean of the runs' limits, Ratio the mean of the figure divided by
	// it. Both are nil without a limit; Ratio is also nil if the limit is 0.
	Limit *float64 `json:"limit,omitempty"`
	Ratio *float64 `json:"ratio_to_limit,omitempty"`
	// Difference is this variant minus the reference, paired by seed; nil for the
	// reference itself.
	Difference *Estimate `json:"difference_to_reference,omitempty"`
}

// RunResult holds the results of one run.
type RunResult struct {
	Seed          uint64              `json:"seed"`
	Figures       []Figure            `json:"figures"`
	Distributions []NamedDistribution `json:"distributions,omitempty"`
	Violations    []string            `json:"violations,omitempty"`
	// Series is the time series of the run with the first seed; other runs have none.
	Series []SeriesPoint `json:"series,omitempty"`
}

// SeriesPoint is the state of the site at a point in time.
type SeriesPoint struct {
	Seconds     float64 `json:"seconds"`
	Waiting     int     `json:"waiting"`
	InFlight    int     `json:"in_flight"`
	MemoryShare float64 `json:"memory_share"`
	Version     uint64  `json:"version"`
}

// NamedDistribution is a distribution with its name and unit.
type NamedDistribution struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	Distribution
}

// Names of distributions. The name of a caller class's distribution ends in a slash and
// the class.
const (
	DistributionStaleness    = "staleness"
	DistributionStaleSeconds = "stale_seconds"
	DistributionLongSamples  = "long_samples"
	DistributionLatency      = "latency"
)

// distributionNamed returns the distribution with a name, or an empty one.
func distributionNamed(distributions []NamedDistribution, name string) Distribution {
	for _, distribution := range distributions {
		if distribution.Name == name {
			return distribution.Distribution
		}
	}
	return Distribution{}
}

// SummaryNamed returns the summary of the figure with a name.
func (v VariantResult) SummaryNamed(name string) (Summary, bool) {
	for _, summary := range v.Summary {
		if summary.Name == name {
			return summary, true
		}
	}
	return Summary{}, false
}

// DistributionNamed returns the merged distribution with a name, or an empty one.
func (v VariantResult) DistributionNamed(name string) Distribution {
	return distributionNamed(v.Distributions, name)
}

// VariantNamed returns the result of the variant with a name.
func (p Point) VariantNamed(name string) (VariantResult, bool) {
	for _, variant := range p.Variants {
		if variant.Name == name {
			return variant, true
		}
	}
	return VariantResult{}, false
}

// Base returns the point without swept values.
func (r *Results) Base() Point { return r.Points[0] }

// Violations returns the number of violations in all runs.
func (r *Results) Violations() int {
	count := 0
	for _, point := range r.Points {
		for _, variant := range point.Variants {
			for _, run := range variant.Runs {
				count += len(run.Violations)
			}
		}
	}
	return count
}

// Encode returns the content of the results file.
func (r *Results) Encode() ([]byte, error) {
	content, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return nil, eris.Wrap(err, "encode results")
	}
	return append(content, '\n'), nil
}

// ReadResults reads a results file, or the one in an output folder.
func ReadResults(path string) (*Results, error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		path = filepath.Join(path, ResultsFile)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "results %s", path)
	}
	var results Results
	if err := json.Unmarshal(content, &results); err != nil {
		return nil, eris.Wrapf(err, "results %s", path)
	}
	if results.Format != resultsFormat || len(results.Points) == 0 {
		return nil, eris.Errorf("results %s: format = %d with %d points, allowed: format %d with at least one point",
			path, results.Format, len(results.Points), resultsFormat)
	}
	return &results, nil
}

func seriesOf(points []sim.Point) []SeriesPoint {
	series := make([]SeriesPoint, 0, len(points))
	for _, point := range points {
		series = append(series, SeriesPoint{
			Seconds:     point.At.Seconds(),
			Waiting:     point.Waiting,
			InFlight:    point.InFlight,
			MemoryShare: point.MemoryShare,
			Version:     uint64(point.Version),
		})
	}
	return series
}
