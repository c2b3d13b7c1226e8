package control

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/loomgrade/loomgrade/internal/adapter/controlclient"
	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// BenchmarkUpdateDistribution measures the time from sending a change until it is accepted, and
// until the median and the last of the observers have it, each on its own connection.
func BenchmarkUpdateDistribution(b *testing.B) {
	for _, observers := range []int{3, 60, 660} {
		b.Run(fmt.Sprintf("observers=%d", observers), func(b *testing.B) {
			group := startGroup(b, 3, func(config *Config) { config.Tick = DefaultTick })
			fleet := startObservers(group, observers)
			client := group.client(group.leader().config.ID)
			var accepted, median, last []time.Duration
			b.ResetTimer()
			for number := range b.N {
				start := time.Now()
				result := group.mustAccept(client, machineListChange(port.Revision(number), number))
				accepted = append(accepted, time.Since(start))
				arrivals := fleet.wait(result.Revision)
				slices.SortFunc(arrivals, time.Time.Compare)
				median = append(median, arrivals[len(arrivals)/2].Sub(start))
				last = append(last, arrivals[len(arrivals)-1].Sub(start))
			}
			b.StopTimer()
			reportMillis(b, "accepted-p50-ms", accepted)
			reportMillis(b, "median-observer-p50-ms", median)
			reportMillis(b, "last-observer-p50-ms", last)
			b.ReportMetric(float64(slices.Max(last).Microseconds())/1000, "last-observer-max-ms")
		})
	}
}

func reportMillis(b *testing.B, name string, durations []time.Duration) {
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Microseconds())/1000, name)
}

// observerFleet simulates nodes that only watch.
type observerFleet struct {
	arrivals chan arrival
	clients  []*controlclient.Client
	count    int
}

type arrival struct {
	revision port.Revision
	at       time.Time
}

func startObservers(group *testGroup, count int) *observerFleet {
	fleet := &observerFleet{arrivals: make(chan arrival, 4*count), count: count}
	ctx, cancel := context.WithCancel(context.Background())
	group.t.Cleanup(cancel)
	for index := range count {
		client := group.client(uint64(index%3 + 1))
		fleet.clients = append(fleet.clients, client)
		ready := make(chan struct{})
		observer := controlstate.NewObserver()
		go func() {
			_ = client.Watch(ctx, 0, func(update port.ViewUpdate) {
				before := observer.View().Revision
				_, _ = observer.Apply(update)
				if ready != nil {
					close(ready)
					ready = nil
				}
				if after := observer.View().Revision; after > before {
					fleet.arrivals <- arrival{after, time.Now()}
				}
			})
		}()
		<-ready
	}
	return fleet
}

// wait blocks until every observer has the revision, and returns the times of arrival.
func (f *observerFleet) wait(revision port.Revision) []time.Time {
	var times []time.Time
	for len(times) < f.count {
		if arrived := <-f.arrivals; arrived.revision == revision {
			times = append(times, arrived.at)
		}
	}
	return times
}

// BenchmarkFailover measures the time from a leader's crash until another
// member leads with a valid lease, at the default tick.
func BenchmarkFailover(b *testing.B) {
	group := startGroup(b, 3, func(config *Config) { config.Tick = DefaultTick })
	var leaderless []time.Duration
	b.ResetTimer()
	for range b.N {
		leader := group.leader().config.ID
		start := time.Now()
		group.kill(leader)
		group.leader()
		leaderless = append(leaderless, time.Since(start))
		b.StopTimer()
		<-group.restart(leader).Ready()
		time.Sleep(time.Second) // until the restarted member follows again
		b.StartTimer()
	}
	reportMillis(b, "leaderless-p50-ms", leaderless)
	b.ReportMetric(float64(slices.Max(leaderless).Microseconds())/1000, "leaderless-max-ms")
}

// BenchmarkIdleWatch measures the cost of an idle watch: bytes in both directions
// and CPU time of members and observers, per second and observer.
func BenchmarkIdleWatch(b *testing.B) {
	const observers = 660
	group := startGroup(b, 3, func(config *Config) { config.Tick = DefaultTick })
	fleet := startObservers(group, observers)
	bytesBefore, cpuBefore := fleet.traffic(), processorTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.StopTimer()
	share := 1 / (float64(b.N) * observers)
	b.ReportMetric(float64(fleet.traffic()-bytesBefore)*share, "bytes/s/observer")
	b.ReportMetric(float64((processorTime(b)-cpuBefore).Microseconds())*share, "cpu-us/s/observer")
}

// BenchmarkReportingWatch measures the same as BenchmarkIdleWatch, for nodes that
// also send a report each second.
func BenchmarkReportingWatch(b *testing.B) {
	const observers = 660
	group := startGroup(b, 3, func(config *Config) { config.Tick = DefaultTick })
	fleet := startObservers(group, observers)
	fleet.report(group) // registers the nodes
	bytesBefore, cpuBefore := fleet.traffic(), processorTime(b)
	b.ResetTimer()
	for range b.N {
		next := time.Now().Add(time.Second)
		fleet.report(group)
		time.Sleep(time.Until(next))
	}
	b.StopTimer()
	share := 1 / (float64(b.N) * observers)
	b.ReportMetric(float64(fleet.traffic()-bytesBefore)*share, "bytes/s/node")
	b.ReportMetric(float64((processorTime(b)-cpuBefore).Microseconds())*share, "cpu-us/s/node")
}

// report sends a report for each observer, with limited concurrency.
func (f *observerFleet) report(group *testGroup) {
	group.t.Helper()
	const maxConcurrent = 16
	var reporting errgroup.Group
	reporting.SetLimit(maxConcurrent)
	for number, client := range f.clients {
		reporting.Go(func() error {
			return client.Report(group.context(), port.NodeReport{
				Node: port.NodeAddress{
					ID: port.NodeID(fmt.Sprintf("node-%d", number)), Zone: "zone-a",
					PeerAddress: "127.0.0.1:1", HTTPAddress: "127.0.0.1:2",
				},
				Position: 1, Serving: []port.ServingCount{{Pool: "captions", Version: 1, Replicas: 5}},
			})
		})
	}
	if err := reporting.Wait(); err != nil {
		group.t.Fatal(err)
	}
}

func (f *observerFleet) traffic() uint64 {
	var total uint64
	for _, client := range f.clients {
		stats := client.Stats()
		total += stats.BytesIn + stats.BytesOut
	}
	return total
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
