package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs a command line and returns its exit code, stdout and stderr.
func runCommand(t *testing.T, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	streams := make([]*os.File, 2)
	for index, name := range []string{"stdout", "stderr"} {
		file, err := os.Create(filepath.Join(t.TempDir(), name))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = file.Close() }()
		streams[index] = file
	}
	code = run(arguments, streams[0], streams[1])
	texts := make([]string, len(streams))
	for index, file := range streams {
		content, err := os.ReadFile(file.Name())
		if err != nil {
			t.Fatal(err)
		}
		texts[index] = string(content)
	}
	return code, texts[0], texts[1]
}

const validPolicy = `def plan(pool):
    return struct(target_in_flight = pool.buffered + 1, selection = "freshest_first")
`

func TestPolicyCommands(t *testing.T) {
	file := func(name, content string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	valid := file("valid.star", validPolicy)
	dividesByZero := file("divides.star", "def plan(pool):\n    return struct(\n        target_in_flight =\n            1 // pool.buffered)\n")
	view := file("view.json", `{"name": "mine", "buffered": 41, "staleness_bound": 3, "replicas": [{"id": "r1", "limit": 4}]}`)
	cases := []struct {
		name      string
		arguments []string
		code      int
		contains  []string
	}{
		{"check", []string{"policy", "check", valid}, exitOK, []string{"accepted", "of  500000"}},
		{"check as JSON", []string{"policy", "check", valid, "--output", "json"}, exitOK, []string{`"max_steps": 500000`}},
		{"check of the default program", []string{"policy", "check", "../../internal/core/policy/default.star"}, exitOK, []string{"accepted"}},
		{"syntax error", []string{"policy", "check", file("syntax.star", "def plan(pool):\n  return ]\n")}, exitUsage, []string{"syntax.star:2:"}},
		{"unknown name", []string{"policy", "check", file("name.star", "def plan(pool):\n  return x\n")}, exitUsage, []string{"name.star:2:10", "x"}},
		{"run-time error", []string{"policy", "check", dividesByZero}, exitUsage, []string{"divides.star:4:15", "zero"}},
		{"field that is not allowed", []string{"policy", "check", file("field.star", "def plan(pool):\n  return {'resume': 'always'}\n")}, exitUsage, []string{"field.star", "resume", "always", "never, failed, long"}},
		{"endless loop", []string{"policy", "check", file("endless.star", "def plan(pool):\n  for a in range(9999):\n    for b in range(9999):\n      pass\n")}, exitUsage, []string{"endless.star", "step limit"}},
		{"no such file", []string{"policy", "check", "none.star"}, exitUsage, []string{"none.star"}},
		{"simulate", []string{"policy", "simulate", valid}, exitOK, []string{"trainer waiting", "3500 replicas", "freshest_first"}},
		{"simulate shows results and errors", []string{"policy", "simulate", dividesByZero}, exitUsage, []string{"running", "error", "divides.star:4:15"}},
		{"simulate a view from a file", []string{"policy", "simulate", valid, "--view", view, "--output", "json"}, exitOK, []string{`"target_in_flight": 42`}},
		{"simulate with fields set", []string{"policy", "simulate", valid, "--view", view, "--set", "buffered=7,trainer_waiting=true,name=other", "--output", "json"}, exitOK, []string{`"target_in_flight": 8`}},
		{"simulate from a standard view", []string{"policy", "simulate", valid, "--from", "buffer full"}, exitOK, []string{"buffer full"}},
		{"unknown view", []string{"policy", "simulate", valid, "--from", "odd"}, exitUsage, []string{"--from", "odd", "mixed versions"}},
		{"unknown field of a view", []string{"policy", "simulate", valid, "--set", "in_flihgt=3"}, exitUsage, []string{"--set", "in_flihgt", "3", "allowed"}},
		{"wrong type of a field", []string{"policy", "simulate", valid, "--set", "in_flight=many"}, exitUsage, []string{"in_flight", "many", "allowed"}},
		{"view file with an unknown field", []string{"policy", "simulate", valid, "--view", file("odd.json", "{\n\"version\": 1,\n\"odd\": 1}")}, exitUsage, []string{"odd.json:3", "odd"}},
		{"two views", []string{"policy", "simulate", valid, "--view", view, "--from", "running"}, exitUsage, []string{"allowed: one of them"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(t, test.arguments...)
			if code != test.code {
				t.Errorf("exit code %d, want %d: %s", code, test.code, stderr)
			}
			for _, want := range test.contains {
				if !strings.Contains(stdout+stderr, want) {
					t.Errorf("%q is missing in:\n%s%s", want, stdout, stderr)
				}
			}
			if code != exitOK && strings.Count(stderr, "\n") != 1 {
				t.Errorf("the error is not one line:\n%s", stderr)
			}
		})
	}
}

// TestOfflineCommandsPrintJSON checks that stdout holds JSON and nothing else.
func TestOfflineCommandsPrintJSON(t *testing.T) {
	for _, arguments := range [][]string{
		{"version"},
		{"settings", "check", "../../examples/dev/control-1.yaml", "../../examples/dev/node-zone-a.yaml"},
		{"policy", "simulate", "../../examples/policies/low-idle.star"},
	} {
		code, stdout, stderr := runCommand(t, append(arguments, "--output", "json")...)
		if code != exitOK || !json.Valid([]byte(stdout)) {
			t.Errorf("%v: exit code %d: %s%s", arguments, code, stdout, stderr)
		}
	}
}

func TestSettingsCheckReportsEveryError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	content := "cluster: demo\nnode:\n  id: node-a\n  zone: Dub North\n  http_listen: localhost:1\n  peer_listen: 127.0.0.1:1\n  control_members: [127.0.0.1:7101]\n"
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	code, stdout, stderr := runCommand(t, "settings", "check", path, "../../examples/dev/control-1.yaml")
	if code != exitUsage || !strings.Contains(stdout, "control, member 1") {
		t.Errorf("exit code %d, stdout %q", code, stdout)
	}
	for _, want := range []string{":4: node.zone = \"Dub North\"", ":5: node.http_listen = \"localhost:1\""} {
		if !strings.Contains(stderr, want) {
			t.Errorf("%q is missing in:\n%s", want, stderr)
		}
	}
	for line := range strings.Lines(stderr) {
		if !strings.HasPrefix(line, "loomgrade: ") || !strings.Contains(line, "allowed") {
			t.Errorf("malformed error line %q", line)
		}
	}
}
