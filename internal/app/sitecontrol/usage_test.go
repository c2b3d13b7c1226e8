package sitecontrol

import (
	"testing"
	"time"
)

// TestNewLeaderWaitsForReports checks that a leader closes no window before fronts, whose
// reports were rejected until now, can repeat them.
func TestNewLeaderWaitsForReports(t *testing.T) {
	const accepts = time.Hour
	for name, row := range map[string]struct {
		due, since time.Duration
		want       bool
	}{
		"at once":                       {10 * time.Second, 0, false},
		"before the last repetition":    {10 * time.Second, maxReportDelay - 1, false},
		"after the last repetition":     {10 * time.Second, maxReportDelay, true},
		"short windows, in report time": {time.Second, 399 * time.Millisecond, false},
		"short windows, after it":       {time.Second, 400 * time.Millisecond, true},
	} {
		manager := usageManager{control: &Control{config: Config{UsageDue: row.due}}, acceptsSince: accepts}
		if got := manager.mayClose(accepts + row.since); got != row.want {
			t.Errorf("%s: %v, want %v", name, got, row.want)
		}
	}
}
