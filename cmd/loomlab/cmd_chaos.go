package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/chaos"
)

// errViolations is returned when a run violates invariants.
var errViolations = eris.New("invariants were violated")

// chaosCommand runs the fault simulator of the control members.
type chaosCommand struct {
	Seeds    int    `default:"20" help:"Number of seeds for each scenario, from 1 on."`
	Scenario string `help:"Run this scenario only."`
	Seed     uint64 `help:"Run this seed only."`
	Trace    bool   `help:"Print what happens in a run; needs --seed and --scenario."`
	Parallel int    `default:"4" help:"Runs at a time."`
	Measure  bool   `help:"Measure failover and distribution in virtual time instead."`
}

// Run implements the command.
func (c *chaosCommand) Run() error {
	if c.Measure {
		return c.measure()
	}
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	if c.Trace {
		return c.trace(scenarios)
	}
	first, count := uint64(1), c.Seeds
	if c.Seed != 0 {
		first, count = c.Seed, 1
	}
	var summaries []chaos.Summary
	for _, scenario := range scenarios {
		reports, err := chaos.RunMany(context.Background(), chaos.Options{Scenario: scenario}, first, count, c.Parallel)
		if err != nil {
			return eris.Wrap(err, "run scenario")
		}
		printViolations(reports)
		summaries = append(summaries, chaos.Summarize(scenario, reports))
	}
	if err := chaos.WriteTable(os.Stdout, summaries); err != nil {
		return eris.Wrap(err, "write table")
	}
	fmt.Println()
	if err := chaos.WriteCoverage(os.Stdout, summaries); err != nil {
		return eris.Wrap(err, "write table")
	}
	return violationsError(summaries)
}

func (c *chaosCommand) scenarios() ([]chaos.Scenario, error) {
	if c.Scenario == "" {
		return chaos.Scenarios(), nil
	}
	scenario, found := chaos.ScenarioNamed(c.Scenario)
	if !found {
		names := make([]string, 0, len(chaos.Scenarios()))
		for _, scenario := range chaos.Scenarios() {
			names = append(names, scenario.Name)
		}
		return nil, eris.Errorf("scenario %q, allowed: %s", c.Scenario, strings.Join(names, ", "))
	}
	return []chaos.Scenario{scenario}, nil
}

// trace replays one run and prints its trace.
func (c *chaosCommand) trace(scenarios []chaos.Scenario) error {
	if len(scenarios) != 1 || c.Seed == 0 {
		return eris.New("--trace needs --seed and --scenario")
	}
	report := chaos.Run(chaos.Options{Scenario: scenarios[0], Seed: c.Seed, Trace: os.Stdout})
	return violationsError([]chaos.Summary{chaos.Summarize(scenarios[0], []chaos.Report{report})})
}

func printViolations(reports []chaos.Report) {
	for _, report := range reports {
		for _, violation := range report.Violations {
			fmt.Printf("VIOLATION scenario %s seed %d at %v: %s: %s\n",
				report.Scenario, report.Seed, violation.Time.Round(time.Microsecond), violation.Check, violation.Detail)
		}
	}
}

func violationsError(summaries []chaos.Summary) error {
	for _, summary := range summaries {
		if summary.Violations > 0 {
			return errViolations
		}
	}
	return nil
}

// Number of seeds of the measurements.
const (
	failoverSeeds = 100
	inForceSeeds  = 5
)

func (c *chaosCommand) measure() error {
	for _, members := range []int{3, 5} {
		failover := chaos.MeasureFailover(members, failoverSeeds)
		fmt.Printf("%d members, leader killed: no leader    %v\n", members, failover.Leaderless)
		fmt.Printf("%d members, leader killed: next change  %v\n", members, failover.Unavailable)
	}
	for _, observers := range []int{3, 60, 660} {
		inForce := chaos.MeasurePropagation(observers, inForceSeeds)
		fmt.Printf("%3d observers, commit to in force: half %v\n", observers, inForce.Half)
		fmt.Printf("%3d observers, commit to in force: all  %v\n", observers, inForce.All)
	}
	return nil
}
