package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// outputJSON is the form of output for programs; the other form is a table.
const outputJSON = "json"

// outputFlags are common to every command that prints an answer.
type outputFlags struct {
	Output string `enum:"table,json" default:"table" help:"Form of the output: table or json."`
}

// output shows an answer as JSON or as a table.
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

// row writes one line; a failure shows when the table is flushed.
func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for index, cell := range cells {
		texts[index] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t *table) flush() error { return t.writer.Flush() }

// clock shows milliseconds since 1970 as a time, or a dash for none.
func clock(millis int64) string {
	if millis <= 0 {
		return "-"
	}
	return time.UnixMilli(millis).UTC().Format(time.RFC3339)
}

// age shows how long ago something was, or a dash where that is not known.
func age(millis int64) string {
	if millis < 0 {
		return "-"
	}
	return (time.Duration(millis) * time.Millisecond).Round(10 * time.Millisecond).String()
}
