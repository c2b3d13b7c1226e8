package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// outputJSON selects JSON output; the alternative is a table.
const outputJSON = "json"

// outputFlags are the flags of every command that prints a result.
type outputFlags struct {
	Output string `enum:"table,json" default:"table" help:"Form of the output: table or json."`
}

// output prints a result as JSON or as a table.
func output[Answer any](flags outputFlags, std streams, answer Answer, show func(*table, Answer)) error {
	if flags.Output == outputJSON {
		encoder := json.NewEncoder(std.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(answer)
	}
	lines := newTable(std.stdout)
	show(lines, answer)
	return lines.flush()
}

// table writes aligned columns.
type table struct{ writer *tabwriter.Writer }

func newTable(out io.Writer) *table {
	const minWidth, tabWidth, padding = 0, 8, 2
	return &table{writer: tabwriter.NewWriter(out, minWidth, tabWidth, padding, ' ', 0)}
}

// row writes one line. flush returns any write error.
func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for index, cell := range cells {
		texts[index] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t *table) flush() error { return t.writer.Flush() }

// formatTime formats Unix milliseconds as a UTC time, or "-" if they are not positive.
func formatTime(millis int64) string {
	if millis <= 0 {
		return "-"
	}
	return time.UnixMilli(millis).UTC().Format(time.RFC3339)
}

// formatAge formats a duration in milliseconds, or "-" if it is negative (unknown).
func formatAge(millis int64) string {
	if millis < 0 {
		return "-"
	}
	return (time.Duration(millis) * time.Millisecond).Round(10 * time.Millisecond).String()
}
