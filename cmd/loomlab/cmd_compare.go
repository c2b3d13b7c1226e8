package main

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
	"github.com/loomgrade/loomgrade/internal/lab/report"
)

// errWorse is returned when a figure is worse; it has its own exit code.
var errWorse = eris.New("at least one figure is worse")

// compareCommand compares the results of two experiment runs.
type compareCommand struct {
	Before     string  `arg:"" help:"Results file or output folder to compare with."`
	After      string  `arg:"" help:"Results file or output folder to judge."`
	Confidence float64 `default:"0.95" help:"Confidence of the intervals, between 0 and 1."`
	All        bool    `help:"List figures within noise too."`
}

// Run implements the command.
func (c *compareCommand) Run() error {
	if !(c.Confidence > 0 && c.Confidence < 1) {
		return usageError{eris.Errorf("--confidence = %g is not allowed, allowed: between 0 and 1", c.Confidence)}
	}
	before, err := experiment.ReadResults(c.Before)
	if err != nil {
		return err
	}
	after, err := experiment.ReadResults(c.After)
	if err != nil {
		return err
	}
	changes := experiment.Compare(before, after, c.Confidence)
	if len(changes) == 0 {
		return eris.Errorf("%s and %s have no variant with a common figure", c.Before, c.After)
	}
	if err := report.WriteComparison(os.Stdout, changes, c.All); err != nil {
		return err
	}
	for _, change := range changes {
		if change.Verdict == experiment.VerdictWorse {
			return errWorse
		}
	}
	return nil
}
