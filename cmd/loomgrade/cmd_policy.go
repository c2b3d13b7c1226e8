package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/loomgrade/loomgrade/internal/core/policy"
)

// policyCommand groups the commands on policy programs. They need no fleet.
type policyCommand struct {
	Check    policyCheckCommand    `cmd:"" help:"Compile a policy program and run it on the standard views."`
	Simulate policySimulateCommand `cmd:"" help:"Show what a policy program decides on each standard view."`
}

// policyCheckCommand says whether a program would be accepted.
type policyCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"Starlark file with def plan(pool)."`
}

// Run checks the program; what is wrong comes with its line or field.
func (c *policyCheckCommand) Run(std streams) error {
	trials, err := checkPolicyFile(c.File)
	if err != nil {
		return err
	}
	var most uint64
	for _, trial := range trials {
		most = max(most, trial.Steps)
	}
	_, err = fmt.Fprintf(std.stdout, "%s: accepted on %d views, at most %d of %d steps\n",
		c.File, len(trials), most, policy.DefaultMaxSteps)
	return err
}

// policySimulateCommand shows a program's plans.
type policySimulateCommand struct {
	File string `arg:"" type:"existingfile" help:"Starlark file with def plan(pool)."`
}

// Run prints a row for each standard view.
func (c *policySimulateCommand) Run(std streams) error {
	trials, err := checkPolicyFile(c.File)
	lines := newTable(std.stdout)
	lines.row("VIEW", "VERSION", "IN FLIGHT", "BUFFERED", "TARGET", "MIN VERSION", "EXTRA", "LONG FROM", "RESUME", "SELECTION", "ZONES", "EXCLUDED", "STEPS")
	for _, trial := range trials {
		showTrial(lines, trial)
	}
	if flushErr := lines.flush(); flushErr != nil && err == nil {
		err = flushErr
	}
	return err
}

func showTrial(lines *table, trial policy.Trial) {
	if trial.Err != nil {
		lines.row(trial.Name, trial.View.Version, trial.View.InFlight, trial.View.Buffered, "error: "+trial.Err.Error())
		return
	}
	plan := trial.Plan
	zones := make([]string, 0, len(plan.Zones))
	for _, zone := range plan.Zones {
		zones = append(zones, string(zone))
	}
	if len(zones) == 0 {
		zones = append(zones, "all")
	}
	lines.row(trial.Name, trial.View.Version, trial.View.InFlight, trial.View.Buffered,
		plan.TargetInFlight, plan.MinVersion, plan.OverProvision, plan.LongTokens, plan.Resume, plan.Selection,
		strings.Join(zones, ","), len(plan.Exclude), trial.Steps)
}

// checkPolicyFile reads a file and runs the program on the standard views. It is
// a usage error when the program is not allowed.
func checkPolicyFile(file string) ([]policy.Trial, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError{err}
	}
	trials, err := policy.Check(string(source))
	if err != nil {
		return trials, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	return trials, nil
}
