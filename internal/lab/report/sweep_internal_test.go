package report

import (
	"slices"
	"testing"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
)

func TestSweptValuesAreOrderedBySize(t *testing.T) {
	cases := []struct {
		name, configured string
		values           []string
		want             []string
	}{
		{"durations", "12ms", []string{"1s", "600us"}, []string{"600us", "12ms (as given)", "1s"}},
		{"numbers", "9", []string{"30", "3"}, []string{"3", "9 (as given)", "30"}},
		{"configured value in the sweep", "9", []string{"9", "3"}, []string{"3", "9 (as given)"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			results := &experiment.Results{
				Settings:      experiment.Settings{Sweeps: []experiment.Sweep{{Values: test.values}}},
				SweptDefaults: []string{test.configured},
				Points:        []experiment.Point{{}},
			}
			var labels []string
			for _, point := range sweptPoints(results, 0) {
				labels = append(labels, point.label)
			}
			if !slices.Equal(labels, test.want) {
				t.Errorf("order %v, want %v", labels, test.want)
			}
		})
	}
}
