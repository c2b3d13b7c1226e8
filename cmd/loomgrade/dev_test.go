package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
)

// devPatience bounds waiting for a fleet that starts in a second or two.
const devPatience = time.Minute

// TestFirstStepsWorkAsPrinted runs the commands that dev prints against the
// fleet that it prints them for.
func TestFirstStepsWorkAsPrinted(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), devPatience)
	defer cancel()
	fleet, err := localfleet.Start(ctx, localfleet.DevPlan(), localfleet.Options{Folder: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fleet.Close() }()
	steps, err := newFirstSteps(ctx, fleet)
	if err != nil {
		t.Fatal(err)
	}
	defer steps.remove()
	var printed strings.Builder
	steps.print(&printed)
	commands := printedCommands(printed.String())
	if len(commands) != 3 {
		t.Fatalf("%d commands in:\n%s", len(commands), printed.String())
	}
	wanted := []string{"in touch with a quorum", "staleness bound", "was placed on"}
	for index, command := range commands {
		code, answer, complained := runAlone(t, command...)
		if code != exitOK || !strings.Contains(answer, wanted[index]) {
			t.Errorf("%v: exit code %d, %q is missing in:\n%s%s", command, code, wanted[index], answer, complained)
		}
	}
	steps.remove()
	if _, err := os.Stat(steps.folder); !os.IsNotExist(err) {
		t.Errorf("the token's folder is left behind: %v", err)
	}
}

// printedCommands gives the arguments of the commands in a printed text.
func printedCommands(printed string) [][]string {
	var commands [][]string
	for line := range strings.Lines(printed) {
		if command, found := strings.CutPrefix(strings.TrimSpace(line), programName()+" "); found {
			commands = append(commands, strings.Fields(command))
		}
	}
	return commands
}

func TestDevReportsInJSON(t *testing.T) {
	code, printed, complained := runAlone(t, "dev", "--duration", "3s", "--output", "json")
	if code != exitOK {
		t.Fatalf("exit code %d: %s%s", code, printed, complained)
	}
	var report devReport
	if err := json.Unmarshal([]byte(printed), &report); err != nil {
		t.Fatalf("%v in:\n%s", err, printed)
	}
	if len(report.Trainers) != 1 || len(report.Callers) == 0 || len(report.Violations) != 0 {
		t.Errorf("report %+v", report)
	}
	if !strings.Contains(complained, "starting site dev") {
		t.Errorf("no progress in %q", complained)
	}
}
