package experiment_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

// shifted returns a fake simulator that adds shift to the idle share, by seed, and sets
// the number of samples.
func shifted(shift map[uint64]float64, samples int) experiment.Simulator {
	return func(options sim.Options) (sim.Outcome, error) {
		outcome, err := fakeSimulate(options)
		for index := range outcome.Trainers {
			outcome.Trainers[index].IdleShare += shift[options.Seed]
			outcome.Trainers[index].Samples = samples
		}
		return outcome, err
	}
}

func TestCompareGivesThreeVerdicts(t *testing.T) {
	cases := []struct {
		name    string
		shift   map[uint64]float64
		samples int
		idle    experiment.Verdict
		rate    experiment.Verdict
	}{
		{"equal", nil, 900, experiment.VerdictWithinNoise, experiment.VerdictWithinNoise},
		{"less idle, more samples", map[uint64]float64{1: -0.05, 2: -0.06, 3: -0.04}, 950, experiment.VerdictBetter, experiment.VerdictBetter},
		{"more idle, fewer samples", map[uint64]float64{1: 0.05, 2: 0.06, 3: 0.04}, 850, experiment.VerdictWorse, experiment.VerdictWorse},
		{"seeds disagree", map[uint64]float64{1: 0.05, 2: -0.06, 3: 0.04}, 900, experiment.VerdictWithinNoise, experiment.VerdictWithinNoise},
	}
	before := runFake(t, validFile, fakeSimulate, 4)
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			after := runFake(t, validFile, shifted(test.shift, test.samples), 4)
			for figure, want := range map[string]experiment.Verdict{
				experiment.FigureIdleShare: test.idle, experiment.FigureSamplesPerHour: test.rate,
			} {
				change := changeOf(t, experiment.Compare(before, after, 0.95), figure)
				if change.Verdict != want || !change.Paired {
					t.Errorf("%s: %+v, want %s from pairs", figure, change, want)
				}
			}
		})
	}
}

func TestCompareWithoutCommonSeeds(t *testing.T) {
	before := runFake(t, validFile, fakeSimulate, 4)
	after := runFake(t, validFile, shifted(map[uint64]float64{1: 0.5, 2: 0.5, 3: 0.5}, 900), 4)
	for point := range after.Points {
		for variant := range after.Points[point].Variants {
			runs := after.Points[point].Variants[variant].Runs
			for run := range runs {
				runs[run].Seed += 100
			}
		}
	}
	change := changeOf(t, experiment.Compare(before, after, 0.95), experiment.FigureIdleShare)
	if change.Paired || change.Verdict != experiment.VerdictWorse {
		t.Errorf("%+v, want worse without pairs", change)
	}
}

func TestNeutralFiguresAreNotCompared(t *testing.T) {
	results := runFake(t, validFile, fakeSimulate, 4)
	variant, _ := results.Base().VariantNamed("loomgrade")
	// The seeds give 101, 102 and 103 tokens per sample.
	if summary, found := variant.SummaryNamed(experiment.FigureTokensPerSample); !found || !near(summary.Mean, 102) {
		t.Errorf("tokens per sample: %+v, want 102", summary)
	}
	for _, change := range experiment.Compare(results, results, 0.95) {
		if change.Figure == experiment.FigureTokensPerSample {
			t.Errorf("compared: %+v", change)
		}
	}
}

func TestOneSeedGivesNoVerdict(t *testing.T) {
	before := runFake(t, validFile, fakeSimulate, 4)
	after := runFake(t, validFile, shifted(map[uint64]float64{1: 0.5, 2: 0.5, 3: 0.5}, 900), 4)
	for _, results := range []*experiment.Results{before, after} {
		for variant := range results.Points[0].Variants {
			results.Points[0].Variants[variant].Runs = results.Points[0].Variants[variant].Runs[:1]
		}
	}
	change := changeOf(t, experiment.Compare(before, after, 0.95), experiment.FigureIdleShare)
	if change.Difference.Known || change.Verdict != experiment.VerdictWithinNoise {
		t.Errorf("%+v, want no verdict from one seed", change)
	}
}

// changeOf returns the change of a figure of loomgrade at the base point.
func changeOf(t *testing.T, changes []experiment.Change, figure string) experiment.Change {
	t.Helper()
	for _, change := range changes {
		if change.Variant == "loomgrade" && change.Point == "as given" && change.Figure == figure {
			return change
		}
	}
	t.Fatalf("no change of %s", figure)
	return experiment.Change{}
}
