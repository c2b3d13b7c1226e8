package chaos

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Summary holds the totals of the reports of one scenario.
type Summary struct {
	Scenario   Scenario
	Seeds      int
	Steps      uint64
	Faults     int
	Accepted   int
	Batches    int
	Repairs    int
	Violations int
	Coverage   Coverage
	// Failing lists the seeds with violations.
	Failing []uint64
}

// Summarize returns the totals of reports of one scenario.
func Summarize(scenario Scenario, reports []Report) Summary {
	summary := Summary{Scenario: scenario, Seeds: len(reports)}
	for _, report := range reports {
		summary.Steps += report.Steps
		summary.Faults += report.Faults
		summary.Accepted += report.Accepted
		summary.Batches += report.Batches
		summary.Repairs += report.Repairs
		summary.Coverage.add(report.Coverage)
		summary.Violations += len(report.Violations)
		if len(report.Violations) > 0 {
			summary.Failing = append(summary.Failing, report.Seed)
		}
	}
	return summary
}

// WriteTable writes summaries as a table.
func WriteTable(to io.Writer, summaries []Summary) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := []string{"scenario\tseeds\tvirtual time\tsteps\tfaults\tchanges accepted\tbatches\trepairs\tviolations\t"}
	for _, summary := range summaries {
		virtual := time.Duration(summary.Seeds) * (summary.Scenario.FaultDuration + recoveryTime)
		rows = append(rows, fmt.Sprintf("%s\t%d\t%v\t%d\t%d\t%d\t%d\t%d\t%d\t",
			summary.Scenario.Name, summary.Seeds, virtual.Round(time.Minute), summary.Steps, summary.Faults,
			summary.Accepted, summary.Batches, summary.Repairs, summary.Violations))
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}
