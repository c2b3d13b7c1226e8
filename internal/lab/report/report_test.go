package report_test

import (
	"bytes"
	"context"
	"image/png"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
	"github.com/loomgrade/loomgrade/internal/lab/report"
	"github.com/loomgrade/loomgrade/internal/lab/sim"
)

const settingsYAML = `name: demo
site: marea
length: 20m
warm_up: 2m
seeds: 2
variants:
  - name: round-robin
    routing: round_robin
  - name: loomgrade
    routing: loomgrade
sweeps:
  - setting: engines
    values: [30, 3]
bars:
  - {figure: idle_share, variant: loomgrade, against: best_baseline, at_most: 0.7}
  - {figure: idle_share, variant: loomgrade, against: limit, at_most: 1.25}
`

// simulate returns an outcome with round figures.
func simulate(options sim.Options) (sim.Outcome, error) {
	values := hdrhistogram.New(1, 1_000_000, 3)
	for value := range int64(200) {
		_ = values.RecordValue(1 + value*value)
	}
	ages := hdrhistogram.New(1, 1000, 3)
	_ = ages.RecordValues(1, 7)
	_ = ages.RecordValues(2, 3)
	idle := 0.4
	if options.Variant.Name == "loomgrade" {
		idle = 0.25
	}
	return sim.Outcome{
		Trainers:        []sim.TrainerOutcome{{Pool: "bulletins", Samples: 600, IdleShare: idle, Staleness: ages, StaleMillis: values}},
		Callers:         []sim.CallerOutcome{{Name: "pilot", Answered: 10, Latency: values}},
		Limits:          sim.Limits{IdleShare: 0.2, Staleness: 1},
		LongSampleTimes: values,
		Series:          []sim.Point{{At: time.Minute, Waiting: 1}, {At: 2 * time.Minute, Waiting: 5}},
	}, nil
}

func runExperiment(t *testing.T, simulate experiment.Simulator) *experiment.Results {
	t.Helper()
	settings, err := experiment.Parse("demo.yaml", []byte(settingsYAML))
	if err != nil {
		t.Fatal(err)
	}
	results, err := experiment.Run(context.Background(), experiment.Plan{Settings: settings, Simulate: simulate, Parallel: 2})
	if err != nil {
		t.Fatal(err)
	}
	return results
}

func TestTextShowsLimitsRatiosAndVerdicts(t *testing.T) {
	var output bytes.Buffer
	if err := report.WriteText(&output, runExperiment(t, simulate)); err != nil {
		t.Fatal(err)
	}
	for _, want := range [][]string{
		{"round-robin", "0.4 ±0", "0.2", "2"},
		{"loomgrade", "0.25 ±0", "0.2", "1.25"},
		{"idle_share of loomgrade against round-robin", "0.625", "at most 0.7", "met"},
		{"idle_share of loomgrade against limit", "1.25", "at most 1.25", "met"},
		{"engines = 30", "loomgrade"},
		{"pilot", "loomgrade"},
	} {
		if !hasLine(output.String(), want) {
			t.Errorf("no line contains %q in\n%s", want, output.String())
		}
	}
}

func TestMissedBarsAreReported(t *testing.T) {
	slow := func(options sim.Options) (sim.Outcome, error) {
		outcome, err := simulate(options)
		outcome.Trainers[0].IdleShare = 0.4
		return outcome, err
	}
	var output bytes.Buffer
	if err := report.WriteText(&output, runExperiment(t, slow)); err != nil {
		t.Fatal(err)
	}
	if !hasLine(output.String(), []string{"against round-robin", "at most 0.7", "NOT MET"}) {
		t.Errorf("missed bar not reported in\n%s", output.String())
	}
}

func TestPageHoldsAllPlots(t *testing.T) {
	results := runExperiment(t, simulate)
	figures, err := report.Figures(results)
	if err != nil {
		t.Fatal(err)
	}
	titles := map[string]bool{}
	for _, figure := range figures {
		titles[figure.Title] = true
		if picture, err := png.Decode(bytes.NewReader(figure.PNG)); err != nil || picture.Bounds().Dx() < 600 {
			t.Errorf("%s is not a readable PNG: %v", figure.Title, err)
		}
	}
	for _, want := range []string{
		"Trainer idle share by variant", "Staleness of delivered samples, in versions", "Latency of pilot",
		"Long samples, from first start to score", "Requests waiting over time", "Requests in flight over time",
		"Idle share of the trainers by engines",
	} {
		if !titles[want] {
			t.Errorf("no plot %q in %v", want, titles)
		}
	}
	var page bytes.Buffer
	if err := report.WriteHTML(&page, results); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(page.String(), "data:image/png;base64,"); got != len(figures) {
		t.Errorf("page has %d plots, want %d", got, len(figures))
	}
}

func TestReportOfAnEmptyRun(t *testing.T) {
	empty := func(sim.Options) (sim.Outcome, error) { return sim.Outcome{}, nil }
	if err := report.WriteHTML(&bytes.Buffer{}, runExperiment(t, empty)); err != nil {
		t.Errorf("results without values: %v", err)
	}
}

func TestComparisonCountsVerdicts(t *testing.T) {
	changes := []experiment.Change{
		{Point: "as given", Variant: "loomgrade", Figure: "idle_share", Verdict: experiment.VerdictWorse},
		{Point: "as given", Variant: "random", Figure: "idle_share", Verdict: experiment.VerdictWithinNoise},
	}
	for _, test := range []struct {
		all  bool
		rows int
	}{{false, 1}, {true, 2}} {
		var output bytes.Buffer
		if err := report.WriteComparison(&output, changes, test.all); err != nil {
			t.Fatal(err)
		}
		if got := strings.Count(output.String(), "as given"); got != test.rows {
			t.Errorf("%d rows with all = %v, want %d", got, test.all, test.rows)
		}
		if !hasLine(output.String(), []string{"0 better, 1 worse, 1 within noise"}) {
			t.Errorf("no verdict counts in\n%s", output.String())
		}
	}
}

// hasLine reports whether one line contains all parts in order.
func hasLine(text string, parts []string) bool {
	for line := range strings.Lines(text) {
		rest, holds := line, true
		for _, part := range parts {
			_, after, found := strings.Cut(rest, part)
			holds = holds && found
			rest = after
		}
		if holds {
			return true
		}
	}
	return false
}
