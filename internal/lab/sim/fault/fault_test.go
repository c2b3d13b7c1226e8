package fault

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
)

// short gives a scenario with faults for a shorter time, and more of them.
func short(t *testing.T, name string, faults ...Fault) Scenario {
	t.Helper()
	scenario, found := FindScenario(name)
	if !found {
		t.Fatalf("no scenario %q", name)
	}
	scenario.Faulty = 15 * time.Second
	if len(faults) > 0 {
		scenario.Faults, scenario.Every, scenario.Together = faults, 500*time.Millisecond, 1
	}
	return scenario
}

func runOne(t *testing.T, options Options) Report {
	t.Helper()
	report, err := Run(options)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

func TestEqualSeedsGiveEqualReports(t *testing.T) {
	options := Options{Scenario: short(t, "together"), Seed: 3}
	first, second := runOne(t, options), runOne(t, options)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("reports differ:\n%+v\n%+v", first, second)
	}
	if first.FaultCount() == 0 || first.Answered == 0 || first.Delivered == 0 {
		t.Errorf("little happened: %+v", first)
	}
}

func TestFaultsCauseNoViolations(t *testing.T) {
	for _, name := range []string{"delivery", "stops", "together"} {
		t.Run(name, func(t *testing.T) {
			report := runOne(t, Options{Scenario: short(t, name), Seed: 1})
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			for _, failure := range report.Failures {
				t.Error(failure)
			}
		})
	}
}

// The audit finds the absence of each safeguard.
func TestAuditDetectsMissingSafeguard(t *testing.T) {
	cases := []struct {
		without Safeguard
		faults  []Fault
		want    audit.Rule
	}{
		{SafeguardVerdict, []Fault{FaultCutAfter, FaultBackEndCrash}, audit.RuleUnsafeOnce},
		{SafeguardNotRun, []Fault{FaultCutAfter, FaultBackEndCrash}, audit.RuleNotRun},
		{SafeguardMatching, []Fault{FaultBackEndMixes}, audit.RuleCompleteAnswer},
		{SafeguardWhole, []Fault{FaultEngineCrash, FaultCutAfter}, audit.RuleCompleteAnswer},
		{SafeguardResume, []Fault{FaultEngineCrash, FaultCutAfter}, audit.RuleVersionsMatch},
		{SafeguardVersion, []Fault{FaultSwapMisdirected}, audit.RuleVersionsMatch},
		{SafeguardStaleness, []Fault{FaultScorerLate, FaultPublishRace}, audit.RuleStaleness},
		{SafeguardLeaving, []Fault{FaultBackEndLeaves}, audit.RuleDeparture},
		{SafeguardDrain, []Fault{FaultNodeStop}, audit.RulePlannedStop},
		{SafeguardOnce, []Fault{FaultTrainerPrevious}, audit.RuleSampleOnce},
		{SafeguardPrompts, []Fault{FaultCoordinatorStep}, audit.RuleSampleLost},
	}
	for _, testCase := range cases {
		t.Run(string(testCase.without), func(t *testing.T) {
			options := Options{Scenario: short(t, "all", testCase.faults...), Seed: 1}
			if whole := runOne(t, options); len(whole.Violations) > 0 {
				t.Fatalf("violations with the safeguard: %v", whole.Violations)
			}
			options.Without = testCase.without
			broken := runOne(t, options)
			if !slices.ContainsFunc(broken.Violations, func(found audit.Violation) bool { return found.Rule == testCase.want }) {
				t.Errorf("rule %q did not fire; %d violations, failures %v", testCase.want, len(broken.Violations), broken.Failures)
			}
		})
	}
}
