package logtrace_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/logtrace"
)

func TestStepsAreOrderedByStart(t *testing.T) {
	var lines []logtrace.Line
	for _, text := range []string{
		`{"time":9000,"process":"s1","event":"job.done","id":"late","step":2,"ended":true,"took_ms":1000.7,"items":8}`,
		`{"time":8500,"process":"s1","event":"item.placed","id":"other"}`,
		`  12.5 s1 {"time":9500,"process":"s1","event":"job.done","id":"early","step":1,"ended":false,"took_ms":6500.25,"items":8,"runs":11,` +
			`"last_placed_ms":900.5,"whole_50_ms":2000,"whole_90_ms":6400.1,"whole_100_ms":0,"last_item":"i","last_replica":"r","last_events":165,"last_moves":1,"last_waited_ms":12}`,
	} {
		line, ok := logtrace.Parse([]byte(text))
		if !ok {
			t.Fatalf("not parsed: %s", text)
		}
		lines = append(lines, line)
	}
	steps := logtrace.Steps(lines)
	if len(steps) != 2 || steps[0].Job != "early" || steps[1].Job != "late" {
		t.Fatalf("%+v", steps)
	}
	want := logtrace.Step{
		Job: "early", Step: 1, Process: "s1", Started: 3000, Items: 8, Runs: 11, LastPlaced: 900, Whole50: 2000, Whole90: 6400, Took: 6500,
		LastItem: "i", LastReplica: "r", LastEvents: 165, LastMoves: 1, LastWaited: 12,
	}
	if steps[0] != want {
		t.Errorf("%+v, want %+v", steps[0], want)
	}
	if !steps[1].Ended {
		t.Error("the ended job is not marked as ended")
	}
}
