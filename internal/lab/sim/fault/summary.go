package fault

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Summary adds up the reports of one scenario.
type Summary struct {
	Scenario  Scenario
	Seeds     int
	Steps     uint64
	Faults    map[Fault]int
	Answered  int
	Refused   int
	Failed    int
	Delivered int
	Retries   int
	// Violations counts what was found wrong.
	Violations int
}

// Summarize adds up reports.
func Summarize(scenario Scenario, reports []Report) Summary {
	summary := Summary{Scenario: scenario, Seeds: len(reports), Faults: make(map[Fault]int)}
	for index := range reports {
		report := &reports[index]
		summary.Steps += report.Steps
		summary.Answered += report.Answered
		summary.Refused += report.Refused
		summary.Failed += report.Failed
		summary.Delivered += report.Delivered
		summary.Retries += report.Retries
		summary.Violations += report.ProblemCount()
		for kind, count := range report.Faults {
			summary.Faults[kind] += count
		}
	}
	return summary
}

// WriteTable writes summaries as a table.
func WriteTable(to io.Writer, summaries []Summary) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "scenario\tseeds\tsteps\tfaults\tanswered\trefused\tfailed\tretries\tdelivered\tviolations\t")
	for index := range summaries {
		summary := &summaries[index]
		faults := 0
		for _, count := range summary.Faults {
			faults += count
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", summary.Scenario.Name, summary.Seeds, summary.Steps,
			faults, summary.Answered, summary.Refused, summary.Failed, summary.Retries, summary.Delivered, summary.Violations)
	}
	return table.Flush()
}

// WriteFaults writes how often each fault was injected, over all scenarios.
func WriteFaults(to io.Writer, summaries []Summary) error {
	total := make(map[Fault]int)
	for index := range summaries {
		for kind, count := range summaries[index].Faults {
			total[kind] += count
		}
	}
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "fault\tinjected")
	for _, kind := range slices.Sorted(maps.Keys(total)) {
		fmt.Fprintf(table, "%s\t%d\n", kind, total[kind])
	}
	return table.Flush()
}
