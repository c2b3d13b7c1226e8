package experiment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
)

func TestParseRejectsInvalidFiles(t *testing.T) {
	cases := []struct {
		name, old, replacement string
		want                   []string
	}{
		{"unknown key", "seeds: 3", "seed: 3", []string{"13:", "seed"}},
		{"unknown nested key", "step_base: 10ms", "step: 10ms", []string{"6:", "step"}},
		{"repeated key", "seeds: 3", "name: other", []string{"13:", "name"}},
		{"wrong type", "seeds: 3", "seeds: many", []string{"demo.yaml:13", "seeds", "many", "whole number"}},
		{"invalid name", "name: demo", "name: ../up", []string{"demo.yaml:1", "name", "../up", "lower-case"}},
		{"unknown site", "site: marea", "site: atlantis", []string{"demo.yaml:2", "site", "atlantis", "inkwell or marea"}},
		{"no unit", "step_base: 10ms", "step_base: 10", []string{"demo.yaml:6", "overrides.engine.step_base", "10", "with a unit"}},
		{"length too short", "length: 20m", "length: 1ms", []string{"demo.yaml:11", "length", "1ms", "1s to"}},
		{"warm-up too long", "warm_up: 2m", "warm_up: 11m", []string{"demo.yaml:12", "warm_up", "11m0s", "0s to 10m0s"}},
		{"no seeds", "seeds: 3", "seeds: 0", []string{"demo.yaml:13", "seeds", "0", "1 to 1000"}},
		{"negative engines", "engines: 4", "engines: -1", []string{"demo.yaml:4", "overrides.engines", "-1", "0 to"}},
		{"batch not a multiple of the group size", "engines: 4", "batch_samples: 33", []string{"demo.yaml:4", "overrides.batch_samples", "33", "multiple of group_size"}},
		{"prefix longer than prompt", "shared_prefix_tokens: 600", "shared_prefix_tokens: 9999", []string{"demo.yaml:10", "9999", "at most prompt_tokens"}},
		{"negative burst", "engines: 4", "bursts: [{at: 1m, length: 1m, factor: -2}]", []string{"demo.yaml:4", "bursts[0].factor", "-2", "0 to"}},
		{"unknown routing", "routing: round_robin", "routing: sticky", []string{"demo.yaml:17", "variants[0].routing", "sticky", "least_in_flight"}},
		{"duplicate variant name", "name: random", "name: round-robin", []string{"demo.yaml:18", "variants[1].name", "no other variant"}},
		{"unknown part", "[staging]", "[magic]", []string{"demo.yaml:22", "variants[2].without", "magic", "prefix_affinity"}},
		{"two disabled parts", "[staging]", "[staging, priorities]", []string{"demo.yaml:22", "one part"}},
		{"baseline with a disabled part", "    routing: random", "    routing: random\n    without: [staging]", []string{"demo.yaml:20", "routing is loomgrade"}},
		{"baseline with import_kv", "    routing: random", "    routing: random\n    import_kv: true", []string{"demo.yaml:20", "import_kv", "routing is loomgrade"}},
		{"disabled part and another policy", "[staging]", "[staging]\n    policy: other.star", []string{"demo.yaml:23", "variants[2].policy", "other.star", "only difference"}},
		{"unknown reference", "reference: loomgrade", "reference: best", []string{"demo.yaml:14", "reference", "best", "name of a variant"}},
		{"unknown sweep", "setting: engine.step_base", "setting: engine.colour", []string{"demo.yaml:26", "engine.colour", "engine.step_per_sequence"}},
		{"invalid swept value", "[5ms, 20ms]", "[5ms, 20]", []string{"demo.yaml:27", "sweeps[0].values[1]", "20", "with a unit"}},
		{"swept value too large", "[5ms, 20ms]", "[5ms, 20h]", []string{"demo.yaml:27", "sweeps[0].values[1]", "20h"}},
		{"unknown swept variant", "[random, loomgrade]", "[random, best]", []string{"demo.yaml:28", "sweeps[0].variants[1]", "best"}},
		{"unknown figure", "figure: idle_share", "figure: joy", []string{"demo.yaml:31", "bars[0].figure", "joy", "staleness_p99"}},
		{"unknown opponent", "against: best_baseline\n    at_most: 0.7", "against: luck\n    at_most: 0.7", []string{"demo.yaml:33", "bars[0].against", "luck", "best_baseline or limit"}},
		{"negative bar", "at_most: 0.7", "at_most: -1", []string{"demo.yaml:34", "bars[0].at_most", "-1"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if !strings.Contains(validFile, test.old) {
				t.Fatalf("the valid file does not contain %q", test.old)
			}
			content := strings.Replace(validFile, test.old, test.replacement, 1)
			_, err := experiment.Parse("demo.yaml", []byte(content))
			if err == nil {
				t.Fatal("the file was accepted")
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("message %q does not contain %q", err, part)
				}
			}
		})
	}
}

func TestLoadReadsRelativePolicies(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "experiment.yaml")
	content := strings.Replace(validFile, "    without: [staging]", "    policy: wide.star", 1)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := experiment.Load(path); err == nil || !strings.Contains(err.Error(), "wide.star") {
		t.Fatalf("missing policy: got %v", err)
	}
	if err := os.WriteFile(filepath.Join(folder, "wide.star"), []byte("def plan(pool): pass"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := experiment.Load(path); err != nil {
		t.Fatalf("a valid file was rejected: %v", err)
	}
}

func TestExamplesAreValid(t *testing.T) {
	for _, site := range []string{"inkwell", "marea"} {
		if _, err := experiment.Load(filepath.Join("../../../examples", site, "experiment.yaml")); err != nil {
			t.Errorf("%s: %v", site, err)
		}
	}
}
