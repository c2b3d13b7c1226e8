package chaos

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Coverage counts the situations that runs went through.
type Coverage struct {
	// Conflicts counts changes that lost a race of equal revisions.
	Conflicts int `json:"conflicts"`
	// Resends counts changes that were answered after an answer was lost;
	// Elsewhere those answered by another member than the one asked first,
	// AfterSnapshot those whose entry the answering member had compacted, and
	// Expired those that were told that the answer is no longer kept.
	Resends       int `json:"resends"`
	Elsewhere     int `json:"elsewhere"`
	AfterSnapshot int `json:"after_snapshot"`
	Expired       int `json:"expired"`
	// Installed counts snapshots that members took from their leader.
	Installed int `json:"installed"`
	// WholeViews counts whole views for observers that held something, and
	// MostMissed is the most revisions that one update brought.
	WholeViews int           `json:"whole_views"`
	MostMissed port.Revision `json:"most_missed"`
	// ObserverRestarts counts observers that came back with nothing.
	ObserverRestarts int `json:"observer_restarts"`
	// SecondLosses counts machines lost right after a repair.
	SecondLosses int `json:"second_losses"`
}

// noteAnswer counts the answer of a member to an operator.
func (c *Coverage) noteAnswer(operation *operation, from *machine, result port.Result) {
	if operation.kind != operationChange {
		return
	}
	if result.Error != nil && result.Error.Code == port.CodeConflict {
		c.Conflicts++
	}
	if !operation.unanswered {
		return
	}
	c.Resends++
	if from.id != operation.first {
		c.Elsewhere++
	}
	if result.Error != nil && result.Error.Code == port.CodeChangeExpired {
		c.Expired++
	}
	if from.running() && result.Error == nil && result.Index <= from.member.Status().SnapshotIndex {
		c.AfterSnapshot++
	}
}

// noteUpdate counts an update that took an observer from one view to another.
func (c *Coverage) noteUpdate(before, after *port.View, update port.ViewUpdate) {
	if before.Position == 0 || after.Position <= before.Position {
		return
	}
	if update.Full != nil {
		c.WholeViews++
	}
	c.MostMissed = max(c.MostMissed, after.Revision-before.Revision)
}

func (c *Coverage) add(other Coverage) {
	c.Conflicts += other.Conflicts
	c.Resends += other.Resends
	c.Elsewhere += other.Elsewhere
	c.AfterSnapshot += other.AfterSnapshot
	c.Expired += other.Expired
	c.Installed += other.Installed
	c.WholeViews += other.WholeViews
	c.MostMissed = max(c.MostMissed, other.MostMissed)
	c.ObserverRestarts += other.ObserverRestarts
	c.SecondLosses += other.SecondLosses
}

// WriteCoverage writes what the runs went through as a table.
func WriteCoverage(to io.Writer, summaries []Summary) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := []string{"scenario\tlost races\tresends\tto another member\tafter a snapshot\texpired\tsnapshots installed\twhole views\tmost missed\tobserver restarts\tsecond losses\t"}
	for _, summary := range summaries {
		c := summary.Coverage
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", summary.Scenario.Name,
			c.Conflicts, c.Resends, c.Elsewhere, c.AfterSnapshot, c.Expired, c.Installed, c.WholeViews, c.MostMissed,
			c.ObserverRestarts, c.SecondLosses))
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}
