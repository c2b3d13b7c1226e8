package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/alecthomas/kong"

	"github.com/loomgrade/loomgrade/internal/port"
)

const commandLinePage = "../../docs/operators/command-line.md"

// pageRows gives the cells of the table rows under a heading of the page.
func pageRows(t *testing.T, heading string) [][]string {
	t.Helper()
	content, err := os.ReadFile(commandLinePage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(content), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("%s has no section %q", commandLinePage, heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	var rows [][]string
	for line := range strings.Lines(section) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") || strings.HasPrefix(line, "| ---") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "|"), "|")
		for index := range cells {
			cells[index] = strings.TrimSpace(cells[index])
		}
		rows = append(rows, cells)
	}
	if len(rows) < 2 {
		t.Fatalf("section %q of %s has no table", heading, commandLinePage)
	}
	return rows[1:]
}

// declaredCodes reads the codes of errors from their declaration.
func declaredCodes(t *testing.T) []port.Code {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../../internal/port/verdict.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var codes []port.Code
	ast.Inspect(file, func(node ast.Node) bool {
		spec, isValue := node.(*ast.ValueSpec)
		if !isValue || !strings.HasPrefix(spec.Names[0].Name, "Code") || len(spec.Values) != 1 {
			return true
		}
		text, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		codes = append(codes, port.Code(text))
		return true
	})
	return codes
}

// TestExitCodesAreThoseOfThePage also holds every code of an error against the
// exit code that the page gives it.
func TestExitCodesAreThoseOfThePage(t *testing.T) {
	documented := map[port.Code]int{}
	var numbers []int
	for _, row := range pageRows(t, "Exit codes") {
		number, err := strconv.Atoi(row[0])
		if err != nil {
			t.Fatalf("exit code %q: %v", row[0], err)
		}
		numbers = append(numbers, number)
		for code := range strings.FieldsSeq(strings.ReplaceAll(row[2], ",", " ")) {
			documented[port.Code(strings.Trim(code, "`"))] = number
		}
	}
	want := []int{exitOK, exitFailure, exitUsage, exitConflict, exitUnavailable, exitNotFound, exitDenied, exitAudit}
	if !slices.Equal(numbers, want) {
		t.Errorf("the page lists %v, the code has %v", numbers, want)
	}
	codes := declaredCodes(t)
	if len(codes) < 10 {
		t.Fatalf("only %d codes found", len(codes))
	}
	for _, code := range codes {
		number, found := documented[code]
		if !found {
			t.Errorf("the page does not list code %s", code)
		}
		if got := exitCode(port.NewError(port.NotRun, code, "x")); got != number {
			t.Errorf("code %s gives %d, the page says %d", code, got, number)
		}
		delete(documented, code)
	}
	for code := range documented {
		t.Errorf("the page lists code %q, which does not exist", code)
	}
}

// commandsOf lists the commands of the command line, and whether each takes
// --output.
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
		takesOutput := false
		for _, group := range leaf.AllFlags(false) {
			for _, flag := range group {
				takesOutput = takesOutput || flag.Name == "output"
			}
		}
		commands[path] = takesOutput
	}
	return commands
}

func TestCommandsAreThoseOfThePage(t *testing.T) {
	commands := commandsOf(t)
	for _, row := range pageRows(t, "Commands") {
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

// TestEveryAnswerCanBeJSON leaves out the two commands that give no answer: they
// run a process.
func TestEveryAnswerCanBeJSON(t *testing.T) {
	for name, takesOutput := range commandsOf(t) {
		if want := name != "control" && name != "node"; takesOutput != want {
			t.Errorf("%s: takes --output: %v, want %v", name, takesOutput, want)
		}
	}
}

// TestCommandsOfTheIssue names the commands that must not get lost.
func TestCommandsExist(t *testing.T) {
	commands := commandsOf(t)
	for _, name := range []string{
		"control", "node", "dev", "config get", "config set", "config history", "config status",
		"pool list", "pool show", "policy check", "policy simulate", "weights publish", "weights status",
		"replica list", "replica drain", "replica return", "member list", "member add", "member remove",
		"explain", "status", "settings check", "version",
	} {
		if _, exists := commands[name]; !exists {
			t.Errorf("no command %q", name)
		}
	}
}
