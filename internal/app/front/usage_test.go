package front

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

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
		k.ledger.Note(report.Place(time.Unix(1000, 0), time.Hour))
	}
	if k.failures >= 0 {
		return 0, errors.New("no answer")
	}
	return 0, nil
}

// TestCountsAreHandedOnOnce: whatever calls fail, and also at a stop.
func TestCountsAreHandedOnOnce(t *testing.T) {
	for _, failures := range []int{0, 1, 2, 3} {
		control := &keeper{failures: failures}
		reporter := NewUsageReporter("front", control.send, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- reporter.Run(ctx) }()
		for range 5 {
			reporter.Note("ada", time.Now())
			reporter.Note("", time.Now())
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
func TestNobodyCountsWithoutAReporter(t *testing.T) {
	var reporter *UsageReporter
	reporter.Note("ada", time.Now())
	reporter.Drain(context.Background())
}
