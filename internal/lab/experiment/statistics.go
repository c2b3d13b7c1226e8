package experiment

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Estimate is a mean with its confidence interval.
type Estimate struct {
	Mean float64 `json:"mean"`
	// Half is half the width of the interval, which is Mean-Half to Mean+Half. Known is
	// false for fewer than two values, which have no interval.
	Half  float64 `json:"half_width"`
	Known bool    `json:"interval_known"`
	Count int     `json:"count"`
}

// Low returns the lower end of the interval.
func (e Estimate) Low() float64 { return e.Mean - e.Half }

// High returns the upper end of the interval.
func (e Estimate) High() float64 { return e.Mean + e.Half }

// ExcludesZero reports whether the entire interval is on one side of 0.
func (e Estimate) ExcludesZero() bool { return e.Known && (e.Low() > 0 || e.High() < 0) }

// EstimateMean returns the mean of values and its two-sided confidence interval,
// mean ± t(1-α/2, n-1)·s/√n. Source: NIST/SEMATECH e-Handbook of Statistical
// Methods, section 1.3.5.2, "Confidence Limits for the Mean".
func EstimateMean(values []float64, confidence float64) Estimate {
	if len(values) == 0 {
		return Estimate{}
	}
	if len(values) == 1 {
		return Estimate{Mean: values[0], Count: 1}
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	count := float64(len(values))
	return Estimate{
		Mean:  mean,
		Half:  criticalT(confidence, count-1) * deviation / math.Sqrt(count),
		Known: true,
		Count: len(values),
	}
}

// EstimatePaired returns the mean of second minus first, pair by pair, and its interval.
// The runs of a pair share a seed, so its effect on both cancels out. Both slices must
// have the same length. Source: Law, Simulation Modeling and Analysis, section 10.2.1, "A
// Paired-t Confidence Interval".
func EstimatePaired(first, second []float64, confidence float64) Estimate {
	differences := make([]float64, len(first))
	for index := range first {
		differences[index] = second[index] - first[index]
	}
	return EstimateMean(differences, confidence)
}

// EstimateUnpaired returns the mean of second minus that of first, for runs that share no
// seeds, with Welch's interval for unequal variances. Source:
// NIST/SEMATECH e-Handbook of Statistical Methods, section 1.3.5.3, "Two-Sample
// t-Test for Equal Means".
func EstimateUnpaired(first, second []float64, confidence float64) Estimate {
	if len(first) == 0 || len(second) == 0 {
		return Estimate{}
	}
	difference := Estimate{Mean: stat.Mean(second, nil) - stat.Mean(first, nil), Count: min(len(first), len(second))}
	if difference.Count < 2 {
		return difference
	}
	firstPart := stat.Variance(first, nil) / float64(len(first))
	secondPart := stat.Variance(second, nil) / float64(len(second))
	difference.Known = true
	spread := firstPart + secondPart
	if spread == 0 {
		return difference
	}
	firstShare := firstPart * firstPart / float64(len(first)-1)
	secondShare := secondPart * secondPart / float64(len(second)-1)
	freedom := spread * spread / (firstShare + secondShare)
	difference.Half = criticalT(confidence, freedom) * math.Sqrt(spread)
	return difference
}

// criticalT returns the two-sided critical value of Student's t distribution.
func criticalT(confidence, freedom float64) float64 {
	distribution := distuv.StudentsT{Sigma: 1, Nu: freedom}
	return distribution.Quantile(1 - (1-confidence)/2)
}
