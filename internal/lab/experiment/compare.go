package experiment

import "math"

// Verdict is the classification of a difference.
type Verdict string

// Values of Verdict.
const (
	VerdictBetter      Verdict = "better"
	VerdictWorse       Verdict = "worse"
	VerdictWithinNoise Verdict = "within noise"
)

// Change is the difference of one figure of one variant between two results.
type Change struct {
	Point, Variant, Figure, Unit string
	// Before and After are the means of the first and second results.
	Before, After float64
	// Difference is After minus Before with its interval.
	Difference Estimate
	// Paired reports whether the interval was computed from runs with equal seeds.
	Paired  bool
	Verdict Verdict
}

// Compare compares all figures that two results share, by point and variant, except those
// with NeitherIsBetter. It uses paired differences if the results share at least two
// seeds, and Welch's interval otherwise. A figure is better or worse only if the entire
// interval is on one side of 0.
func Compare(before, after *Results, confidence float64) []Change {
	var changes []Change
	for _, point := range before.Points {
		other, found := matchingPoint(after, point)
		if !found {
			continue
		}
		for _, variant := range point.Variants {
			otherVariant, found := other.VariantNamed(variant.Name)
			if !found {
				continue
			}
			for _, summary := range variant.Summary {
				if summary.Better == NeitherIsBetter {
					continue
				}
				change, compared := compareFigure(summary, variant, otherVariant, confidence)
				change.Point = point.Name()
				if compared {
					changes = append(changes, change)
				}
			}
		}
	}
	return changes
}

func matchingPoint(results *Results, target Point) (Point, bool) {
	for _, point := range results.Points {
		if point.Setting == target.Setting && point.Value == target.Value {
			return point, true
		}
	}
	return Point{}, false
}

func compareFigure(summary Summary, before, after VariantResult, confidence float64) (Change, bool) {
	other, found := after.SummaryNamed(summary.Name)
	if !found {
		return Change{}, false
	}
	change := Change{
		Variant: before.Name,
		Figure:  summary.Name,
		Unit:    summary.Unit,
		Before:  summary.Mean,
		After:   other.Mean,
	}
	first, second := pairedValues(before.Runs, after.Runs, summary.Name)
	if len(first) >= 2 {
		change.Paired = true
		change.Difference = EstimatePaired(first, second, confidence)
	} else {
		first, _ = valuesOf(before.Runs, summary.Name)
		second, _ = valuesOf(after.Runs, summary.Name)
		change.Difference = EstimateUnpaired(first, second, confidence)
	}
	change.Verdict = Classify(change.Difference, summary.Better)
	return change, true
}

// Classify classifies a difference. It is within noise unless its interval excludes 0.
func Classify(difference Estimate, better Direction) Verdict {
	if !difference.ExcludesZero() || math.IsNaN(difference.Mean) {
		return VerdictWithinNoise
	}
	if (difference.Mean < 0) == (better == LowerIsBetter) {
		return VerdictBetter
	}
	return VerdictWorse
}
