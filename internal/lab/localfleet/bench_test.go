package localfleet_test

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/lab/localfleet"
)

// measurePeriod is the duration of one measurement.
const measurePeriod = 5 * time.Second

// BenchmarkNode measures the cost per node of the dev site: bytes of the internal
// protocol in both directions, and CPU time of the whole process, which includes the
// control members and the stand-ins. The idle fleet has no trainer.
func BenchmarkNode(b *testing.B) {
	idle, sampling := localfleet.DevPlan(), localfleet.DevPlan()
	idle.Trainers, idle.Callers, sampling.Callers = nil, nil, nil
	b.Run("idle", func(b *testing.B) { measureNodes(b, idle) })
	b.Run("sampling", func(b *testing.B) { measureNodes(b, sampling) })
}

func measureNodes(b *testing.B, plan localfleet.Plan) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	fleet, err := localfleet.Start(ctx, plan, localfleet.Options{})
	if err != nil {
		b.Fatal(err)
	}
	defer fleet.Close()
	time.Sleep(time.Second)
	for b.Loop() {
		bytes, cpu := internalBytes(b, fleet), cpuTime(b)
		time.Sleep(measurePeriod)
		nodeSeconds := float64(fleet.Nodes()) * measurePeriod.Seconds()
		b.ReportMetric((internalBytes(b, fleet)-bytes)/nodeSeconds, "B/s/node")
		b.ReportMetric((cpuTime(b)-cpu).Seconds()*1000/nodeSeconds, "cpu-ms/s/node")
	}
}

// internalBytes sums the bytes of the internal protocol over all nodes.
func internalBytes(b *testing.B, fleet *localfleet.Fleet) float64 {
	b.Helper()
	sum := 0.0
	for index := range fleet.Nodes() {
		response, err := http.Get(fleet.NodeURL(index) + "/metrics")
		if err != nil {
			b.Fatal(err)
		}
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			name, value, found := strings.Cut(lines.Text(), " ")
			if !found || !strings.HasPrefix(name, "loomgrade_") || !strings.Contains(name, "bytes_total") {
				continue
			}
			counted, err := strconv.ParseFloat(value, 64)
			if err != nil {
				b.Fatal(err)
			}
			sum += counted
		}
		response.Body.Close()
	}
	return sum
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
