package main

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
	"github.com/loomgrade/loomgrade/internal/core/logtrace"
)

// logsCommand reads log lines of site processes.
type logsCommand struct {
	Explain logsExplainCommand `cmd:"" help:"Tell what happened to a request, job, item, replica or machine, from the logs of several processes."`
	Steps   logsStepsCommand   `cmd:"" help:"List the jobs that were done with their times, and the item that each waited for last."`
	Delays  logsDelaysCommand  `cmd:"" help:"List where the time of each step of a trainer went, from one job to the next."`
}

// logsExplainCommand orders the log lines of one id and names the cause.
type logsExplainCommand struct {
	ID          string   `arg:"" help:"Id of a request, job, item, replica or member."`
	Files       []string `arg:"" type:"path" help:"Files with log lines."`
	outputFlags `embed:""`
}

// maxLogLine limits one line of a log file, in bytes.
const maxLogLine = 1 << 20

// logsExplanation is the output of logs explain.
type logsExplanation struct {
	ID    string   `json:"id"`
	Lines []string `json:"lines"`
	Cause string   `json:"cause"`
}

// Run prints the log lines of an id with the meaning of each event.
func (c *logsExplainCommand) Run(std streams) error {
	lines, err := readFiles(c.Files)
	if err != nil {
		return usageError{err}
	}
	meanings := make(map[string]string, len(eventlog.Catalogue))
	for _, described := range eventlog.Catalogue {
		meanings[described.Event] = described.Meaning
	}
	selected := logtrace.Select(lines, c.ID)
	if len(selected) == 0 {
		return usageError{eris.Errorf("none of %d log lines mentions %q", len(lines), c.ID)}
	}
	explained := logsExplanation{ID: c.ID, Lines: logtrace.Format(selected, meanings), Cause: logtrace.Cause(selected)}
	return output(c.outputFlags, std, explained, func(_ *table, explained logsExplanation) {
		for _, line := range explained.Lines {
			fmt.Fprintln(std.stdout, line)
		}
	})
}

// logsStepsCommand lists jobs with their times.
type logsStepsCommand struct {
	Files       []string `arg:"" type:"path" help:"Files with log lines of store processes."`
	outputFlags `embed:""`
}

// Run prints a row for each job that a runner has finished or abandoned.
func (c *logsStepsCommand) Run(std streams) error {
	lines, err := readFiles(c.Files)
	if err != nil {
		return usageError{err}
	}
	return output(c.outputFlags, std, logtrace.Steps(lines), func(lines *table, steps []logtrace.Step) {
		lines.row("STEP", "JOB", "BEGUN", "ITEMS", "RUNS", "LAST PLACED", "WHOLE 50%", "90%", "100%", "TOOK", "LAST ITEM", "EVENTS", "MOVES", "WAITED", "REPLICA", "")
		for _, step := range steps {
			note := ""
			if !step.Ended {
				note = "(abandoned by the runner)"
			}
			lines.row(step.Step, step.Job, formatTime(step.Started), step.Items, step.Runs, step.LastPlaced, step.Whole50, step.Whole90, step.Whole100,
				step.Took, step.LastItem, step.LastEvents, step.LastMoves, step.LastWaited, step.LastReplica, note)
		}
	})
}

// logsDelaysCommand breaks the time of each step down into its delays.
type logsDelaysCommand struct {
	Files       []string `arg:"" type:"path" help:"Files with log lines of front, control and store processes."`
	Worst       int      `default:"0" help:"Show so many steps that took longest; 0 shows all, in order."`
	outputFlags `embed:""`
}

// Run prints a row for each step.
func (c *logsDelaysCommand) Run(std streams) error {
	lines, err := readFiles(c.Files)
	if err != nil {
		return usageError{err}
	}
	for _, missing := range logtrace.MissingSources(lines) {
		fmt.Fprintln(std.stderr, missing)
	}
	delays := logtrace.Delays(lines)
	if c.Worst > 0 {
		slices.SortStableFunc(delays, func(a, b logtrace.Delay) int { return cmp.Compare(b.Total, a.Total) })
		delays = delays[:min(c.Worst, len(delays))]
	}
	return output(c.outputFlags, std, delays, func(lines *table, delays []logtrace.Delay) {
		lines.row("KEPT", "MODEL", "STEP", "ITEMS", "ACCEPT", "TAKEN OVER", "FIRST WAIT", "LATER", "RAN", "UNUSED", "SCORED", "READ", "NAMED", "ASKED", "TOTAL", "UNEXPLAINED", "REFUSED", "CUT", "DECIDING ITEM", "")
		for _, d := range delays {
			note := ""
			if !d.Whole {
				note = "(incomplete)"
			}
			lines.row(formatTime(d.AcceptedAt), d.Model, d.Step, d.Items, d.Accept, d.StartDelay, d.FirstWait, d.LaterWaits, d.Ran, d.Unused, d.Scored, d.Read,
				d.PublishDelay, d.NextJobDelay, d.Total, d.Unexplained, d.Refused, d.Cut, d.Deciding, note)
		}
	})
}

func readFiles(paths []string) ([]logtrace.Line, error) {
	var lines []logtrace.Line
	for _, path := range paths {
		read, err := readLines(path)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

func readLines(path string) ([]logtrace.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "log file")
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	var lines []logtrace.Line
	for scanner.Scan() {
		if line, ok := logtrace.Parse(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, eris.Wrapf(scanner.Err(), "log file %s", path)
}
