package jobqueue

import (
	"math"
	"testing"
	"time"
)

const testPace = 40 * time.Millisecond

// costRow is a case of a scorer's table; want is in units of testPace.
type costRow struct {
	replica Replica
	item    Item
	want    float64
}

func checkCosts(t *testing.T, score scorer, rows map[string]costRow) {
	t.Helper()
	for name, row := range rows {
		if row.replica.Pace == 0 {
			row.replica.Pace = testPace
		}
		got := score(&row.replica, &row.item) / testPace.Seconds()
		if math.Abs(got-row.want) > 1e-9 {
			t.Errorf("%s: cost %v, want %v", name, got, row.want)
		}
	}
}

// A slow replica must cost more regardless of the item.
func TestPaceCost(t *testing.T) {
	checkCosts(t, paceCost, map[string]costRow{
		"usual pace":    {Replica{}, Item{}, 1},
		"twice as slow": {Replica{Pace: 2 * testPace}, Item{}, 2},
		"relaxed item":  {Replica{Pace: 2 * testPace}, Item{Relaxed: true}, 2},
	})
}

// Relaxed items must weigh the number of running items more than the pace, others less.
func TestLoadCost(t *testing.T) {
	checkCosts(t, loadCost, map[string]costRow{
		"idle":          {Replica{}, Item{}, 0},
		"four run":      {Replica{Running: 4}, Item{}, 4 * batchSlowdown},
		"relaxed, idle": {Replica{}, Item{Relaxed: true}, 0},
		"relaxed, four": {Replica{Running: 4}, Item{Relaxed: true}, 4},
		"slow replica":  {Replica{Running: 4, Pace: 2 * testPace}, Item{Relaxed: true}, 8},
	})
}

// A prompt must be worth as many running items for either kind of item, and only to its group.
func TestPromptCost(t *testing.T) {
	hasPrompt := func(group string) bool { return group == "g" }
	checkCosts(t, promptCost, map[string]costRow{
		"unknown":           {Replica{}, Item{Group: "g"}, 0},
		"of another group":  {Replica{HasPrompt: hasPrompt}, Item{Group: "h"}, 0},
		"of the group":      {Replica{HasPrompt: hasPrompt}, Item{Group: "g"}, -sharedPromptBonus * batchSlowdown},
		"of a relaxed item": {Replica{HasPrompt: hasPrompt}, Item{Group: "g", Relaxed: true}, -sharedPromptBonus},
	})
}

// A replica that was slow at the item must rank after any other replica, however slow.
func TestAvoidCost(t *testing.T) {
	checkCosts(t, avoidCost, map[string]costRow{
		"no replica to avoid": {Replica{ID: "a"}, Item{}, 0},
		"another replica":     {Replica{ID: "a"}, Item{Avoid: "b"}, 0},
		"the replica":         {Replica{ID: "a"}, Item{Avoid: "a"}, avoidPenalty / testPace.Seconds()},
	})
}
