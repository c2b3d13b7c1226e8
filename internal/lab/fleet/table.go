package fleet

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable prints a result for people.
func WriteTable(out io.Writer, result *Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	o := result.Options
	fmt.Fprintf(w, "fleet\t%d nodes, %d replicas, %d members, %v of %s, seed %d, rates x%g, %d samples a step\n",
		o.Nodes, o.Replicas, o.Members, o.Length, o.Scenario, o.Seed, o.Compression, o.Samples)
	writeRole(w, "node", result.Node)
	writeRole(w, "node as coordinator", result.Holder)
	writeRole(w, "control leader", result.Leader)
	writeRole(w, "control follower", result.Follower)
	writeWork(w, "node", result.Home)
	writeWork(w, "node as coordinator", result.HolderWork)
	writeWork(w, "control leader", result.LeaderWork)
	writeTimes(w, result)
	writeRest(w, result)
	for _, broken := range result.Violations {
		fmt.Fprintf(w, "VIOLATION\t%v %s: %s\n", broken.At, broken.Check, broken.Detail)
	}
	return w.Flush()
}

func writeRole(w io.Writer, name string, role RoleUsage) {
	fmt.Fprintf(w, "%s\t%d processes\tmean\tp99\tmax\n", name, role.Processes)
	writeSpread(w, "messages/s", role.Messages, 1)
	writeSpread(w, "KB/s in and out", role.Bytes, 1000)
	writeSpread(w, "KB/s out", role.BytesOut, 1000)
	writeSpread(w, "KB in the busiest second", role.Busiest, 1000)
	writeSpread(w, "CPU, % of a core", role.CPU, 0.01)
}

func writeSpread(w io.Writer, name string, spread Spread, unit float64) {
	fmt.Fprintf(w, "\t%s\t%.2f\t%.2f\t%.2f\n", name, spread.Mean/unit, spread.P99/unit, spread.Max/unit)
}

func writeWork(w io.Writer, name string, list []WorkUsage) {
	fmt.Fprintf(w, "%s, by work\t\tmessages/s\tKB/s\tCPU %%\n", name)
	for _, work := range list {
		fmt.Fprintf(w, "\t%s\t%.2f\t%.2f\t%.3f\n", work.Work, work.Messages, work.Bytes/1000, work.CPU*100)
	}
}

func writeTimes(w io.Writer, result *Result) {
	fmt.Fprintf(w, "times\t\tcount\tp50\tp99\tmax\n")
	writeDistribution(w, "accept to in force", result.InForce)
	writeDistribution(w, "catch-up after return", result.CatchUp)
	fmt.Fprintf(w, "changes\t%d accepted, %d refused tries, longest %v\n", result.Changes, result.Refused, rounded(result.Longest))
	fmt.Fprintf(w, "faults\t%d failures, %d restarts\n", result.Faults.Failures, result.Faults.Restarts)
	if r := result.Recovery; r != nil {
		fmt.Fprintf(w, "recovery\tchange %v, leases %v, detected %v, removed %v, stale %d, unconfirmed %d, current after return %v\n",
			r.Change, r.Leases, r.Detected, r.Removed, r.Stale, r.Unconfirmed, r.Current)
	}
	if t := result.Weights; t != nil {
		fmt.Fprintf(w, "weights\t%d switched, staged in %v, switch %v (spread %v), over all pools %v, %d loading at most\n",
			t.Switched, rounded(t.Staged), rounded(t.Switch), rounded(t.Spread), rounded(t.AllPools), t.Loading)
	}
}

func writeDistribution(w io.Writer, name string, times Distribution) {
	fmt.Fprintf(w, "\t%s\t%d\t%v\t%v\t%v\n", name, times.Count, times.P50, times.P99, times.Max)
}

func writeRest(w io.Writer, result *Result) {
	s, p, m := result.Samples, result.Placement, result.Memory
	fmt.Fprintf(w, "samples\t%d steps, longest %v, longest commit %v\n", s.Steps, rounded(s.Longest), rounded(s.Commit))
	fmt.Fprintf(w, "log\t%.2f KB/s, %.1f syncs/s, snapshot %.1f KB\n",
		result.Log.BytesPerSecond/1000, result.Log.SyncsPerSecond, float64(result.Log.SnapshotBytes)/1000)
	fmt.Fprintf(w, "placement\t%d sampled, %d placed, %.1f candidates, %v each\n", p.Sampled, p.Placed, p.Candidates, p.Each)
	fmt.Fprintf(w, "rebuild\t%d ticks with one, %v each\n", result.Rebuild.Count, result.Rebuild.Each)
	fmt.Fprintf(w, "heap\tnode %.2f MB, coordinator %.2f MB, member %.2f MB, all %.0f MB\n",
		m.Node/1e6, m.Coordinator/1e6, m.Member/1e6, float64(m.Total)/1e6)
	fmt.Fprintf(w, "emulation\t%v wall, %v CPU (%v while counting), %d events, %.2f GB resident at most\n",
		rounded(result.Process.Wall), rounded(result.Process.CPU), rounded(result.Process.CountedCPU),
		result.Process.Events, float64(result.Process.Peak)/1e9)
}

func rounded(value time.Duration) time.Duration { return value.Round(time.Millisecond) }
