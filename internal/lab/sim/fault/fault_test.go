package fault

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
)

// shortScenario returns a scenario with a shorter fault phase, and with the given
// faults, if any, at a higher rate.
func shortScenario(t *testing.T, name string, faults ...Fault) Scenario {
	t.Helper()
	scenario, found := FindScenario(name)
	if !found {
		t.Fatalf("no scenario %q", name)
	}
	scenario.FaultDuration = 15 * time.Second
	if len(faults) > 0 {
		scenario.Faults, scenario.InjectionInterval, scenario.FaultsPerInjection = faults, 500*time.Millisecond, 1
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
	options := Options{Scenario: shortScenario(t, "together"), Seed: 3}
	first, second := runOne(t, options), runOne(t, options)
	if !reflect.DeepEqual(first, second) {
		t.Errorf("reports differ:\n%+v\n%+v", first, second)
	}
	if first.FaultCount() == 0 || first.Answered == 0 || first.Delivered == 0 {
		t.Errorf("no faults, answers or deliveries: %+v", first)
	}
}

func TestFaultsCauseNoViolations(t *testing.T) {
	for _, name := range []string{"delivery", "stops", "together"} {
		t.Run(name, func(t *testing.T) {
			report := runOne(t, Options{Scenario: shortScenario(t, name), Seed: 1})
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			for _, failure := range report.Failures {
				t.Error(failure)
			}
		})
	}
}

// Switching off a safeguard makes the audit report the matching violation.
func TestAuditDetectsMissingSafeguard(t *testing.T) {
	cases := []struct {
		without Safeguard
		faults  []Fault
		want    audit.Rule
	}{
		{SafeguardVerdict, []Fault{FaultCutAfter, FaultBackEndCrash}, audit.RuleUnsafeOnce},
		{SafeguardNotRun, []Fault{FaultCutAfter, FaultBackEndCrash}, audit.RuleNotRun},
		{SafeguardMatching, []Fault{FaultBackEndMixesIDs}, audit.RuleCompleteAnswer},
		{SafeguardComplete, []Fault{FaultEngineCrash, FaultCutAfter}, audit.RuleCompleteAnswer},
		{SafeguardResume, []Fault{FaultEngineCrash, FaultCutAfter}, audit.RuleVersionsMatch},
		{SafeguardVersion, []Fault{FaultSwapMisdirected}, audit.RuleVersionsMatch},
		{SafeguardStaleness, []Fault{FaultScorerLate, FaultPublishRace}, audit.RuleStaleness},
		{SafeguardDeparture, []Fault{FaultBackEndLeaves}, audit.RuleDeparture},
		{SafeguardDrain, []Fault{FaultNodeStop}, audit.RuleGracefulStop},
		{SafeguardSingleDelivery, []Fault{FaultTrainerRequestsPrevious}, audit.RuleSampleOnce},
		{SafeguardPrompts, []Fault{FaultCoordinatorStep}, audit.RuleSampleLost},
	}
	for _, testCase := range cases {
		t.Run(string(testCase.without), func(t *testing.T) {
			options := Options{Scenario: shortScenario(t, "all", testCase.faults...), Seed: 1}
			if intact := runOne(t, options); len(intact.Violations) > 0 {
				t.Fatalf("violations with the safeguard: %v", intact.Violations)
			}
			options.Without = testCase.without
			weakened := runOne(t, options)
			if !slices.ContainsFunc(weakened.Violations, func(found audit.Violation) bool { return found.Rule == testCase.want }) {
				t.Errorf("rule %q did not fire; %d violations, failures %v", testCase.want, len(weakened.Violations), weakened.Failures)
			}
		})
	}
}
