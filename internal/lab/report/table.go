package report

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// Table is a table of text cells.
type Table struct {
	Title string
	// Note explains the columns in one or two sentences.
	Note   string
	Header []string
	Rows   [][]string
}

func (t *Table) add(cells ...string) { t.Rows = append(t.Rows, cells) }

// columnPadding is the number of spaces between columns of text.
const columnPadding = 2

// writeText writes the table in aligned columns.
func (t *Table) writeText(output io.Writer) error {
	if _, err := fmt.Fprintf(output, "%s\n", t.Title); err != nil {
		return eris.Wrap(err, "write table")
	}
	writer := tabwriter.NewWriter(output, 0, 0, columnPadding, ' ', 0)
	for _, row := range append([][]string{t.Header}, t.Rows...) {
		if _, err := fmt.Fprintf(writer, "  %s\n", strings.Join(row, "\t")); err != nil {
			return eris.Wrap(err, "write table")
		}
	}
	if err := writer.Flush(); err != nil {
		return eris.Wrap(err, "write table")
	}
	_, err := fmt.Fprintln(output)
	return eris.Wrap(err, "write table")
}
