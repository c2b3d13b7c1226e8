package experiment_test

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

func TestResultsAreDeterministic(t *testing.T) {
	var first []byte
	for _, parallel := range []int{1, 8, 3} {
		content, err := runFake(t, validFile, fakeSimulate, parallel).Encode()
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = content
		}
		if !bytes.Equal(first, content) {
			t.Errorf("results with %d concurrent runs differ", parallel)
		}
	}
}

func TestResultsRoundTrip(t *testing.T) {
	content, err := runFake(t, validFile, fakeSimulate, 4).Encode()
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, experiment.ResultsFile), content, 0o600); err != nil {
		t.Fatal(err)
	}
	read, err := experiment.ReadResults(folder)
	if err != nil {
		t.Fatal(err)
	}
	again, err := read.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(content, again) {
		t.Error("decoded results differ")
	}
}

func TestRunsGetTheirSettings(t *testing.T) {
	var mutex sync.Mutex
	steps := map[string]map[time.Duration]int{}
	recordOptions := func(options sim.Options) (sim.Outcome, error) {
		mutex.Lock()
		defer mutex.Unlock()
		name := options.Variant.Name
		if steps[name] == nil {
			steps[name] = map[time.Duration]int{}
		}
		steps[name][options.Site.Engine.StepBase]++
		if options.Site.Engines != 4 || options.Warmup != 2*time.Minute || options.Site.Trainers[0].Lengths.Max != 800 {
			t.Errorf("%s: engines %d, warm-up %v, lengths %+v", name, options.Site.Engines, options.Warmup, options.Site.Trainers[0].Lengths)
		}
		if (name == "without-staging") != (len(options.Variant.Without) == 1) {
			t.Errorf("%s runs without %v", name, options.Variant.Without)
		}
		return fakeSimulate(options)
	}
	runFake(t, validFile, recordOptions, 4)
	for name, want := range map[string]map[time.Duration]int{
		"round-robin": {10 * time.Millisecond: 3},
		"loomgrade":   {10 * time.Millisecond: 3, 5 * time.Millisecond: 2, 20 * time.Millisecond: 2},
	} {
		for step, count := range want {
			if steps[name][step] != count || len(steps[name]) != len(want) {
				t.Errorf("%s: runs by step time %v, want %v", name, steps[name], want)
			}
		}
	}
}

func TestSummaryHasLimitAndReference(t *testing.T) {
	base := runFake(t, validFile, fakeSimulate, 4).Base()
	variant, _ := base.VariantNamed("round-robin")
	summary, found := variant.SummaryNamed(experiment.FigureIdleShare)
	if !found || summary.Limit == nil || summary.Ratio == nil || summary.Difference == nil {
		t.Fatalf("incomplete summary %+v", summary)
	}
	if !near(*summary.Ratio, summary.Mean/0.1) {
		t.Errorf("ratio %v of mean %v to limit 0.1", *summary.Ratio, summary.Mean)
	}
	// The noise depends only on the seed, so the pairs differ by exactly 0.2.
	if !near(summary.Difference.Mean, 0.2) || summary.Difference.Half > 1e-9 {
		t.Errorf("difference %+v, want 0.2 without noise", *summary.Difference)
	}
}

func TestMergedDistributionsCountAllSeedsAndTrainers(t *testing.T) {
	results := runFake(t, validFile, fakeSimulate, 4)
	variant, _ := results.Base().VariantNamed("loomgrade")
	if got := variant.DistributionNamed(experiment.DistributionStaleness).Count; got != 3*3*100 {
		t.Errorf("%d values, want the values of 3 seeds and 3 trainers", got)
	}
	swept, _ := results.Points[1].VariantNamed("loomgrade")
	if got := swept.DistributionNamed(experiment.DistributionStaleness).Count; got != 2*3*100 {
		t.Errorf("%d values in a sweep, want the values of 2 seeds and 3 trainers", got)
	}
	counted := int64(0)
	for _, count := range variant.DistributionNamed(experiment.DistributionStaleness).Counts {
		counted += count.Count
	}
	if counted != 3*3*100 {
		t.Errorf("counts add up to %d", counted)
	}
	if got := variant.DistributionNamed(experiment.DistributionLatency + "/pilot").Count; got != 3*100 {
		t.Errorf("%d values, want the values of 3 seeds", got)
	}
}

