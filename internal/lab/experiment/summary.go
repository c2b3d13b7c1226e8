package experiment

import (
	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat"
)

// summarizePoint sets the summaries, merged distributions and bars of a point.
func (s *Settings) summarizePoint(point *Point, pointIndex int, jobs []job) error {
	for index := range point.Variants {
		variant := &point.Variants[index]
		variant.Summary = summarize(variant.Runs, s.Confidence)
		merged, err := mergedDistributions(jobs, pointIndex, index)
		if err != nil {
			return eris.Wrapf(err, "variant %s, %s", variant.Name, point.Name())
		}
		variant.Distributions = merged
	}
	if reference, found := point.VariantNamed(s.Reference); found {
		for index := range point.Variants {
			addDifferences(&point.Variants[index], reference, s.Confidence)
		}
	}
	for _, bar := range s.Bars {
		if result, ok := s.evaluateBar(bar, *point); ok {
			point.Bars = append(point.Bars, result)
		}
	}
	return nil
}

// summarize returns the summary of each figure that all runs have, in the first run's
// order.
func summarize(runs []RunResult, confidence float64) []Summary {
	if len(runs) == 0 {
		return nil
	}
	var summaries []Summary
	for _, figure := range runs[0].Figures {
		values, limits := valuesOf(runs, figure.Name)
		if len(values) < len(runs) {
			continue
		}
		summary := Summary{
			Name:     figure.Name,
			Unit:     figure.Unit,
			Better:   figure.Better,
			Estimate: EstimateMean(values, confidence),
		}
		summary.addLimit(limits, len(runs))
		summaries = append(summaries, summary)
	}
	return summaries
}

// addLimit sets the limit and ratio if every run has a limit.
func (s *Summary) addLimit(limits []float64, runs int) {
	if len(limits) < runs {
		return
	}
	limit := stat.Mean(limits, nil)
	s.Limit = &limit
	if limit > 0 {
		ratio := s.Mean / limit
		s.Ratio = &ratio
	}
}

// valuesOf returns a figure's values and limits, in the order of runs.
func valuesOf(runs []RunResult, name string) (values, limits []float64) {
	for _, run := range runs {
		figure, found := figureNamed(run.Figures, name)
		if !found {
			continue
		}
		values = append(values, figure.Value)
		if figure.Limit != nil {
			limits = append(limits, *figure.Limit)
		}
	}
	return values, limits
}

// pairedValues returns a figure's values from runs that share a seed, in the order of the
// first runs.
func pairedValues(first, second []RunResult, name string) (firstValues, secondValues []float64) {
	for _, run := range first {
		for _, other := range second {
			if other.Seed != run.Seed {
				continue
			}
			figure, found := figureNamed(run.Figures, name)
			otherFigure, otherFound := figureNamed(other.Figures, name)
			if found && otherFound {
				firstValues = append(firstValues, figure.Value)
				secondValues = append(secondValues, otherFigure.Value)
			}
		}
	}
	return firstValues, secondValues
}

func addDifferences(variant *VariantResult, reference VariantResult, confidence float64) {
	if variant.Name == reference.Name {
		return
	}
	for index := range variant.Summary {
		summary := &variant.Summary[index]
		referenceValues, values := pairedValues(reference.Runs, variant.Runs, summary.Name)
		if len(values) == 0 {
			continue
		}
		difference := EstimatePaired(referenceValues, values, confidence)
		summary.Difference = &difference
	}
}

// mergedDistributions merges the histograms of all seeds of one variant.
func mergedDistributions(jobs []job, point, variant int) ([]NamedDistribution, error) {
	var collected []namedHistogram
	for _, job := range jobs {
		if job.point != point || job.variant != variant {
			continue
		}
		collected = appendHistograms(collected, histogramsOf(job.outcome))
	}
	return distributionsOf(collected, mergedShares)
}

// appendHistograms appends a run's histograms to those of the same names.
func appendHistograms(collected, run []namedHistogram) []namedHistogram {
	for _, named := range run {
		found := false
		for index := range collected {
			if collected[index].name == named.name {
				collected[index].histograms = append(collected[index].histograms, named.histograms...)
				found = true
			}
		}
		if !found {
			collected = append(collected, named)
		}
	}
	return collected
}
