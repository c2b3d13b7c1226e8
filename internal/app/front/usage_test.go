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

// keeper is a control group that fails so many calls: of these it keeps the odd ones, whose
// answers are lost.
type keeper struct {
	mutex    sync.Mutex
	failures int
	ledger   usage.Ledger
}

func (k *keeper) send(_ context.Context, report usage.Report) (time.Duration, error) {
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

// TestCountsAreHandedOnOnce: whatever calls fail, and also at a stop.
func TestUsageIsReportedExactlyOnce(t *testing.T) {
	for _, failures := range []int{0, 1, 2, 3} {
		control := &keeper{failures: failures}
		reporter := NewUsageReporter("front", control.send, nil, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- reporter.Run(ctx) }()
		for range 5 {
			reporter.Note("ada", boottime.Now())
			reporter.Note("", boottime.Now())
		}
		stopping, stop := context.WithTimeout(context.Background(), 10*time.Second)
		reporter.Drain(stopping)
		stop()
		cancel()
		<-ended
		counted := uint64(0)
		for _, tenants := range control.ledger.Open {
			counted += tenants["ada"] + tenants[""]
		}
		if counted != 5 {
			t.Errorf("%d failures: %d counted, want 5", failures, counted)
		}
	}
}

// TestNobodyCountsWithoutAReporter: sites that report no usage have none.
func TestNilUsageReporter(t *testing.T) {
	var reporter *UsageReporter
	reporter.Note("ada", boottime.Now())
	reporter.Drain(context.Background())
}

// TestAgesOfRequestsCountSuspension: a request began ten seconds before its report is made,
// which the front's machine spent suspended.
func TestRequestAgeIncludesSuspension(t *testing.T) {
	var slept atomic.Int64
	clock := func() time.Duration { return boottime.Now() + time.Duration(slept.Load()) }
	reports := make(chan usage.Report, 1)
	send := func(_ context.Context, report usage.Report) (time.Duration, error) {
		reports <- report
		return 0, nil
	}
	reporter := NewUsageReporter("front", send, clock, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
	reporter.Note("ada", clock())
	slept.Store(int64(10 * time.Second))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = reporter.Run(ctx) }()
	if report := <-reports; len(report.Requests) != 1 || report.Requests[0].Age < 10*time.Second {
		t.Errorf("%+v", report)
	}
}