func TestBars(t *testing.T) {
	with := func(idle, limit float64, samples int) experiment.Simulator {
		return func(options sim.Options) (sim.Outcome, error) {
			outcome, err := fakeSimulate(options)
			outcome.Limits.IdleShare = limit
			for index := range outcome.Trainers {
				outcome.Trainers[index].IdleShare = 0.4
				if options.Variant.Name == "loomgrade" {
					outcome.Trainers[index].IdleShare = idle
					outcome.Trainers[index].Samples = samples
				}
			}
			return outcome, err
		}
	}
	againstLimit := strings.Replace(validFile, "against: best_baseline\n    at_most: 0.7", "against: limit\n    at_most: 1.25", 1)
	cases := []struct {
		name     string
		content  string
		simulate experiment.Simulator
		want     []bool
	}{
		{"met", validFile, with(0.28, 0.1, 900), []bool{true, true}},
		{"slightly missed", validFile, with(0.281, 0.1, 900), []bool{false, true}},
		{"throughput too low", validFile, with(0.2, 0.1, 881), []bool{true, false}},
		{"close to the limit", againstLimit, with(0.25, 0.2, 900), []bool{true, true}},
		{"far from the limit", againstLimit, with(0.26, 0.2, 900), []bool{false, true}},
		{"limit of 0", againstLimit, with(0.001, 0, 900), []bool{false, true}},
		{"0 against a limit of 0", againstLimit, with(0, 0, 900), []bool{true, true}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			bars := runFake(t, test.content, test.simulate, 4).Base().Bars
			if len(bars) != len(test.want) {
				t.Fatalf("%d bars evaluated, want %d", len(bars), len(test.want))
			}
			for index, want := range test.want {
				if bars[index].Met != want {
					t.Errorf("bar %+v, want met %v", bars[index], want)
				}
			}
		})
	}
}

func TestBestBaselineIsTheLowest(t *testing.T) {
	bar := runFake(t, validFile, fakeSimulate, 4).Base().Bars[0]
	if bar.Opponent != "round-robin" || bar.Ratio == nil || !near(*bar.Ratio, bar.Measured/bar.Compared) {
		t.Errorf("bar %+v, want a ratio to round-robin", bar)
	}
}

func TestFailedRunsFailTheExperiment(t *testing.T) {
	failure := errors.New("simulated failure")
	simulate := func(options sim.Options) (sim.Outcome, error) {
		if options.Variant.Name == "random" && options.Seed == 2 {
			return sim.Outcome{}, failure
		}
		return fakeSimulate(options)
	}
	plan := experiment.Plan{Settings: parse(t, validFile), Simulate: simulate, Parallel: 2}
	_, err := experiment.Run(context.Background(), plan)
	if !errors.Is(err, failure) || !strings.Contains(err.Error(), "random, seed 2") {
		t.Errorf("error %v, want one with the variant and seed", err)
	}
}

func TestResultsContainNoNaN(t *testing.T) {
	empty := func(options sim.Options) (sim.Outcome, error) {
		return sim.Outcome{Trainers: []sim.TrainerOutcome{{Pool: "bulletins"}}}, nil
	}
	results := runFake(t, validFile, empty, 2)
	if _, err := results.Encode(); err != nil {
		t.Errorf("results of an empty run: %v", err)
	}
	for _, variant := range results.Base().Variants {
		for _, summary := range variant.Summary {
			if math.IsNaN(summary.Mean) || math.IsInf(summary.Mean, 0) {
				t.Errorf("%s: %v", summary.Name, summary.Mean)
			}
		}
	}
}
