package chaos

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Coverage counts the situations that occurred in runs.
type Coverage struct {
	// Conflicts counts changes rejected because another change of the same revision came
	// first.
	Conflicts int `json:"conflicts"`
	// Retries counts changes to which a member responded after an earlier response was
	// lost. Of these, OtherMember counts those with a response from another member than the
	// first one called, AfterSnapshot those whose entry the responding member had
	// compacted, and Expired those whose cached result had expired.
	Retries       int `json:"resends"`
	OtherMember   int `json:"elsewhere"`
	AfterSnapshot int `json:"after_snapshot"`
	Expired       int `json:"expired"`
	// SnapshotsInstalled counts snapshots that members installed from their leader.
	SnapshotsInstalled int `json:"installed"`
	// FullViews counts full views sent to observers that had a view, and MaxMissed is
	// the max number of revisions that one update skipped.
	FullViews int           `json:"whole_views"`
	MaxMissed port.Revision `json:"most_missed"`
	// ObserverRestarts counts observers that restarted without a view.
	ObserverRestarts int `json:"observer_restarts"`
	// SecondLosses counts machines lost right after a repair.
	SecondLosses int `json:"second_losses"`
}

// countResponse counts a member's response to an operator.
func (c *Coverage) countResponse(operation *operation, from *machine, result port.Result) {
	if operation.kind != operationChange {
		return
	}
	if result.Error != nil && result.Error.Code == port.CodeConflict {
		c.Conflicts++
	}
	if !operation.unanswered {
		return
	}
	c.Retries++
	if from.id != operation.firstMember {
		c.OtherMember++
	}
	if result.Error != nil && result.Error.Code == port.CodeChangeExpired {
		c.Expired++
	}
	if from.running() && result.Error == nil && result.Index <= from.member.Status().SnapshotIndex {
		c.AfterSnapshot++
	}
}

// countUpdate counts an update that advanced an observer from one view to another.
func (c *Coverage) countUpdate(before, after *port.View, update port.ViewUpdate) {
	if before.Position == 0 || after.Position <= before.Position {
		return
	}
	if update.Full != nil {
		c.FullViews++
	}
	c.MaxMissed = max(c.MaxMissed, after.Revision-before.Revision)
}

func (c *Coverage) add(other Coverage) {
	c.Conflicts += other.Conflicts
	c.Retries += other.Retries
	c.OtherMember += other.OtherMember
	c.AfterSnapshot += other.AfterSnapshot
	c.Expired += other.Expired
	c.SnapshotsInstalled += other.SnapshotsInstalled
	c.FullViews += other.FullViews
	c.MaxMissed = max(c.MaxMissed, other.MaxMissed)
	c.ObserverRestarts += other.ObserverRestarts
	c.SecondLosses += other.SecondLosses
}

// WriteCoverage writes the coverage of each scenario as a table.
func WriteCoverage(to io.Writer, summaries []Summary) error {
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := []string{"scenario\tlost races\tresends\tto another member\tafter a snapshot\texpired\tsnapshots installed\twhole views\tmost missed\tobserver restarts\tsecond losses\t"}
	for _, summary := range summaries {
		c := summary.Coverage
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t", summary.Scenario.Name,
			c.Conflicts, c.Retries, c.OtherMember, c.AfterSnapshot, c.Expired, c.SnapshotsInstalled, c.FullViews, c.MaxMissed,
			c.ObserverRestarts, c.SecondLosses))
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(table, row); err != nil {
			return err
		}
	}
	return table.Flush()
}
