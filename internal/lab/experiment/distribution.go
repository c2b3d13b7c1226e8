package experiment

import (
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

// Distribution summarizes a histogram.
type Distribution struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	// Quantiles are in ascending order.
	Quantiles []Quantile `json:"quantiles,omitempty"`
	// Counts lists the count of each value, for distributions of small integers.
	Counts []ValueCount `json:"counts,omitempty"`
}

// ValueCount is the number of times that a value was recorded.
type ValueCount struct {
	Value int64 `json:"value"`
	Count int64 `json:"count"`
}

// Quantile is the value that a share of all values doesn't exceed.
type Quantile struct {
	Share float64 `json:"share"`
	Value float64 `json:"value"`
}

// mergedShares are the quantiles stored for merged histograms: hundredths for the plots,
// and the upper tail. runShares are those stored for one run.
var (
	mergedShares = append(evenShares(100), 0.995, 0.999, 0.9999, 1)
	runShares    = append(evenShares(10), 0.95, 0.99, 0.999, 1)
)

// evenShares returns 0 and the multiples of 1/parts below 1.
func evenShares(parts int) []float64 {
	shares := make([]float64, 0, parts)
	for part := range parts {
		shares = append(shares, float64(part)/float64(parts))
	}
	return shares
}

// At returns the lowest stored quantile of at least a share; false if there is none.
func (d Distribution) At(share float64) (float64, bool) {
	for _, quantile := range d.Quantiles {
		if quantile.Share >= share {
			return quantile.Value, true
		}
	}
	return 0, false
}

// distributionOf summarizes a histogram, which may be nil, with its values divided.
func distributionOf(histogram *hdrhistogram.Histogram, divisor float64, shares []float64) Distribution {
	if histogram == nil || histogram.TotalCount() == 0 {
		return Distribution{}
	}
	const percent = 100
	distribution := Distribution{Count: histogram.TotalCount(), Mean: histogram.Mean() / divisor}
	for _, share := range shares {
		value := float64(histogram.ValueAtPercentile(share*percent)) / divisor
		distribution.Quantiles = append(distribution.Quantiles, Quantile{Share: share, Value: value})
	}
	return distribution
}

// countsOf returns the values of a histogram with their counts. It is only exact for small
// integers.
func countsOf(histogram *hdrhistogram.Histogram) []ValueCount {
	var counts []ValueCount
	for _, bar := range histogram.Distribution() {
		if bar.Count > 0 {
			counts = append(counts, ValueCount{Value: bar.To, Count: bar.Count})
		}
	}
	return counts
}

// mergeHistograms merges histograms, ignoring nil ones. The result is nil if there are
// none.
func mergeHistograms(histograms []*hdrhistogram.Histogram) (*hdrhistogram.Histogram, error) {
	var merged *hdrhistogram.Histogram
	for _, histogram := range histograms {
		if histogram == nil {
			continue
		}
		if merged == nil {
			merged = histogram.Clone()
			continue
		}
		if dropped := merged.Merge(histogram); dropped > 0 {
			return nil, eris.Errorf("merge histograms: %d values are beyond the first one's range", dropped)
		}
	}
	return merged, nil
}

// distributionsOf merges the histograms of each name and summarizes them with the given
// quantiles.
func distributionsOf(list []namedHistogram, shares []float64) ([]NamedDistribution, error) {
	var distributions []NamedDistribution
	for _, named := range list {
		merged, err := mergeHistograms(named.histograms)
		if err != nil {
			return nil, eris.Wrap(err, named.name)
		}
		distribution := distributionOf(merged, named.divisor, shares)
		if named.unit == unitVersions && distribution.Count > 0 {
			distribution.Counts = countsOf(merged)
		}
		distributions = append(distributions, NamedDistribution{Name: named.name, Unit: named.unit, Distribution: distribution})
	}
	return distributions, nil
}
