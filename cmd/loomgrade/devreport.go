package main

import (
	"fmt"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/load"
	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
	"github.com/loomgrade/loomgrade/internal/lab/localsite"
)

// devReport summarizes a run of the dev command.
type devReport struct {
	Callers    []load.ClassResult          `json:"callers"`
	Trainers   []localfleet.TrainerSummary `json:"trainers"`
	Jobs       jobsReport                  `json:"jobs"`
	Violations []audit.Violation           `json:"violations"`
}

// jobsReport summarizes the jobs of the site that runs next to the fleet.
type jobsReport struct {
	localsite.Summary
	Violations []localsite.Violation `json:"violations"`
}

func showDevReport(lines *table, report devReport) {
	lines.row("CALLERS", "ANSWERED", "REFUSED (NOT RUN)", "OTHER FAILURES", "P50", "P99")
	for _, class := range report.Callers {
		answered, refused := class.Outcomes[audit.OutcomeAnswered], class.Outcomes[audit.OutcomeNotRun]
		lines.row(class.Class, answered, refused, countCalls(class)-answered-refused,
			class.P50.Round(time.Millisecond/10), class.P99.Round(time.Millisecond/10))
	}
	lines.row("TRAINERS", "STEPS", "SAMPLES", "IDLE SHARE", "STALENESS P50/P99/MAX", "VERSION")
	for _, trainer := range report.Trainers {
		lines.row(trainer.Pool, trainer.Steps, trainer.Samples, fmt.Sprintf("%.3f", trainer.IdleShare),
			fmt.Sprintf("%d/%d/%d", trainer.StalenessP50, trainer.StalenessP99, trainer.StalenessMax), trainer.Version)
	}
	for _, trainer := range report.Trainers {
		if trainer.LastError != "" {
			lines.row("", trainer.Pool, "last error: "+trainer.LastError)
		}
	}
	lines.row("JOBS", "DONE", "RESULTS", "GIVEN UP", "SLOWEST", "VERSION")
	lines.row(localsite.Model, report.Jobs.Jobs, report.Jobs.Results, report.Jobs.Errored,
		time.Duration(report.Jobs.SlowestMs)*time.Millisecond, report.Jobs.Version)
	lines.row("AUDIT", fmt.Sprintf("%d violations", len(report.Violations)+len(report.Jobs.Violations)))
	for _, violation := range report.Violations {
		lines.row("", violation)
	}
	for _, violation := range report.Jobs.Violations {
		lines.row("", violation)
	}
}

func countCalls(class load.ClassResult) int {
	sum := 0
	for _, count := range class.Outcomes {
		sum += count
	}
	return sum
}
