// Command loomgrade runs the processes of a rollout service for reinforcement
// learning and provides the operator commands.
package main

import (
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

// commandLine is the root of the command line; each field is a command.
type commandLine struct {
	Control    controlCommand    `cmd:"" help:"Run a control member from its settings file."`
	Node       nodeCommand       `cmd:"" help:"Run a node from its settings file."`
	Dev        devCommand        `cmd:"" help:"Run a whole fleet with stand-ins in one process."`
	Explain    explainCommand    `cmd:"" help:"Tell why a request, sample, batch, replica or revision went as it did."`
	Config     configCommand     `cmd:"" help:"Show and change the configuration."`
	Pool       poolCommand       `cmd:"" help:"Show pools."`
	Policy     policyCommand     `cmd:"" help:"Check and simulate policy programs."`
	Weights    weightsCommand    `cmd:"" help:"Publish weight versions and see where they are served."`
	Replica    replicaCommand    `cmd:"" help:"List, drain and return replicas."`
	Member     memberCommand     `cmd:"" help:"List, add, promote and remove control members."`
	Status     statusCommand     `cmd:"" help:"Show the state of the control group."`
	Settings   settingsCommand   `cmd:"" help:"Check settings files."`
	Site       siteCommand       `cmd:"" help:"Run the processes of a site whose members find each other."`
	Logs       logsCommand       `cmd:"" help:"Read the log lines of a site's processes."`
	Job        jobCommand        `cmd:"" help:"Show and end the jobs of a site."`
	Store      storeCommand      `cmd:"" help:"Show and empty the store machines of a site."`
	Quarantine quarantineCommand `cmd:"" help:"Show and release requests that a site withholds."`
	Drain      drainCommand      `cmd:"" help:"Keep a site's requests away from the replicas of a zone."`
	Version    versionCommand    `cmd:"" help:"Print the version."`
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run parses and executes one command line and returns the exit code.
func run(arguments []string, stdout, stderr *os.File) int {
	var line commandLine
	parser, err := kong.New(&line,
		kong.Name(filepath.Base("loomgrade")),
		kong.Description("Rollout service for reinforcement learning."),
		kong.UsageOnError(),
		kong.Writers(stdout, stderr),
		kong.Bind(streams{stdout: stdout, stderr: stderr}),
	)
	if err != nil {
		return report(stderr, err)
	}
	context, err := parser.Parse(arguments)
	if err != nil {
		return report(stderr, usageError{err})
	}
	return report(stderr, context.Run())
}
