package testkit

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Root returns the root folder of the repository: the nearest parent folder with a go.mod.
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
			t.Fatal("no parent folder contains go.mod")
		}
		folder = parent
	}
}

// Page returns the text of a page, named by its path from the repository root.
func Page(t testing.TB, path string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(Root(t), path))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// PageRows returns the table rows, without heading rows, under a second-level heading of a
// Markdown page.
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

// TableRows returns the cells of the rows of every table in a Markdown text, without heading
// rows.
func TableRows(text string) [][]string {
	var rows [][]string
	lines := strings.Split(text, "\n")
	for index, line := range lines {
		isHeading := index+1 < len(lines) && isDelimiterRow(lines[index+1])
		if !strings.HasPrefix(line, "|") || isDelimiterRow(line) || isHeading {
			continue
		}
		rows = append(rows, cellsOf(line))
	}
	return rows
}

// isDelimiterRow reports whether a line separates a table's heading from its rows.
func isDelimiterRow(line string) bool {
	return strings.HasPrefix(line, "|") && strings.Trim(line, "|-: ") == ""
}

func cellsOf(line string) []string {
	cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
	for index := range cells {
		cells[index] = strings.TrimSpace(cells[index])
	}
	return cells
}

// CodeSpans returns the texts between backquotes in a cell.
func CodeSpans(cell string) []string {
	var spans []string
	for index, part := range strings.Split(cell, "`") {
		if index%2 == 1 {
			spans = append(spans, part)
		}
	}
	return spans
}
