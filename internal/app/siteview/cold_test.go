package siteview

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestColdReplicasCountFromWhenTheUpdateCame: a report that it is warm does not end it.
func TestColdPeriodsCountFromReceipt(t *testing.T) {
	began := time.Unix(1000, 0)
	told := func(id string, millis uint32) []sitestate.Update {
		return []sitestate.Update{{Replicas: []sitestate.Replica{{ID: id, ColdMillis: millis}}}}
	}
	left := func(cold map[string]time.Time, id string, after time.Duration) time.Duration {
		return (&View{coldUntil: cold}).ColdLeft(id, began.Add(after))
	}
	first := coldAfter(nil, told("i", 3000), began)
	warm := coldAfter(first, told("i", 0), began.Add(time.Second))
	again := coldAfter(warm, told("i", 4000), began.Add(2*time.Second))
	shorter := coldAfter(again, told("i", 500), began.Add(3*time.Second))
	past := coldAfter(shorter, told("other", 100), began.Add(10*time.Second))
	gone := coldAfter(first, []sitestate.Update{{Removed: []string{"i"}}}, began.Add(time.Second))
	for name, row := range map[string]struct {
		cold  map[string]time.Time
		after time.Duration
		want  time.Duration
	}{
		"nothing known":         {nil, 0, 0},
		"cold":                  {first, time.Second, 2 * time.Second},
		"over":                  {first, 3 * time.Second, 0},
		"said to be warm":       {warm, time.Second, 2 * time.Second},
		"cold once more":        {again, 3 * time.Second, 3 * time.Second},
		"a shorter time":        {shorter, 4 * time.Second, 2 * time.Second},
		"past and forgotten":    {past, 10 * time.Second, 0},
		"it left":               {gone, time.Second, 0},
		"an older view changes": {first, 0, 3 * time.Second},
	} {
		if got := left(row.cold, "i", row.after); got != row.want {
			t.Errorf("%s: %v left, want %v", name, got, row.want)
		}
	}
	if len(past) != 1 {
		t.Errorf("what is past is kept: %v", past)
	}
}
