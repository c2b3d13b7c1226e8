package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// ResultsFile is the name of the results inside an output folder.
const ResultsFile = "results.json"

// resultsFormat numbers the layout of Results.
const resultsFormat = 1

// Results are everything that an experiment gave. They hold no wall clock: equal
// settings and an equal build give equal bytes.
type Results struct {
	Format int `json:"format"`
	// Version is that of the program.
	Version  string   `json:"version"`
	Settings Settings `json:"settings"`
	// Given holds the value that each sweep's setting has without the sweep.
	Given []string `json:"given,omitempty"`
	// Points holds the settings as given first, then those of the sweeps.
	Points []Point `json:"points"`
}

// Point is one setting of the site, under which variants ran.
type Point struct {
	// Setting and Value are the swept override; empty for the settings as given.
	Setting  string          `json:"setting,omitempty"`
	Value    string          `json:"value,omitempty"`
	Variants []VariantResult `json:"variants"`
	Bars     []BarResult     `json:"bars,omitempty"`
}

// Name tells the point apart from the others.
func (p Point) Name() string {
	if p.Setting == "" {
		return "as given"
	}
	return p.Setting + " = " + p.Value
}

// VariantResult is what one variant gave over all seeds.
type VariantResult struct {
	Name string `json:"name"`
	// Summary has one entry for each figure that every run has.
	Summary []Summary `json:"summary"`
	// Distributions are merged over all seeds.
	Distributions []NamedDistribution `json:"distributions,omitempty"`
	Runs          []RunResult         `json:"runs"`
}

// Summary is a figure over all seeds of a variant.
type Summary struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Better Direction `json:"better"`
	Estimate
	// Limit is the mean of the runs' limits, Ratio the mean of the figure over
	// it; nil where there is no limit, or none over 0.
	Limit *float64 `json:"limit,omitempty"`
	Ratio *float64 `json:"ratio_to_limit,omitempty"`
	// Difference is this variant less the reference, paired by seed; nil for the
	// reference itself.
	Difference *Estimate `json:"difference_to_reference,omitempty"`
}

// RunResult is one run of one variant.
type RunResult struct {
	Seed          uint64              `json:"seed"`
	Figures       []Figure            `json:"figures"`
	Distributions []NamedDistribution `json:"distributions,omitempty"`
	Violations    []string            `json:"violations,omitempty"`
	// Series is the course of the first seed's run; other seeds leave it out.
	Series []SeriesPoint `json:"series,omitempty"`
}

// SeriesPoint is the state of the site at one time.
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

// The names of distributions. That of a class of callers ends in a slash and its
// name.
const (
	DistributionStaleness    = "staleness"
	DistributionStaleSeconds = "stale_seconds"
	DistributionLongSamples  = "long_samples"
	DistributionLatency      = "latency"
)

// distributionNamed finds a distribution by name, or gives an empty one.
func distributionNamed(distributions []NamedDistribution, name string) Distribution {
	for _, distribution := range distributions {
		if distribution.Name == name {
			return distribution.Distribution
		}
	}
	return Distribution{}
}

// SummaryNamed finds a figure's summary by name.
func (v VariantResult) SummaryNamed(name string) (Summary, bool) {
	for _, summary := range v.Summary {
		if summary.Name == name {
			return summary, true
		}
	}
	return Summary{}, false
}

// DistributionNamed finds a merged distribution by name, or gives an empty one.
func (v VariantResult) DistributionNamed(name string) Distribution {
	return distributionNamed(v.Distributions, name)
}

// VariantNamed finds a variant's result by name.
func (p Point) VariantNamed(name string) (VariantResult, bool) {
	for _, variant := range p.Variants {
		if variant.Name == name {
			return variant, true
		}
	}
	return VariantResult{}, false
}

// Base is the point with the settings as given.
func (r *Results) Base() Point { return r.Points[0] }

// Violations counts what the audits of all runs found.
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

// Encode gives the bytes of the results file.
func (r *Results) Encode() ([]byte, error) {
	content, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return nil, eris.Wrap(err, "encode results")
	}
	return append(content, '\n'), nil
}

// ReadResults reads a results file, or that of an output folder.
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
