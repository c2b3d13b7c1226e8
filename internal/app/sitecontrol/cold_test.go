package sitecontrol

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

func TestColdPeriodChanged(t *testing.T) {
	began := time.Now()
	for name, row := range map[string]struct {
		held, said uint32
		after      time.Duration
		want       bool
	}{
		"warm as before":               {0, 0, 0, false},
		"cold for the first time":      {0, 3000, 0, true},
		"cold a little less":           {3000, 1800, 1200 * time.Millisecond, false},
		"cold, said late":              {3000, 2200, 1200 * time.Millisecond, false},
		"cold once more":               {3000, 3000, 1200 * time.Millisecond, true},
		"warm, but others wait still":  {3000, 0, 1200 * time.Millisecond, false},
		"warm for all":                 {3000, 0, 3 * time.Second, true},
		"cold, to a leader that began": {3000, 1000, time.Hour, true},
	} {
		var cold coldReplicas
		cold.note("i", row.held, began)
		held, report := sitestate.Replica{ID: "i", ColdMillis: row.held}, sitestate.Replica{ID: "i", ColdMillis: row.said}
		if got := cold.news(held, report, began.Add(row.after)); got != row.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// TestTheNumberOfSendersIsRaisedAtOnceAndLoweredLate: those that are cut off go by the
// number that they know.
func TestSenderCountDecreaseIsDelayed(t *testing.T) {
	began := time.Now()
	counted := newSenders()
	step := func(name string, own int, committed uint32, after time.Duration, want uint32, wantDue bool) {
		t.Helper()
		next, due := counted.change(own, committed, began.Add(after))
		if due != wantDue || (due && next != want) {
			t.Errorf("%s: %d, due %v; want %d, %v", name, next, due, want, wantDue)
		}
	}
	counted.note("b", 30, began)
	counted.note("c", 25, began)
	step("first", 20, 0, 0, 75, true)
	step("as committed", 20, 75, time.Second, 0, false)
	step("a few more", 24, 75, time.Second, 0, false)
	step("many more", 40, 75, time.Second, 95, true)
	step("a member is cut off", 20, 95, toldForgotten+time.Second, 0, false)
	step("for a minute", 20, 95, toldForgotten+2*time.Second+sendersFewer, 20, true)
	step("nobody at all", 0, 20, 10*time.Minute, 0, false)
}
