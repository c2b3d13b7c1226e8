package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
)

// smallExperiment is an experiment file whose run takes a few seconds.
const smallExperiment = `name: small
site: marea
overrides:
  engines: 4
  batch_samples: 16
  trainer_step: 2s
  publish_every: 3
  lengths: {median: 60, sigma: 0.8, max: 400}
  bursts: []
length: 60s
warm_up: 10s
seeds: 2
variants:
  - {name: random, routing: random}
  - {name: loomgrade, routing: loomgrade}
`

// runExperiment runs an experiment file and returns its output folder.
func runExperiment(t *testing.T, content string) string {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "experiment.yaml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	output := filepath.Join(folder, "output")
	if code := run([]string{"run", path, "--output", output}); code != 0 {
		t.Fatalf("run: exit code %d, want 0", code)
	}
	return output
}

func TestRunWritesTheSameResultsTwice(t *testing.T) {
	var first []byte
	for range 2 {
		output := runExperiment(t, smallExperiment)
		content, err := os.ReadFile(filepath.Join(output, experiment.ResultsFile))
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = content
		}
		if !bytes.Equal(first, content) {
			t.Error("two runs with the same settings wrote different results")
		}
		page, err := os.ReadFile(filepath.Join(output, reportFile))
		if err != nil || !strings.Contains(string(page), "data:image/png") {
			t.Errorf("no plots in the report (%v)", err)
		}
	}
}

func TestCompareExitCodes(t *testing.T) {
	before := runExperiment(t, smallExperiment)
	slow := strings.Replace(smallExperiment, "engines: 4", "engines: 1\n  engine: {step_base: 100ms}", 1)
	after := runExperiment(t, slow)
	for _, test := range []struct {
		name          string
		before, after string
		want          int
	}{
		{"equal", before, before, 0},
		{"one slow engine", before, after, exitWorse},
		{"missing", before, filepath.Join(before, "none"), exitFailure},
	} {
		if code := run([]string{"compare", test.before, test.after}); code != test.want {
			t.Errorf("%s: exit code %d, want %d", test.name, code, test.want)
		}
	}
}

func TestRunRejectsInvalidInput(t *testing.T) {
	path := filepath.Join(t.TempDir(), "experiment.yaml")
	for _, test := range []struct {
		name, content string
		arguments     []string
	}{
		{"unknown site", strings.Replace(smallExperiment, "site: marea", "site: atlantis", 1), nil},
		{"negative seeds", smallExperiment, []string{"--seeds=-1"}},
		{"two formats", smallExperiment, []string{"--table", "--json"}},
	} {
		if err := os.WriteFile(path, []byte(test.content), 0o600); err != nil {
			t.Fatal(err)
		}
		if code := run(append([]string{"run", path}, test.arguments...)); code != exitUsage {
			t.Errorf("%s: exit code %d, want %d", test.name, code, exitUsage)
		}
	}
}
