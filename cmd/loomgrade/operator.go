package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// operatorFlags are common to the commands that talk to control members.
type operatorFlags struct {
	Server    []string      `env:"LOOMGRADE_SERVERS" default:"127.0.0.1:7111,127.0.0.1:7112,127.0.0.1:7113" help:"Operator addresses (IP:port) of control members, tried in order."`
	TokenFile string        `env:"LOOMGRADE_TOKEN_FILE" required:"" type:"path" help:"File that holds the operator token."`
	Output    string        `enum:"table,json" default:"table" help:"Form of the output: table or json."`
	Timeout   time.Duration `default:"30s" help:"How long to try."`
}

// connect gives a client and a context bounded by the timeout.
func (f *operatorFlags) connect() (*operatorapi.Client, context.Context, context.CancelFunc, error) {
	token, err := operatorapi.LoadToken(f.TokenFile)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	client, err := operatorapi.NewClient(f.Server, token)
	if err != nil {
		return nil, nil, nil, usageError{err}
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	return client, ctx, cancel, nil
}

// query makes one call and shows its answer as JSON or as a table.
func query[Answer any](flags *operatorFlags, std streams, call func(*operatorapi.Client, context.Context) (Answer, error), show func(*table, Answer)) error {
	client, ctx, cancel, err := flags.connect()
	if err != nil {
		return err
	}
	defer cancel()
	answer, err := call(client, ctx)
	if err != nil {
		return err
	}
	return output(flags, std, answer, show)
}

// output shows an answer as JSON or as a table.
func output[Answer any](flags *operatorFlags, std streams, answer Answer, show func(*table, Answer)) error {
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

func showAccepted(lines *table, accepted operatorapi.Accepted) {
	lines.row("accepted, revision", accepted.Revision)
}

// unsure adds to an error whose change may have been accepted how to find out.
func unsure(err error, changeID string) error {
	if refusal := port.AsError(err); refusal != nil && refusal.Verdict == port.MayHaveRun {
		advised := *refusal
		advised.Message += "; the change may have been accepted: repeat the command with --change-id " + changeID
		return &advised
	}
	return err
}
