package logtrace_test

import (
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/logtrace"
)

// TestDelayPartsAddUpToTotal parses unordered lines of several processes about a job, the
// next job of its trainer and a job of another model.
func TestDelayPartsAddUpToTotal(t *testing.T) {
	var lines []logtrace.Line
	for _, text := range []string{
		`{"time":15100,"process":"f2","event":"job.accepted","id":"second","model":"m","step":8,"items":4,"took":20}`,
		`{"time":10000,"process":"f1","event":"job.accepted","id":"first","model":"m","step":7,"items":4,"took":30}`,
		`{"time":10002,"process":"f3","event":"job.accepted","id":"first","model":"m","step":7,"items":4,"took":5,"before":true}`,
		`{"time":12000,"process":"f1","event":"job.accepted","id":"other","model":"n","step":1,"items":4,"took":5}`,
		`{"time":13700,"process":"s1","event":"job.done","id":"first","step":7,"ended":true,"took_ms":3650,"whole_90_ms":3000,` +
			`"deciding_item":"i","deciding_first_wait_ms":900,"deciding_later_waits_ms":100,"deciding_ran_ms":1800,"deciding_unused_ms":150,"deciding_scored_ms":50,"refused":2,"cut":1}`,
		`{"time":13690,"process":"f1","event":"job.ended","id":"first"}`,
		`{"time":14900,"process":"c1","event":"weights.published","model":"m","version":8}`,
		`{"time":9000,"process":"c1","event":"weights.published","model":"m","version":7}`,
	} {
		line, ok := logtrace.Parse([]byte(text))
		if !ok {
			t.Fatalf("not parsed: %s", text)
		}
		lines = append(lines, line)
	}
	delays := logtrace.Delays(lines)
	if len(delays) != 3 {
		t.Fatalf("%+v", delays)
	}
	want := logtrace.Delay{
		Model: "m", Step: 7, Job: "first", AcceptedAt: 10000, Accept: 30, StartDelay: 50, FirstWait: 900, LaterWaits: 100, Ran: 1800, Unused: 150,
		Scored: 50, Deciding: "i", Read: 640, PublishDelay: 1210, NextJobDelay: 200, Total: 5100, Whole: true, Refused: 2, Cut: 1, Items: 4,
	}
	if delays[0] != want {
		t.Errorf("%+v\nwant %+v", delays[0], want)
	}
	if last := delays[2]; last.Job != "second" || last.PublishDelay != 0 || last.Whole {
		t.Errorf("the last job: %+v", last)
	}
}

// TestDelaysWithoutLinesOfFronts guards against an empty table without a reason if the lines of
// fronts are missing.
func TestDelaysWithoutLinesOfFronts(t *testing.T) {
	line, ok := logtrace.Parse([]byte(`{"time":13700,"process":"s1","event":"job.done","id":"first","model":"m","step":7,"items":4,"ended":true,` +
		`"took_ms":3650,"whole_90_ms":3000,"whole_desired_ms":3400,"deciding_item":"i","deciding_first_wait_ms":900,"deciding_ran_ms":1800}`))
	if !ok {
		t.Fatal("not parsed")
	}
	delays := logtrace.Delays([]logtrace.Line{line})
	want := logtrace.Delay{
		Model: "m", Step: 7, Job: "first", AcceptedAt: 10050, FirstWait: 900, Ran: 1800, Deciding: "i", Whole: true, Items: 4,
	}
	if len(delays) != 1 || delays[0] != want {
		t.Errorf("%+v\nwant %+v", delays, want)
	}
	missing := logtrace.MissingSources([]logtrace.Line{line})
	if len(missing) != 3 || !strings.Contains(missing[0], "job.accepted") || !strings.Contains(missing[2], "weights.published") {
		t.Errorf("missing sources %q", missing)
	}
}

// TestDelaysReadUntilNeededGroupsComplete checks that the reading of results starts when the
// groups that the client waits for are complete, not nine tenths of all.
func TestDelaysReadUntilNeededGroupsComplete(t *testing.T) {
	var lines []logtrace.Line
	for _, text := range []string{
		`{"time":10000,"process":"f1","event":"job.accepted","id":"first","model":"m","step":7,"items":4,"took":30}`,
		`{"time":17000,"process":"s1","event":"job.done","id":"first","step":7,"ended":true,"took_ms":7000,"whole_90_ms":3266,"whole_desired_ms":6792}`,
		`{"time":16857,"process":"f1","event":"job.ended","id":"first"}`,
	} {
		line, _ := logtrace.Parse([]byte(text))
		lines = append(lines, line)
	}
	if delays := logtrace.Delays(lines); delays[0].Read != 65 {
		t.Errorf("read %d ms, want 65", delays[0].Read)
	}
}
