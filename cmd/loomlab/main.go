// Command loomlab runs the test tools around loomgrade: stand-ins of the systems that it
// serves, load, experiments and audits.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// commandLine is the root of the command line; each field is a command with a file of its own.
type commandLine struct {
	StandIn standInCommand `cmd:"" name:"stand-in" help:"Run a stand-in of a system around loomgrade."`
	Run     runCommand     `cmd:"" help:"Run an experiment's variants side by side in virtual time."`
	Compare compareCommand `cmd:"" help:"Say which figures of two results are better, worse or within noise."`
	Chaos   chaosCommand   `cmd:"" help:"Run the control members under simulated faults and check invariants."`
	Audit   auditCommand   `cmd:"" help:"Run a site under simulated faults and judge it by what callers, trainers and back ends saw."`
}

// Exit codes, documented in docs/operators/experiments.md.
const (
	exitFailure = 1 // any error without a specific code, including violations
	exitUsage   = 2 // invalid command line or experiment file
	exitWorse   = 3 // compare found at least one worse figure
)

// usageError marks an error in the command line or in an experiment file.
type usageError struct{ error }

// Unwrap returns the underlying error.
func (e usageError) Unwrap() error { return e.error }

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses and executes one command line and returns the exit code.
func run(arguments []string) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("loomlab"), kong.Description("Laboratory of loomgrade."), kong.UsageOnError())
	if err != nil {
		return reportError(err, exitFailure)
	}
	context, err := parser.Parse(arguments)
	if err != nil {
		return reportError(err, exitUsage)
	}
	if err := context.Run(); err != nil {
		return reportError(err, exitCode(err))
	}
	return 0
}

func exitCode(err error) int {
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errWorse):
		return exitWorse
	default:
		return exitFailure
	}
}

// reportError prints an error on one line and returns the exit code.
func reportError(err error, code int) int {
	fmt.Fprintf(os.Stderr, "loomlab: %s\n", strings.TrimSpace(err.Error()))
	return code
}
