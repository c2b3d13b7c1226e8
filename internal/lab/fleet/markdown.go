package fleet

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown prints the tables of docs/CAPACITY.md: the figures at each size
// with their lines, and the work of the largest fleet.
func WriteMarkdown(out io.Writer, results []*Result, slopes []Slope) error {
	var text strings.Builder
	if len(slopes) > 0 {
		writeSlopeRows(&text, results, slopes)
	}
	for _, result := range results {
		writeRunRows(&text, result)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func writeSlopeRows(text *strings.Builder, results []*Result, slopes []Slope) {
	text.WriteString("| figure | unit |")
	for _, result := range results {
		fmt.Fprintf(text, " %d |", result.Options.Nodes)
	}
	text.WriteString(" base | per node | residuals | linear |\n|---|---|" + strings.Repeat("---:|", len(results)+2) + "---|---|\n")
	for _, slope := range slopes {
		fmt.Fprintf(text, "| %s | %s |", slope.Figure, slope.Unit)
		for _, value := range slope.Values {
			fmt.Fprintf(text, " %.4g |", value)
		}
		linear := "yes"
		if !slope.Linear {
			linear = "no"
		}
		fmt.Fprintf(text, " %.4g | %.4g | %.3g | %s |\n", slope.Base, slope.PerNode, slope.Residuals, linear)
	}
	text.WriteString("\n")
}

// writeRunRows prints one run.
func writeRunRows(text *strings.Builder, result *Result) {
	o := result.Options
	fmt.Fprintf(text, "%d nodes, %d replicas, %v of %s, %d changes, %d violations:\n\n", o.Nodes, o.Replicas, o.Length, o.Scenario, result.Changes, len(result.Violations))
	text.WriteString("| role | processes | messages/s | KB/s both ways, mean | p99 | max | KB/s out, max | CPU %, mean | max |\n|---|" + strings.Repeat("---:|", 8) + "\n")
	for _, role := range []struct {
		name  string
		usage RoleUsage
	}{{"node", result.Node}, {"node as coordinator", result.Holder}, {"control leader", result.Leader}, {"control follower", result.Follower}} {
		u := role.usage
		fmt.Fprintf(text, "| %s | %d | %.0f | %.1f | %.1f | %.1f | %.1f | %.2f | %.2f |\n", role.name, u.Processes, u.Messages.Mean,
			u.Bytes.Mean/1000, u.Bytes.P99/1000, u.Bytes.Max/1000, u.BytesOut.Max/1000, u.CPU.Mean*100, u.CPU.Max*100)
	}
	writeWorkRows(text, "node", result.Home)
	writeWorkRows(text, "node as coordinator", result.HolderWork)
	writeWorkRows(text, "control leader", result.LeaderWork)
	fmt.Fprintf(text, "\nIn force: %d times, p50 %v, p99 %v, max %v. Log %.1f KB/s, %.1f syncs/s, snapshot %.0f KB. "+
		"Rebuild: %d, %v each. Heap: node %.2f MB, coordinator %.2f MB, member %.1f MB. Run: %v wall, %v CPU, %.2f GB resident.\n\n",
		result.InForce.Count, result.InForce.P50, result.InForce.P99, result.InForce.Max,
		result.Log.BytesPerSecond/1000, result.Log.SyncsPerSecond, float64(result.Log.SnapshotBytes)/1000,
		result.Rebuild.Count, result.Rebuild.Each, result.Memory.Node/1e6, result.Memory.Coordinator/1e6, result.Memory.Member/1e6,
		rounded(result.Process.Wall), rounded(result.Process.CPU), float64(result.Process.Peak)/1e9)
}

func writeWorkRows(text *strings.Builder, role string, list []WorkUsage) {
	fmt.Fprintf(text, "\n| %s, by work | messages/s | KB/s both ways | CPU %% |\n|---|---:|---:|---:|\n", role)
	for _, work := range list {
		fmt.Fprintf(text, "| %s | %.2f | %.2f | %.3f |\n", work.Work, work.Messages, work.Bytes/1000, work.CPU*100)
	}
}
