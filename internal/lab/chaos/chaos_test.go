package chaos

import (
	"bytes"
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// TestScenariosKeepInvariants runs fixed seeds of every scenario, which together must cover
// every situation that Coverage counts.
func TestScenariosKeepInvariants(t *testing.T) {
	scenarios := Scenarios()
	summaries := make([]Summary, len(scenarios))
	t.Run("scenario", func(t *testing.T) {
		for number, scenario := range scenarios {
			t.Run(scenario.Name, func(t *testing.T) {
				t.Parallel()
				summaries[number] = runFixedSeeds(t, scenario)
			})
		}
	})
	var total Coverage
	for _, summary := range summaries {
		total.add(summary.Coverage)
	}
	counts := reflect.ValueOf(total)
	for field := range counts.NumField() {
		if counts.Field(field).IsZero() {
			t.Errorf("no run had %s", counts.Type().Field(field).Name)
		}
	}
	if total.MaxMissed < 200 {
		t.Errorf("observers missed %d revisions at most, want hundreds", total.MaxMissed)
	}
}

func runFixedSeeds(t *testing.T, scenario Scenario) Summary {
	t.Helper()
	reports, err := RunMany(context.Background(), Options{Scenario: scenario}, 1, 2, 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, report := range reports {
		for _, violation := range report.Violations {
			t.Errorf("seed %d at %v: %s: %s", report.Seed, violation.Time, violation.Check, violation.Detail)
		}
		if report.Accepted == 0 || report.Batches == 0 {
			t.Errorf("seed %d did nothing: %+v", report.Seed, report)
		}
	}
	return Summarize(scenario, reports)
}

// TestLinearizationCheckFinishes replays two seeds with so many lost responses that the search
// for a linearization once timed out.
func TestLinearizationCheckFinishes(t *testing.T) {
	for name, seed := range map[string]uint64{"all": 155, "together": 59} {
		scenario, _ := ScenarioNamed(name)
		for _, violation := range Run(Options{Scenario: scenario, Seed: seed}).Violations {
			t.Errorf("%s seed %d: %s: %s", name, seed, violation.Check, violation.Detail)
		}
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	scenario, _ := ScenarioNamed("together")
	var traces [2]bytes.Buffer
	var reports [2]Report
	for round := range reports {
		reports[round] = Run(Options{Scenario: scenario, Seed: 4, Trace: &traces[round]})
	}
	if !reflect.DeepEqual(reports[0], reports[1]) || traces[0].String() != traces[1].String() {
		t.Fatalf("two runs of one seed differ:\n%+v\n%+v", reports[0], reports[1])
	}
	if !strings.Contains(traces[0].String(), "leads term") {
		t.Fatal("the trace contains no election")
	}
}

// wipedScenario loses machines while leaders change; under WeaknessSameID it empties disks.
var wipedScenario = Scenario{
	Name: "wiped", FaultDuration: 3 * time.Minute, InjectionInterval: 5 * time.Second, FaultsPerInjection: 2, Members: 3,
	Faults: []Fault{FaultLose, FaultKill, FaultIsolate, FaultIsolateLeader},
}

// restartScenario restarts observers while members are isolated.
var restartScenario = Scenario{
	Name: "restarts", FaultDuration: 2 * time.Minute, InjectionInterval: 3 * time.Second, FaultsPerInjection: 1, Members: 3,
	Faults: []Fault{FaultObserverAway, FaultObserverAway, FaultIsolate},
}

// TestAuditorFindsForgedEntries passes changes to the auditor that a correct log never
// contains.
func TestAuditorFindsForgedEntries(t *testing.T) {
	change := func(number int, expected port.Revision, author string) port.Command {
		return port.Command{
			Time:                epoch * 1000,
			ChangeID:            fmt.Sprintf("%d-00000000", epoch*1000+number),
			ChangeConfiguration: &port.ChangeConfiguration{Expected: expected, Edits: []port.Edit{{MachineList: address(author)}}, Author: author},
		}
	}
	tests := []struct {
		name    string
		second  port.Command
		result  port.Result
		skipped bool
		check   string
	}{
		{"correct", change(2, 1, "b"), port.Result{Revision: 2}, false, ""},
		{"same change, other id", change(2, 1, "a"), port.Result{Revision: 2}, false, "each change once"},
		{"revision differs from result", change(2, 1, "b"), port.Result{Revision: 3}, false, "revisions count up"},
		{"unexpected revision accepted", change(2, 0, "b"), port.Result{Revision: 2}, true, "revisions count up"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			audit, found := newAuditor(), ""
			audit.report = func(check, format string, arguments ...any) { found = check }
			first := change(1, 0, "a")
			audit.checkChange(first, audit.state.Apply(1, 1, first), 0)
			applied := test.second
			if test.skipped {
				applied = change(3, 1, "c") // simulates a state machine that ignores the expected revision
			}
			audit.state.Apply(2, 1, applied)
			audit.checkChange(test.second, test.result, 1)
			if found != test.check {
				t.Fatalf("found %q, want %q", found, test.check)
			}
		})
	}
}

// TestMissingSafeguardsAreFound disables one safeguard at a time and requires a violation of
// the named check within a few seeds. Rows marked rare need more seeds.
func TestMissingSafeguardsAreFound(t *testing.T) {
	tests := []struct {
		weakness Weakness
		scenario string
		check    string
		rare     bool
	}{
		{WeaknessSkipSync, "crashes", "committed entries kept", false},
		{WeaknessSkipSync, "crashes", "states equal", false},
		{WeaknessNoPreVote, "isolation", "healthy leaders stay", false},
		{WeaknessNoCheckQuorum, "cuts", "leaders have a quorum", false},
		{WeaknessNoDeduplication, "lossy", "answers are true", false},
		{WeaknessNoDeduplication, "lossy", "configuration is linearizable", false},
		{WeaknessIgnoreFence, "crashes", "one holder by fence", false},
		{WeaknessObserversGoBack, "crashes", "observers never go back", false},
		{WeaknessLocalReads, "crashes", "configuration is linearizable", false},
		{WeaknessSameID, wipedScenario.Name, "committed entries kept", false},
		{WeaknessSameID, wipedScenario.Name, "one leader a term", false},
		{WeaknessConfirmBehind, "isolation", "confirmed views are fresh", false},
		{WeaknessStaleStart, restartScenario.Name, "observers never go back", false},
		{WeaknessNoTimeJump, "clocks", "one holder at a time", false},
		{WeaknessKeepTornTail, "disks", "restart", false},
		{WeaknessLeaderReads, "cuts", "configuration is linearizable", false},
		{WeaknessOmitCachedResults, "crashes", "states equal", false},
		{WeaknessSkipSync, "together", "leases are linearizable", true},
		{WeaknessSameID, wipedScenario.Name, "views equal", true},
		{WeaknessSkipSync, "crashes", "no progress", false},
	}
	for _, test := range tests {
		t.Run(string(test.weakness)+" "+test.check, func(t *testing.T) {
			t.Parallel()
			scenario, found := ScenarioNamed(test.scenario)
			for _, other := range []Scenario{wipedScenario, restartScenario} {
				if !found && other.Name == test.scenario {
					scenario = other
				}
			}
			seeds := uint64(8)
			if test.rare {
				seeds = 48
			}
			for seed := range seeds {
				report := Run(Options{Scenario: scenario, Seed: seed + 1, Weakness: test.weakness})
				for _, violation := range report.Violations {
					if violation.Check == test.check {
						return
					}
				}
			}
			t.Fatalf("no seed of %s violated %q", test.scenario, test.check)
		})
	}
}

// TestReferenceModelFindsForgedResults passes commands to the reference model that a correct
// state machine rejects.
func TestReferenceModelFindsForgedResults(t *testing.T) {
	commit := func(number port.BatchNumber, attempt uint32, sequence uint64, prompt port.PromptIndex, oldest port.WeightVersion) port.Command {
		return port.Command{CommitBatch: &port.CommitBatch{
			Number: number, Attempt: attempt, CoordinatorEpoch: 1, ConsumerEpoch: 2,
			Samples: []port.CommittedSample{{ID: port.SampleID{Pool: poolName, Epoch: 1, Sequence: sequence}, Prompt: prompt, Oldest: oldest}},
		}}
	}
	fenced := commit(2, 1, 2, 1, 5)
	fenced.CommitBatch.CoordinatorEpoch = 0
	tests := []struct {
		name   string
		forged port.Command
		result port.Result
		check  string
	}{
		{"correct", commit(2, 1, 2, 1, 4), port.Result{}, ""},
		{"rejected commit has no effect", commit(2, 1, 1, 0, 1), port.Result{Error: &port.Error{}}, ""},
		{"sample again", commit(2, 1, 1, 1, 5), port.Result{}, "batch committed once"},
		{"prompt again", commit(2, 1, 2, 0, 5), port.Result{}, "batch committed once"},
		{"other contents", commit(1, 1, 2, 1, 5), port.Result{}, "batch committed once"},
		{"voided after delivery", commit(1, 2, 2, 0, 5), port.Result{}, "batch committed once"},
		{"stale", commit(2, 1, 2, 1, 3), port.Result{}, "no stale batch"},
		{"unknown version", commit(2, 1, 2, 1, 0), port.Result{}, "no stale batch"},
		{"fenced", fenced, port.Result{}, "fenced commits refused"},
		{"version again", port.Command{PublishWeights: &port.PublishWeights{Version: 5}}, port.Result{}, "versions count up"},
		{"epoch of two holders", port.Command{AcquireLease: &port.AcquireLease{}}, port.Result{Lease: &port.Lease{Holder: "other", Epoch: 1}}, "one holder by fence"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			found := ""
			report := func(check, format string, arguments ...any) { found = check }
			reference := newReferenceModel()
			first := commit(1, 1, 1, 0, 5)
			reference.check(report, port.Command{PublishWeights: &port.PublishWeights{Version: 5}}, port.Result{})
			reference.check(report, port.Command{AcquireLease: &port.AcquireLease{}}, port.Result{Lease: &port.Lease{Holder: "node", Epoch: 1}})
			reference.check(report, port.Command{RegisterConsumer: &port.RegisterConsumer{}}, port.Result{Consumer: &port.Consumer{Epoch: 2}})
			reference.check(report, first, port.Result{})
			reference.checkDelivered(report, *first.CommitBatch)
			reference.check(report, test.forged, test.result)
			if found != test.check {
				t.Fatalf("found %q, want %q", found, test.check)
			}
		})
	}
}

func TestMeasurementsGiveTimes(t *testing.T) {
	failover := MeasureFailover(3, 1)
	if len(failover.Leaderless) == 0 || failover.Leaderless[0] < electionTicks*tickInterval/2 {
		t.Fatalf("leaderless %v", failover.Leaderless)
	}
	propagation := MeasurePropagation(3, 1)
	if len(propagation.All) == 0 || propagation.All[0] <= 0 || propagation.All.Quantile(1) > time.Minute {
		t.Fatalf("propagation %v", propagation.All)
	}
}
