package report

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/loomgrade/loomgrade/internal/lab/experiment"
)

// WriteComparison writes one line for each figure that changed, or for all figures, and
// the number of each verdict.
func WriteComparison(output io.Writer, changes []experiment.Change, all bool) error {
	table := Table{
		Title:  "Comparison, second less first",
		Header: []string{"settings", "variant", "figure", "first", "second", "difference", "interval from", "verdict"},
	}
	counts := map[experiment.Verdict]int{}
	for _, change := range changes {
		counts[change.Verdict]++
		if !all && change.Verdict == experiment.VerdictWithinNoise {
			continue
		}
		table.add(
			change.Point, change.Variant, change.Figure+" "+change.Unit,
			number(change.Before), number(change.After), interval(change.Difference), intervalSource(change), string(change.Verdict),
		)
	}
	if len(table.Rows) > 0 {
		if err := table.writeText(output); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(output, "%d better, %d worse, %d within noise\n",
		counts[experiment.VerdictBetter], counts[experiment.VerdictWorse], counts[experiment.VerdictWithinNoise])
	return eris.Wrap(err, "write comparison")
}

// intervalSource describes the runs that the interval was computed from.
func intervalSource(change experiment.Change) string {
	switch {
	case !change.Difference.Known:
		return "too few seeds"
	case change.Paired:
		return fmt.Sprintf("%d paired seeds", change.Difference.Count)
	default:
		return "separate seeds"
	}
}
