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

// errAuditViolations is returned when an audit reports violations.
var errAuditViolations = eris.New("audit violations found")

// Garbage collector settings: a run allocates much and retains little.
const (
	gcPercent   = 400
	memoryLimit = 1 << 30
)

// auditCommand runs a site in virtual time under faults and audits what the systems around
// loomgrade observed.
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
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	if c.Trace {
		return c.trace(scenarios)
	}
	first, count := uint64(1), c.Seeds
	if c.Seed != 0 {
		first, count = c.Seed, 1
	}
	var summaries []fault.Summary
	violations := 0
	for _, scenario := range scenarios {
		reports, err := fault.RunMany(context.Background(), fault.Options{Scenario: scenario}, first, count, c.Parallel)
		if err != nil {
			return eris.Wrap(err, "run scenario")
		}
		for index := range reports {
			printFindings(&reports[index])
		}
		summary := fault.Summarize(scenario, reports)
		violations += summary.Violations
		summaries = append(summaries, summary)
	}
	if err := fault.WriteTable(os.Stdout, summaries); err != nil {
		return eris.Wrap(err, "write table")
	}
	fmt.Println()
	if err := fault.WriteFaults(os.Stdout, summaries); err != nil {
		return eris.Wrap(err, "write table")
	}
	if violations > 0 {
		return errAuditViolations
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

// trace replays one run and prints its trace.
func (c *auditCommand) trace(scenarios []fault.Scenario) error {
	if len(scenarios) != 1 || c.Seed == 0 {
		return eris.New("--trace needs --seed and --scenario")
	}
	report, err := fault.Run(fault.Options{Scenario: scenarios[0], Seed: c.Seed, Trace: os.Stdout})
	if err != nil {
		return eris.Wrap(err, "run scenario")
	}
	printFindings(&report)
	if report.ProblemCount() > 0 {
		return errAuditViolations
	}
	return nil
}

// printFindings prints the violations and failures of a run.
func printFindings(report *fault.Report) {
	for _, violation := range report.Violations {
		fmt.Printf("VIOLATION scenario %s seed %d: %v\n", report.Scenario, report.Seed, violation)
	}
	for _, failure := range report.Failures {
		fmt.Printf("FAILURE scenario %s seed %d: %s\n", report.Scenario, report.Seed, failure)
	}
}
