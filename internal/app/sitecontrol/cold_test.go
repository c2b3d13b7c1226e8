package sitecontrol

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

func TestColdPeriodChanged(t *testing.T) {
	start := time.Now()
	for name, row := range map[string]struct {
		committed, reported uint32
		after               time.Duration
		want                bool
	}{
		"still warm":                      {0, 0, 0, false},
		"first cold":                      {0, 3000, 0, true},
		"remaining time shrinks":          {3000, 1800, 1200 * time.Millisecond, false},
		"report delayed":                  {3000, 2200, 1200 * time.Millisecond, false},
		"cold again":                      {3000, 3000, 1200 * time.Millisecond, true},
		"warm before the committed end":   {3000, 0, 1200 * time.Millisecond, false},
		"warm after the committed end":    {3000, 0, 3 * time.Second, true},
		"cold after the committed period": {3000, 1000, time.Hour, true},
	} {
		var cold coldReplicas
		cold.record("i", row.committed, start)
		committed, report := sitestate.Replica{ID: "i", ColdMillis: row.committed}, sitestate.Replica{ID: "i", ColdMillis: row.reported}
		if got := cold.changed(committed, report, start.Add(row.after)); got != row.want {
			t.Errorf("%s: changed %v", name, got)
		}
	}
}

// Disconnected processes still use the committed number, so that a decrease is committed late.
func TestSenderCountDecreaseIsDelayed(t *testing.T) {
	start := time.Now()
	counted := newSenders()
	step := func(name string, own int, committed uint32, after time.Duration, want uint32, wantDue bool) {
		t.Helper()
		next, due := counted.change(own, committed, start.Add(after))
		if due != wantDue || (due && next != want) {
			t.Errorf("%s: %d, due %v; want %d, %v", name, next, due, want, wantDue)
		}
	}
	counted.record("b", 30, start)
	counted.record("c", 25, start)
	step("first", 20, 0, 0, 75, true)
	step("unchanged", 20, 75, time.Second, 0, false)
	step("small increase", 24, 75, time.Second, 0, false)
	step("large increase", 40, 75, time.Second, 95, true)
	step("report of a member expired", 20, 95, memberReportTTL+time.Second, 0, false)
	step("decrease delay over", 20, 95, memberReportTTL+2*time.Second+sendersDecreaseDelay, 20, true)
	step("no senders", 0, 20, 10*time.Minute, 0, false)
}
