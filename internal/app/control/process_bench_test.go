package control

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkProcessFailover measures how long no change is accepted after the
// leader's process is killed, at the default tick. It kills the members in turn; a
// gap below half an election timeout means that a follower was killed.
func BenchmarkProcessFailover(b *testing.B) {
	const maxFollowerGap = DefaultTick * DefaultElectionTicks / 2
	group := startProcesses(b)
	group.tick = DefaultTick
	for id := uint64(1); id <= 3; id++ {
		group.start(id)
	}
	client, writing := group.client(), &writer{}
	change := func() {
		if err := writing.change(client); err != nil {
			b.Fatal(err)
		}
	}
	change()
	var gaps []time.Duration
	b.ResetTimer()
	for id := uint64(1); len(gaps) < b.N; id = id%3 + 1 {
		start := time.Now()
		group.kill(id)
		change()
		if gap := time.Since(start); gap >= maxFollowerGap {
			gaps = append(gaps, gap)
		}
		b.StopTimer()
		group.start(id)
		time.Sleep(2 * time.Second) // until it follows again
		b.StartTimer()
	}
	reportMillis(b, "unavailing-p50-ms", gaps)
	b.ReportMetric(float64(slices.Max(gaps).Microseconds())/1000, "unavailing-max-ms")
}
