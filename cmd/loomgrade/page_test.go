package main

import (
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const commandLinePage = "docs/operators/command-line.md"

// TestExitCodesMatchPage also compares the exit code of every error code with the
// page.
func TestExitCodesMatchPage(t *testing.T) {
	documented := map[port.Code]int{}
	var numbers []int
	for _, row := range testkit.PageRows(t, commandLinePage, "Exit codes") {
		number, err := strconv.Atoi(row[0])
		if err != nil {
			t.Fatalf("exit code %q: %v", row[0], err)
		}
		numbers = append(numbers, number)
		for _, code := range testkit.CodeSpans(row[2]) {
			documented[port.Code(code)] = number
		}
	}
	want := []int{exitOK, exitFailure, exitUsage, exitConflict, exitUnavailable, exitNotFound, exitDenied, exitAudit}
	if !slices.Equal(numbers, want) {
		t.Errorf("the page lists %v, the code has %v", numbers, want)
	}
	for _, code := range testkit.ErrorCodes(t) {
		number, found := documented[code]
		if !found {
			t.Errorf("the page does not list code %s", code)
		}
		if got := exitCode(port.NewError(port.NotRun, code, "x")); got != number {
			t.Errorf("code %s: exit code %d, the page lists %d", code, got, number)
		}
		delete(documented, code)
	}
	for code := range documented {
		t.Errorf("the page lists code %q, which does not exist", code)
	}
}

// commandsOf returns the commands of the command line, and whether each accepts --output.
func commandsOf(t *testing.T) map[string]bool {
	t.Helper()
	var line commandLine
	parser, err := kong.New(&line)
	if err != nil {
		t.Fatal(err)
	}
	commands := map[string]bool{}
	for _, leaf := range parser.Model.Leaves(true) {
		path := strings.TrimPrefix(leaf.FullPath(), parser.Model.Name+" ")
		acceptsOutput := false
		for _, group := range leaf.AllFlags(false) {
			for _, flag := range group {
				acceptsOutput = acceptsOutput || flag.Name == "output"
			}
		}
		commands[path] = acceptsOutput
	}
	return commands
}

func TestCommandsMatchPage(t *testing.T) {
	commands := commandsOf(t)
	for _, row := range testkit.PageRows(t, commandLinePage, "Commands") {
		name, _, _ := strings.Cut(strings.Trim(row[0], "`"), " UPPER")
		name = strings.TrimPrefix(name, "loomgrade ")
		words := slices.DeleteFunc(strings.Fields(name), func(word string) bool {
			return strings.ToUpper(word) == word || strings.HasPrefix(word, "[")
		})
		name = strings.Join(words, " ")
		if _, exists := commands[name]; !exists {
			t.Errorf("the page lists %q, which does not exist", name)
		}
		delete(commands, name)
	}
	for name := range commands {
		t.Errorf("the page does not list %q", name)
	}
}

// TestResultCommandsSupportJSON excludes the commands that run a process and print no result.
func TestResultCommandsSupportJSON(t *testing.T) {
	processes := []string{"control", "node", "site front", "site control", "site store"}
	for name, acceptsOutput := range commandsOf(t) {
		if want := !slices.Contains(processes, name); acceptsOutput != want {
			t.Errorf("%s: accepts --output: %v, want %v", name, acceptsOutput, want)
		}
	}
}

// TestCommandsExist guards against the loss of a command.
func TestCommandsExist(t *testing.T) {
	commands := commandsOf(t)
	for _, name := range []string{
		"control", "node", "site front", "site control", "site store", "dev", "config get", "config set", "config history", "config status",
		"pool list", "pool show", "policy check", "policy simulate", "weights publish", "weights status",
		"replica list", "replica drain", "replica return", "member list", "member add", "member remove",
		"explain", "status", "settings check", "version",
		"logs explain", "logs steps", "job submit", "job list", "job results", "job end", "store status", "store evacuate",
	} {
		if _, exists := commands[name]; !exists {
			t.Errorf("no command %q", name)
		}
	}
}
