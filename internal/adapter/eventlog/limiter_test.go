package eventlog_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/eventlog"
)

// TestLimiterCountsDroppedLines guards against events that no log line counts.
func TestLimiterCountsDroppedLines(t *testing.T) {
	var limiter eventlog.Limiter
	start := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for _, step := range []struct {
		after time.Duration
		count int
		due   bool
	}{
		{0, 1, true},
		{400 * time.Millisecond, 0, false},
		{900 * time.Millisecond, 0, false},
		{1100 * time.Millisecond, 3, true},
		{1200 * time.Millisecond, 0, false},
	} {
		if count, due := limiter.Due(start.Add(step.after)); count != step.count || due != step.due {
			t.Errorf("after %v: %d, %v", step.after, count, due)
		}
	}
}
