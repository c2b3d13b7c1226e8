package admission

import (
	"bytes"
	"flag"
	"fmt"
	"testing"
	"text/tabwriter"
	"time"
)

// compareWays makes TestCompareWays measure the ways.
var compareWays = flag.Bool("compare", false, "compare the ways to limit senders")

// noLimit never limits.
type noLimit struct{}

func (noLimit) overloaded(*sendSignals) bool { return false }

func (noLimit) next(_ *sendSignals, rate, _ float64, _ time.Duration) float64 { return rate }

// acceptedRule is way (a): a sender sends at most a multiple of what was recently accepted.
type acceptedRule struct {
	multiple float64
	accepted *eventRate
}

func (r acceptedRule) accept(now time.Time) { r.accepted.add(now) }

func (acceptedRule) overloaded(s *sendSignals) bool { return s.refusals > refusalTolerance }

func (r acceptedRule) next(s *sendSignals, _, _ float64, _ time.Duration) float64 {
	return r.multiple * r.accepted.at(s.observed)
}

// fixedShareRule is way (c): the slots divided by the senders and the latency.
type fixedShareRule struct{ slots, senders int }

func (fixedShareRule) overloaded(s *sendSignals) bool { return proportionalRule{}.overloaded(s) }

func (r fixedShareRule) next(s *sendSignals, rate, _ float64, _ time.Duration) float64 {
	if s.baseline.lowest == 0 {
		return rate
	}
	return float64(r.slots) / float64(r.senders) / s.baseline.lowest
}

// limitWay is one way to limit; newRule returns the rule of one sender.
type limitWay struct {
	name    string
	newRule func(loadPattern) rateRule
}

// chosenWay is the one that SendLimiter uses.
var chosenWay = limitWay{"b", func(loadPattern) rateRule { return proportionalRule{} }}

// limitWays are the ways compared on the design page.
var limitWays = []limitWay{
	{"none", func(loadPattern) rateRule { return noLimit{} }},
	{"a, 1.1", func(loadPattern) rateRule { return acceptedRule{1.1, &eventRate{}} }},
	{"a, 2", func(loadPattern) rateRule { return acceptedRule{2, &eventRate{}} }},
	chosenWay,
	{"c", func(p loadPattern) rateRule { return fixedShareRule{p.slots * p.replicas, p.senders} }},
}

// TestCompareWays logs what each way measures on each pattern.
func TestCompareWays(t *testing.T) {
	if !*compareWays {
		t.Skip("run with -compare")
	}
	var patterns []loadPattern
	patterns = append(patterns, reachedPatterns()...)
	patterns = append(patterns, manySenderPatterns()...)
	patterns = append(patterns, slowPatterns()...)
	for _, pattern := range slowPatterns() {
		patterns = append(patterns, pattern.routedByCapacity())
	}
	patterns = append(patterns, burstPattern("burst of 3, unmarked retries", 3).unmarked())
	var text bytes.Buffer
	table := tabwriter.NewWriter(&text, 0, 0, 1, ' ', tabwriter.Debug)
	fmt.Fprintln(table, "\npattern\tway\trequests\ton time\tlate\trefused\tof runnable\ttries\treward p99\tbefore\tafter\tafter refused\tsmall tenants\tsmall, large senders")
	for _, pattern := range patterns {
		for _, way := range limitWays {
			r := runModel(pattern, way, modelSeed)
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%.3f\t%.2f\t%v\t%.4f\t%.4f\t%d\t%.3f\t%.2f, %.2f\n", pattern.name, way.name,
				r.requests, r.onTime, r.late, r.refused, r.useful(), r.triesPerCall(), r.rewardP99().Round(time.Millisecond),
				r.before.share(), r.after.share(), r.after.refused, r.smallTenants.share(),
				r.smallSenders.share(), r.largeSenders.share())
		}
	}
	if err := table.Flush(); err != nil {
		t.Fatal(err)
	}
	t.Log(text.String())
}
