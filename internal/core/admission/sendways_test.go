package admission

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"text/tabwriter"
	"time"
)

// compareWays selects the way that TestCompareWays measures, or "all".
var compareWays = flag.String("compare", "", "way to limit to be measured, or all")

// noLimit never limits.
type noLimit struct{}

func (noLimit) overloaded(*sendSignals) bool                                  { return false }
func (noLimit) next(_ *sendSignals, rate, _ float64, _ time.Duration) float64 { return rate }

// acceptedRule is way (a): a sender sends at most a multiple of what was recently accepted.
type acceptedRule struct {
	multiple float64
	accepted *eventRate
}

func (r acceptedRule) accept(now time.Time)         { r.accepted.add(now) }
func (acceptedRule) overloaded(s *sendSignals) bool { return s.refusals > refusalTolerance }
func (r acceptedRule) next(s *sendSignals, _, _ float64, _ time.Duration) float64 {
	return r.multiple * r.accepted.at(s.observed)
}

// fixedShareRule is way (c): the slots divided by the senders and the latency.
type fixedShareRule struct{ slots, senders int }

func (fixedShareRule) overloaded(s *sendSignals) bool { return proportionalRule{}.overloaded(s) }
func (r fixedShareRule) next(s *sendSignals, _, _ float64, _ time.Duration) float64 {
	return float64(r.slots) / float64(r.senders) / max(s.baseline, 0.01)
}

// slowReplicas makes two of three replicas 4 times slower for 8 s.
func slowReplicas(replica int, at time.Duration) float64 {
	const from, to = modelBurstStart + 3*time.Second, modelBurstStart + 11*time.Second
	if replica > 0 && at >= from && at < to {
		return 4
	}
	return 1
}

// changingReplicas makes 15% of the replicas 2.5 times slower, redrawn each 0.6 s.
func changingReplicas(replica int, at time.Duration) float64 {
	const period = 600 * time.Millisecond
	random := rand.New(rand.NewPCG(uint64(replica), uint64(at/period)))
	if random.Float64() < 0.15 {
		return 2.5
	}
	return 1
}

func usualPattern(name string, burst float64) loadPattern {
	return loadPattern{name: name, senders: 61, rewardSenders: 12, replicas: 3, slots: 6, usual: 0.5, burst: burst, tenants: 80}
}

func variant(pattern loadPattern, change func(*loadPattern)) loadPattern {
	change(&pattern)
	return pattern
}

func patterns() []loadPattern {
	base := usualPattern
	return []loadPattern{
		base("no burst", 0.5),
		base("burst of 1", 1),
		base("burst of 1.4", 1.4),
		base("burst of 3", 3),
		variant(base("0.5, two of three replicas slow", 0.5), func(p *loadPattern) { p.factor = slowReplicas }),
		variant(base("burst of 1.4, two of three replicas slow", 1.4), func(p *loadPattern) { p.factor = slowReplicas }),
		variant(base("burst of 1, changing slow replicas", 1), func(p *loadPattern) { p.factor = changingReplicas }),
		variant(base("burst of 3, changing slow replicas", 3), func(p *loadPattern) { p.factor = changingReplicas }),
		variant(base("burst of 1.4, 1 sender", 1.4), func(p *loadPattern) { p.senders = 1 }),
		variant(base("burst of 3, 1 sender", 3), func(p *loadPattern) { p.senders = 1 }),
		variant(base("burst of 1.4, 800 senders", 1.4), func(p *loadPattern) { p.senders = 800; p.slots = 13 }),
		variant(base("burst of 3, 800 senders", 3), func(p *loadPattern) { p.senders = 800; p.slots = 13 }),
		variant(base("burst of 3, senders restart", 3), func(p *loadPattern) { p.restarts = modelBurstStart + 7*time.Second }),
		variant(base("one tenant sends 20 times its load", 0.5), func(p *loadPattern) { p.tenants = 9; p.bigTenant = 20 }),
		variant(base("0.5, two slow, routed by latency", 0.5), func(p *loadPattern) { p.factor = slowReplicas; p.routesByLatency = true }),
		variant(base("1.4, two slow, routed by latency", 1.4), func(p *loadPattern) { p.factor = slowReplicas; p.routesByLatency = true }),
		variant(base("1, changing slow, routed by latency", 1), func(p *loadPattern) { p.factor = changingReplicas; p.routesByLatency = true }),
		variant(base("3, changing slow, routed by latency", 3), func(p *loadPattern) { p.factor = changingReplicas; p.routesByLatency = true }),
		variant(base("burst of 3, unmarked retries", 3), func(p *loadPattern) { p.unmarkedRetries = true }),
	}
}

// TestCompareWays prints the measurements of the ways on all patterns.
func TestCompareWays(t *testing.T) {
	if *compareWays == "" {
		t.Skip("compares the ways only with -compare")
	}
	ways := []struct {
		name string
		rule func(p loadPattern) func() rateRule
	}{
		{"none", func(loadPattern) func() rateRule { return func() rateRule { return nil } }},
		{"a 1.1", func(loadPattern) func() rateRule { return func() rateRule { return acceptedRule{1.1, &eventRate{}} } }},
		{"a 2", func(loadPattern) func() rateRule { return func() rateRule { return acceptedRule{2, &eventRate{}} } }},
		{"b", func(loadPattern) func() rateRule { return func() rateRule { return proportionalRule{} } }},
		{"c", func(p loadPattern) func() rateRule {
			return func() rateRule { return fixedShareRule{p.slots * p.replicas, p.senders} }
		}},
	}
	only := *compareWays
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 1, ' ', 0)
	fmt.Fprintln(w, "pattern\tway\trequests\ton time\tlate\trefused\trunnable\tuseful\ttries\treward99\tbefore\tafter\trefused\tsmall\treasons")
	for _, pattern := range patterns() {
		for _, way := range ways {
			if only != "all" && only != way.name {
				continue
			}
			r := runModel(pattern, way.rule(pattern), 1)
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.3f\t%.2f\t%v\t%.4f\t%.4f\t%d\t%.4f\t%v\n", pattern.name, way.name, r.requests, r.onTime, r.late, r.refused, r.runnable, r.useful(), r.triesPerCall(), r.rewardP99().Round(time.Millisecond), r.before.share(), r.after.share(), r.after.refused, r.smallTenants.share(), r.reasons)
		}
	}
	w.Flush()
}
