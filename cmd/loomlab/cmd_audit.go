package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/sim/fault"
)

// errBroken makes the command exit non-zero.
var errBroken = eris.New("promises were broken")

// Settings of the garbage collector.
const (
	garbagePercent = 400
	memoryLimit    = 1 << 30
)

// auditCommand runs the site in virtual time under faults, and judges it by what
// the systems around loomgrade saw.
type auditCommand struct {
	Seeds    int    `default:"20" help:"Number of seeds for each scenario, from 1 on."`
	Scenario string `help:"Run this scenario only."`
	Seed     uint64 `help:"Run this seed only."`
	Trace    bool   `help:"Print what happens in a run; needs --seed and --scenario."`
	Parallel int    `default:"4" help:"Runs at a time."`
}

// Run implements the command.
func (c *auditCommand) Run() error {
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	// The runs make much garbage and keep little.
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(memoryLimit)
	if c.Trace {
		return c.trace(scenarios)
	}
	first, count := uint64(1), c.Seeds
	if c.Seed != 0 {
		first, count = c.Seed, 1
	}
	var summaries []fault.Summary
	broken := 0
	for _, scenario := range scenarios {
		reports, err := fault.RunMany(context.Background(), fault.Options{Scenario: scenario}, first, count, c.Parallel)
		if err != nil {
			return eris.Wrap(err, "run scenario")
		}
		for index := range reports {
			printBroken(&reports[index])
		}
		summary := fault.Summarize(scenario, reports)
		broken += summary.Violations
		summaries = append(summaries, summary)
	}
	if err := fault.WriteTable(os.Stdout, summaries); err != nil {
		return eris.Wrap(err, "write table")
	}
	fmt.Println()
	if err := fault.WriteFaults(os.Stdout, summaries); err != nil {
		return eris.Wrap(err, "write table")
	}
	if broken > 0 {
		return errBroken
	}
	return nil
}

func (c *auditCommand) scenarios() ([]fault.Scenario, error) {
	if c.Scenario == "" {
		return fault.Scenarios(), nil
	}
	scenario, found := fault.FindScenario(c.Scenario)
	if !found {
		names := make([]string, 0, len(fault.Scenarios()))
		for _, scenario := range fault.Scenarios() {
			names = append(names, scenario.Name)
		}
		return nil, eris.Errorf("scenario %q, allowed: %s", c.Scenario, strings.Join(names, ", "))
	}
	return []fault.Scenario{scenario}, nil
}

// trace replays one run and prints each step that matters.
func (c *auditCommand) trace(scenarios []fault.Scenario) error {
	if len(scenarios) != 1 || c.Seed == 0 {
		return eris.New("--trace needs --seed and --scenario")
	}
	report, err := fault.Run(fault.Options{Scenario: scenarios[0], Seed: c.Seed, Trace: os.Stdout})
	if err != nil {
		return eris.Wrap(err, "run scenario")
	}
	printBroken(&report)
	if report.ProblemCount() > 0 {
		return errBroken
	}
	return nil
}

// printBroken prints what was found wrong in a run.
func printBroken(report *fault.Report) {
	for _, violation := range report.Violations {
		fmt.Printf("VIOLATION scenario %s seed %d: %v\n", report.Scenario, report.Seed, violation)
	}
	for _, failure := range report.Failures {
		fmt.Printf("FAILURE scenario %s seed %d: %s\n", report.Scenario, report.Seed, failure)
	}
}
