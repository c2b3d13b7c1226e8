package testkit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Root gives the folder of the repository: the nearest one above the test's
// that holds go.mod.
func Root(t testing.TB) string {
	t.Helper()
	folder, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.mod")); err == nil {
			return folder
		}
		parent := filepath.Dir(folder)
		if parent == folder {
			t.Fatal("no folder above holds go.mod")
		}
		folder = parent
	}
}

// Page reads a page of the repository, by its path from the root.
func Page(t testing.TB, path string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(Root(t), path))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// PageRows gives the cells of the table rows under a second-level heading of a
// Markdown page, without the rows of headings.
func PageRows(t testing.TB, path, heading string) [][]string {
	t.Helper()
	_, section, found := strings.Cut(Page(t, path), "\n## "+heading+"\n")
	if !found {
		t.Fatalf("%s has no section %q", path, heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	rows := TableRows(section)
	if len(rows) == 0 {
		t.Fatalf("section %q of %s has no table", heading, path)
	}
	return rows
}

// TableRows gives the cells of the rows of every table in a Markdown text,
// without the rows of headings.
func TableRows(text string) [][]string {
	var rows [][]string
	lines := strings.Split(text, "\n")
	for index, line := range lines {
		isHeading := index+1 < len(lines) && isRule(lines[index+1])
		if !strings.HasPrefix(line, "|") || isRule(line) || isHeading {
			continue
		}
		rows = append(rows, cellsOf(line))
	}
	return rows
}

// isRule says that a line parts a table's headings from its rows.
func isRule(line string) bool {
	return strings.HasPrefix(line, "|") && strings.Trim(line, "|-: ") == ""
}

func cellsOf(line string) []string {
	cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
	for index := range cells {
		cells[index] = strings.TrimSpace(cells[index])
	}
	return cells
}

// Quoted gives the texts between backquotes of a cell.
func CodeSpans(cell string) []string {
	var quoted []string
	for index, part := range strings.Split(cell, "`") {
		if index%2 == 1 {
			quoted = append(quoted, part)
		}
	}
	return quoted
}
