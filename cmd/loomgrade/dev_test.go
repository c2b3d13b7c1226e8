package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
)

// devTimeout limits a test that starts a fleet.
const devTimeout = time.Minute

// TestFirstStepsWorkAsPrinted runs the commands that dev prints against their fleet.
func TestFirstStepsWorkAsPrinted(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), devTimeout)
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
	commands := parseCommands(printed.String())
	if len(commands) != 3 {
		t.Fatalf("%d commands in:\n%s", len(commands), printed.String())
	}
	want := []string{"in touch with a quorum", "staleness bound", "was placed on"}
	for index, command := range commands {
		code, answer, stderr := runCommand(t, command...)
		if code != exitOK || !strings.Contains(answer, want[index]) {
			t.Errorf("%v: exit code %d, %q is missing in:\n%s%s", command, code, want[index], answer, stderr)
		}
	}
	explainEachKind(t, ctx, fleet, steps)
	steps.remove()
	if _, err := os.Stat(steps.folder); !os.IsNotExist(err) {
		t.Errorf("the token folder still exists: %v", err)
	}
}

// explainEachKind runs explain for each kind of id that its help lists, and for unknown ids.
func explainEachKind(t *testing.T, ctx context.Context, fleet *localfleet.Fleet, steps *firstSteps) {
	t.Helper()
	trainer := fleet.Trainers()[0]
	for trainer.Stats().Steps < 2 {
		select {
		case <-ctx.Done():
			t.Fatal("the trainer received no second batch")
		case <-time.After(10 * time.Millisecond):
		}
	}
	sample := trainer.Observations().Deliveries[0].Samples[0].ID
	token := filepath.Join(steps.folder, "operator.token")
	for id, want := range map[string]string{
		"b-captions-1-1":     "Batch captions/1 was committed",
		"batch/captions/1":   "Batch captions/1 was committed",
		sample:               "Batch captions/1 was committed",
		"captions-1":         "Replica captions-1 was ordered",
		"1":                  "Configuration revision 1 was accepted",
		"r-node-zone-a-1-99": "",
		"999":                "",
	} {
		code, answer, stderr := runCommand(t, "explain", id, "--node", fleet.NodeURL(0),
			"--server", fleet.OperatorAddress(0), "--token-file", token)
		wantCode := exitOK
		if want == "" {
			wantCode = exitNotFound
		}
		if code != wantCode || !strings.Contains(answer, want) {
			t.Errorf("explain %s: exit code %d, %q is missing in:\n%s%s", id, code, want, answer, stderr)
		}
	}
}

// parseCommands returns the arguments of the commands in a printed text.
func parseCommands(printed string) [][]string {
	var commands [][]string
	for line := range strings.Lines(printed) {
		if command, found := strings.CutPrefix(strings.TrimSpace(line), programName()+" "); found {
			commands = append(commands, strings.Fields(command))
		}
	}
	return commands
}

func TestDevReportsInJSON(t *testing.T) {
	code, stdout, stderr := runCommand(t, "dev", "--duration", "3s", "--output", "json")
	if code != exitOK {
		t.Fatalf("exit code %d: %s%s", code, stdout, stderr)
	}
	var report devReport
	if err := json.Unmarshal([]byte(stdout), &report); err != nil {
		t.Fatalf("%v in:\n%s", err, stdout)
	}
	if len(report.Jobs.Violations) != 0 {
		t.Errorf("jobs: %+v", report.Jobs)
	}
	if len(report.Trainers) != 1 || len(report.Callers) == 0 || len(report.Violations) != 0 {
		t.Errorf("report %+v", report)
	}
	if !strings.Contains(stderr, "starting site dev") {
		t.Errorf("no progress in %q", stderr)
	}
}
