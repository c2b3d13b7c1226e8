package siteview

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// Cold periods count from the receipt of an update; a report of a warm replica doesn't end them.
func TestColdPeriodsCountFromReceipt(t *testing.T) {
	start := time.Unix(1000, 0)
	updates := func(id string, millis uint32) []sitestate.Update {
		return []sitestate.Update{{Replicas: []sitestate.Replica{{ID: id, ColdMillis: millis}}}}
	}
	remaining := func(cold map[string]time.Time, id string, after time.Duration) time.Duration {
		return (&View{coldUntil: cold}).ColdRemaining(id, start.Add(after))
	}
	first := coldAfter(nil, updates("i", 3000), start)
	warm := coldAfter(first, updates("i", 0), start.Add(time.Second))
	coldAgain := coldAfter(warm, updates("i", 4000), start.Add(2*time.Second))
	shorter := coldAfter(coldAgain, updates("i", 500), start.Add(3*time.Second))
	expired := coldAfter(shorter, updates("other", 100), start.Add(10*time.Second))
	removed := coldAfter(first, []sitestate.Update{{Removed: []string{"i"}}}, start.Add(time.Second))
	for name, row := range map[string]struct {
		cold  map[string]time.Time
		after time.Duration
		want  time.Duration
	}{
		"unknown replica":               {nil, 0, 0},
		"cold":                          {first, time.Second, 2 * time.Second},
		"expired":                       {first, 3 * time.Second, 0},
		"reported warm":                 {warm, time.Second, 2 * time.Second},
		"extended":                      {coldAgain, 3 * time.Second, 3 * time.Second},
		"reported shorter":              {shorter, 4 * time.Second, 2 * time.Second},
		"expired and dropped":           {expired, 10 * time.Second, 0},
		"replica removed":               {removed, time.Second, 0},
		"original unchanged by updates": {first, 0, 3 * time.Second},
	} {
		if got := remaining(row.cold, "i", row.after); got != row.want {
			t.Errorf("%s: remaining %v, want %v", name, got, row.want)
		}
	}
	if len(expired) != 1 {
		t.Errorf("expired period not dropped: %v", expired)
	}
}
