package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/loomgrade/loomgrade/internal/core/policy"
)

// policyCommand groups the policy program commands. They run without a fleet.
type policyCommand struct {
	Check    policyCheckCommand    `cmd:"" help:"Compile a policy program and run it on the standard views."`
	Simulate policySimulateCommand `cmd:"" help:"Show what a policy program decides on standard views or on a view of your own."`
}

// policyCheckCommand checks whether a program would be accepted.
type policyCheckCommand struct {
	File string `arg:"" type:"existingfile" help:"Starlark file with def plan(pool)."`

	outputFlags `embed:""`
}

// policyAccepted describes a program that passed the check.
type policyAccepted struct {
	File  string `json:"file"`
	Views int    `json:"views"`
	// Steps is the largest number of interpreter steps of any view; MaxSteps is the limit.
	Steps    uint64 `json:"steps"`
	MaxSteps uint64 `json:"max_steps"`
}

// Run checks the program. Errors name a line or a field.
func (c *policyCheckCommand) Run(std streams) error {
	program, err := compilePolicy(c.File)
	if err != nil {
		return err
	}
	views := policy.StandardViews()
	trials, err := policy.CheckProgram(program, views)
	if err != nil {
		return policyError(c.File, err)
	}
	accepted := policyAccepted{File: c.File, Views: len(views), MaxSteps: policy.DefaultMaxSteps}
	for _, trial := range trials {
		accepted.Steps = max(accepted.Steps, trial.Steps)
	}
	return output(c.outputFlags, std, accepted, func(lines *table, accepted policyAccepted) {
		lines.row(accepted.File, "accepted")
		lines.row("views", accepted.Views)
		lines.row("steps", accepted.Steps, "of", accepted.MaxSteps)
	})
}

// policySimulateCommand shows the plans of a program.
type policySimulateCommand struct {
	File string            `arg:"" type:"existingfile" help:"Starlark file with def plan(pool)."`
	View string            `type:"existingfile" help:"JSON file with a view: the fields of the program's argument, replicas among them."`
	From string            `help:"Name of the standard view to start from, as shown without flags."`
	Set  map[string]string `mapsep:"," help:"Fields of the view to change, as in_flight=12,trainer_waiting=true."`

	outputFlags `embed:""`
}

// Run prints a plan for each view, even if the program fails on some views.
func (c *policySimulateCommand) Run(std streams) error {
	program, err := compilePolicy(c.File)
	if err != nil {
		return err
	}
	views, err := c.views()
	if err != nil {
		return usageError{err}
	}
	trials, failure := policy.CheckProgram(program, views)
	simulations := make([]simulation, len(trials))
	for index, trial := range trials {
		simulations[index] = newSimulation(trial)
	}
	if err := output(c.outputFlags, std, simulations, showSimulations); err != nil {
		return err
	}
	if failure != nil {
		return policyError(c.File, failure)
	}
	return nil
}

// views returns the view described by the flags, or the standard views without flags.
func (c *policySimulateCommand) views() ([]policy.NamedView, error) {
	if c.View == "" && c.From == "" && len(c.Set) == 0 {
		return policy.StandardViews(), nil
	}
	if c.View != "" && c.From != "" {
		return nil, errors.New("--view and --from: both set, allowed: one of them")
	}
	view, name, err := c.startView()
	if err != nil {
		return nil, err
	}
	if err := changeView(&view, c.Set); err != nil {
		return nil, err
	}
	return []policy.NamedView{{Name: name, View: view}}, nil
}

func (c *policySimulateCommand) startView() (policy.View, string, error) {
	if c.View != "" {
		view, err := readView(c.View)
		return view, c.View, err
	}
	from := c.From
	if from == "" {
		from = defaultView
	}
	var names []string
	for _, named := range policy.StandardViews() {
		if named.Name == from {
			return named.View, from, nil
		}
		names = append(names, named.Name)
	}
	return policy.View{}, "", fmt.Errorf("--from = %q is not allowed, allowed: %s", from, strings.Join(names, "; "))
}

// compilePolicy reads and compiles a program.
func compilePolicy(file string) (*policy.Program, error) {
	source, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError{err}
	}
	program, err := policy.Compile(string(source))
	if err != nil {
		return nil, policyError(file, err)
	}
	return program, nil
}

// policyError returns a usage error that replaces the program's internal file name by file.
func policyError(file string, err error) error {
	text := strings.ReplaceAll(err.Error(), policy.FileName+":", file+":")
	if !strings.Contains(text, file) {
		text = file + ": " + text
	}
	return usageError{errors.New(text)}
}
