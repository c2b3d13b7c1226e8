package front

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/core/usage"
)

// unreliableGroup is a control group that fails its first calls. Of these it stores every
// second report, whose response is lost.
type unreliableGroup struct {
	mutex    sync.Mutex
	failures int
	ledger   usage.Ledger
}

func (k *unreliableGroup) send(_ context.Context, report usage.Report) (time.Duration, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.failures--
	if k.failures < 0 || k.failures%2 == 1 {
		k.ledger.Add(report.AssignWindows(time.Unix(1000, 0), time.Hour))
	}
	if k.failures >= 0 {
		return 0, errors.New("no answer")
	}
	return 0, nil
}

// TestUsageIsReportedExactlyOnce checks that failed calls and a stop neither lose nor repeat
// counts.
func TestUsageIsReportedExactlyOnce(t *testing.T) {
	for _, failures := range []int{0, 1, 2, 3} {
		control := &unreliableGroup{failures: failures}
		reporter := NewUsageReporter("front", control.send, nil, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- reporter.Run(ctx) }()
		for range 5 {
			reporter.Add("ada", boottime.Now())
			reporter.Add("", boottime.Now())
		}
		draining, stopDraining := context.WithTimeout(context.Background(), 10*time.Second)
		reporter.Drain(draining)
		stopDraining()
		cancel()
		<-stopped
		counted := uint64(0)
		for _, tenants := range control.ledger.Open {
			counted += tenants["ada"] + tenants[""]
		}
		if counted != 5 {
			t.Errorf("%d failures: %d counted, want 5", failures, counted)
		}
	}
}

// TestNilUsageReporter checks that a nil reporter, as in sites that report no
// usage, does nothing.
func TestNilUsageReporter(t *testing.T) {
	var reporter *UsageReporter
	reporter.Add("ada", boottime.Now())
	reporter.Drain(context.Background())
}

// TestRequestAgeIncludesSuspension checks that the age of a request includes ten seconds
// during which the machine was suspended.
func TestRequestAgeIncludesSuspension(t *testing.T) {
	var suspended atomic.Int64
	clock := func() time.Duration { return boottime.Now() + time.Duration(suspended.Load()) }
	reports := make(chan usage.Report, 1)
	send := func(_ context.Context, report usage.Report) (time.Duration, error) {
		reports <- report
		return 0, nil
	}
	reporter := NewUsageReporter("front", send, clock, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	reporter.Add("ada", clock())
	suspended.Store(int64(10 * time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = reporter.Run(ctx) }()
	if report := <-reports; len(report.Requests) != 1 || report.Requests[0].Age < 10*time.Second {
		t.Errorf("report %+v", report)
	}
}
