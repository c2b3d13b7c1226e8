package policy_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/policy"
)

func runningView() policy.View {
	for _, named := range policy.StandardViews() {
		if named.Name == "running" {
			return named.View
		}
	}
	panic("no standard view named running")
}

func TestDefaultAndExamplesPassTheCheck(t *testing.T) {
	sources := map[string]string{"default": policy.Default}
	files, err := filepath.Glob("../../../examples/policies/*.star")
	if err != nil || len(files) == 0 {
		t.Fatalf("no example policies: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		sources[file] = string(text)
	}
	for name, source := range sources {
		if _, err := policy.Check(source); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestCompileRejects(t *testing.T) {
	cases := map[string]struct{ source, want string }{
		"syntax error names the line": {"def plan(pool):\n  return (", "policy.star:2"},
		"unknown name":                {"def plan(pool):\n  return nothing", "policy.star:2:10"},
		"no plan function":            {"x = 1", "must define plan(pool)"},
		"plan with two parameters":    {"def plan(a, b):\n  return None", "must define plan(pool)"},
		"load":                        {"load('x.star', 'y')\ndef plan(pool):\n  return y", "load"},
		"endless initialisation":      {"x = [i for i in range(10000) for j in range(10000)]\ndef plan(pool):\n  return None", "step limit"},
		"while loop":                  {"def plan(pool):\n  while True:\n    pass", "while"},
		"recursion":                   {"def f(x):\n  return f(x)\nx = f(1)\ndef plan(pool):\n  return None", "recursively"},
		"source too long":             {strings.Repeat("#", policy.MaxSourceBytes+1), "allowed are"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := policy.Compile(test.source)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Fatalf("got %v, want an error with %q", err, test.want)
			}
		})
	}
}

func TestRunRejectsInvalidResult(t *testing.T) {
	cases := map[string]struct{ result, field string }{
		"no struct":                 {"7", "result"},
		"negative target":           {"struct(target_in_flight = -1)", "target_in_flight"},
		"target of a wrong type":    {"struct(target_in_flight = 'all')", "target_in_flight"},
		"boolean as a number":       {"struct(target_in_flight = True)", "target_in_flight"},
		"version not yet published": {"struct(min_version = pool.version + 1)", "min_version"},
		"age over the bound":        {"struct(abandon_age = pool.staleness_bound + 1)", "abandon_age"},
		"unknown selection":         {"struct(selection = 'newest')", "selection"},
		"zones as text":             {"struct(zones = 'zone-a')", "zones"},
		"zones with a number":       {"struct(zones = [1])", "zones"},
		"misspelt field":            {"struct(target_inflight = 1)", "target_inflight"},
		"dict with a number key":    {"{1: 2}", "1"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			program, err := policy.Compile("def plan(pool):\n  return " + test.result)
			if err != nil {
				t.Fatal(err)
			}
			_, _, err = program.Run(runningView())
			var field *policy.FieldError
			if !errors.As(err, &field) || field.Field != test.field {
				t.Fatalf("got %v, want a FieldError of %s", err, test.field)
			}
		})
	}
}

func TestRunReadsEveryField(t *testing.T) {
	program, err := policy.Compile(`
def plan(pool):
    busy = [r.id for r in pool.replicas if r.running >= r.limit]
    return {
        "target_in_flight": 10, "min_version": pool.version - 1, "over_provision": 2, "priority": 3,
        "long_tokens": 4, "long_priority": 5, "resume": "long", "zones": ["zone-a"],
        "exclude": ["replica-1"] + busy, "abandon_age": 2, "predict_stale": True, "max_versions": 3,
        "selection": "freshest_first",
    }`)
	if err != nil {
		t.Fatal(err)
	}
	view := runningView()
	plan, steps, err := program.Run(view)
	want := policy.Plan{
		TargetInFlight: 10, MinVersion: view.Version - 1, OverProvision: 2, Priority: 3, LongTokens: 4, LongPriority: 5,
		Resume: policy.ResumeLong, AbandonAge: 2, PredictStale: true, MaxVersions: 3, Selection: policy.SelectFreshest,
	}
	want.Zones = append(want.Zones, "zone-a")
	want.Exclude = append(want.Exclude, "replica-1")
	if err != nil || !reflect.DeepEqual(plan, want) {
		t.Fatalf("got %+v, %v\nwant %+v", plan, err, want)
	}
	if steps == 0 {
		t.Error("no steps counted")
	}
}

func TestRunIsDeterministicAndIsolated(t *testing.T) {
	program, err := policy.Compile("seen = []\ndef plan(pool):\n  return struct(target_in_flight = len(seen) + pool.capacity)")
	if err != nil {
		t.Fatal(err)
	}
	first, firstSteps, err := program.Run(runningView())
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		again, steps, err := program.Run(runningView())
		if err != nil || !reflect.DeepEqual(first, again) || steps != firstSteps {
			t.Fatalf("run differs: %+v in %d steps, %v", again, steps, err)
		}
	}
	changing, err := policy.Compile("seen = []\ndef plan(pool):\n  seen.append(1)\n  return struct()")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := changing.Run(runningView()); err == nil || !strings.Contains(err.Error(), "frozen") {
		t.Fatalf("a run changed state of the program: %v", err)
	}
	writing, err := policy.Compile("def plan(pool):\n  pool.replicas.append(1)\n  return struct()")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := writing.Run(runningView()); err == nil || !strings.Contains(err.Error(), "frozen") {
		t.Fatalf("a run changed its view: %v", err)
	}
}

func TestRunLimitsSteps(t *testing.T) {
	program, err := policy.CompileLimited("def plan(pool):\n  n = 0\n  for i in range(10000):\n    n += i\n  return struct()", 1000)
	if err != nil {
		t.Fatal(err)
	}
	if _, steps, err := program.Run(runningView()); !errors.Is(err, policy.ErrStepLimit) || steps < 1000 {
		t.Fatalf("got %v after %d steps", err, steps)
	}
	long, err := policy.Compile("def plan(pool):\n  return struct(exclude = [str(i) for i in list(range(1 << 40))])")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := long.Run(runningView()); err == nil || !strings.Contains(err.Error(), "range has") {
		t.Fatalf("unbounded range: %v", err)
	}
}

func BenchmarkRun(b *testing.B) {
	program, err := policy.Compile(policy.Default)
	if err != nil {
		b.Fatal(err)
	}
	for _, named := range policy.StandardViews() {
		b.Run(strings.ReplaceAll(named.Name, " ", "-"), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := program.Run(named.View); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
