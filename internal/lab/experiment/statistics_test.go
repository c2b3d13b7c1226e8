package experiment_test

import (
	"math"
	"testing"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
)

// The critical values are from printed tables of Student's t: 4.303 for 2
// degrees of freedom and 2.776 for 4, two-sided 95%; 4.604 for 4, 99%.
func TestMeanAgainstKnownIntervals(t *testing.T) {
	cases := []struct {
		name       string
		values     []float64
		confidence float64
		mean, half float64
		known      bool
	}{
		{"none", nil, 0.95, 0, 0, false},
		{"one value", []float64{7}, 0.95, 7, 0, false},
		{"three values", []float64{1, 2, 3}, 0.95, 2, 4.303 / math.Sqrt(3), true},
		{"five values", []float64{2, 4, 6, 8, 10}, 0.95, 6, 2.776 * math.Sqrt(10) / math.Sqrt(5), true},
		{"five values at 99%", []float64{2, 4, 6, 8, 10}, 0.99, 6, 4.604 * math.Sqrt(10) / math.Sqrt(5), true},
		{"equal values", []float64{3, 3, 3}, 0.95, 3, 0, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := experiment.EstimateMean(test.values, test.confidence)
			if got.Known != test.known || !near(got.Mean, test.mean) || !near(got.Half, test.half) {
				t.Errorf("got %+v, want mean %v, half %v, known %v", got, test.mean, test.half, test.known)
			}
		})
	}
}

func TestPairingCancelsSeedEffects(t *testing.T) {
	first := []float64{10, 20, 30, 40, 50}
	second := []float64{11, 21.5, 31, 41.5, 51}
	paired := experiment.EstimatePaired(first, second, 0.95)
	// Differences 1, 1.5, 1, 1.5, 1: mean 1.2, deviation √0.075.
	if !near(paired.Mean, 1.2) || !near(paired.Half, 2.776*math.Sqrt(0.075/5)) || !paired.ExcludesZero() {
		t.Errorf("paired: %+v", paired)
	}
	if unpaired := experiment.EstimateUnpaired(first, second, 0.95); unpaired.ExcludesZero() {
		t.Errorf("the unpaired interval excludes 0: %+v", unpaired)
	}
}

func TestUnpairedAgainstKnownInterval(t *testing.T) {
	// Variances 1 and 4 of three values each: 2.94 degrees of freedom by Welch's
	// formula, for which Student's t is 3.216 (between 4.303 for 2 and 3.182 for 3).
	got := experiment.EstimateUnpaired([]float64{1, 2, 3}, []float64{8, 10, 12}, 0.95)
	if !near(got.Mean, 8) || math.Abs(got.Half-3.216*math.Sqrt(5.0/3)) > 0.05 {
		t.Errorf("got %+v", got)
	}
}

// near reports whether two values agree to the precision of printed tables.
func near(got, want float64) bool { return math.Abs(got-want) <= 1e-3*max(1, math.Abs(want)) }
