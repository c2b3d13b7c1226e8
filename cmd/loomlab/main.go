// Command loomlab runs the laboratory around loomgrade: stand-ins of the
// systems that it serves, load, experiments and audits.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// commandLine is the root of the command line: one field a command, one file
// a command.
type commandLine struct {
	StandIn standInCommand `cmd:"" name:"stand-in" help:"Run a stand-in of a system around loomgrade."`
	Chaos   chaosCommand   `cmd:"" help:"Run the control members under simulated faults and check invariants."`
}

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses and runs one command line and gives the exit code.
func run(arguments []string) int {
	var line commandLine
	parser, err := kong.New(&line, kong.Name("loomlab"), kong.Description("Laboratory of loomgrade."), kong.UsageOnError())
	if err != nil {
		return report(err, exitFailure)
	}
	context, err := parser.Parse(arguments)
	if err != nil {
		return report(err, exitUsage)
	}
	if err := context.Run(); err != nil {
		return report(err, exitFailure)
	}
	return 0
}

// report prints an error in one line and gives the exit code back.
func report(err error, code int) int {
	fmt.Fprintf(os.Stderr, "loomlab: %s\n", strings.TrimSpace(err.Error()))
	return code
}
