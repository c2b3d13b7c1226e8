package usage_test

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/usage"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const length = 5 * time.Second

func TestWindowsBeginAtMultiplesOfTheirLength(t *testing.T) {
	for at, want := range map[time.Duration]usage.Window{0: 0, length - 1: 0, length: 1, -1: -1, -length: -1, -length - 1: -2} {
		if got := usage.WindowAt(time.Unix(0, int64(at)), length); got != want {
			t.Errorf("%v: window %d, want %d", at, got, want)
		}
	}
}

// TestReportIsAssignedToWindowsByAge checks that a delayed report is counted in the windows
// in which its requests started.
func TestReportIsAssignedToWindowsByAge(t *testing.T) {
	outbox := usage.NewOutbox("front")
	startedAt := time.Unix(1000, 0)
	const at = time.Hour // of the front's clock
	outbox.Add("a", at-time.Millisecond)
	outbox.Add("a", at)
	first, _ := outbox.Next(at + time.Second)
	outbox.Add("b", at)
	again, _ := outbox.Next(at + 9*time.Second)
	for name, report := range map[string]usage.Report{"first": first, "again": again} {
		elapsed := map[string]time.Duration{"first": time.Second, "again": 9 * time.Second}[name]
		windowed := report.AssignWindows(startedAt.Add(elapsed), length)
		if report.Sequence != 1 || len(windowed.Counts) != 2 || windowed.Counts[0].Window != 199 || windowed.Counts[1].Window != 200 {
			t.Errorf("%s: %+v of %+v", name, windowed, report)
		}
	}
	outbox.Acknowledge()
	next, found := outbox.Next(at)
	if !found || next.Sequence != 2 || len(next.Requests) != 1 || next.Requests[0].Tenant != "b" {
		t.Errorf("%+v", next)
	}
	outbox.Acknowledge()
	if _, found := outbox.Next(at); found || !outbox.Empty() {
		t.Error("the outbox is not empty")
	}
}

func windowedReport(reporter string, sequence uint64, window usage.Window, tenant string) usage.WindowedReport {
	return usage.WindowedReport{Reporter: reporter, Sequence: sequence, Counts: []usage.Count{{Window: window, Tenant: tenant, Count: 1}}}
}

func TestLedger(t *testing.T) {
	var ledger usage.Ledger
	if ledger.Due(100) {
		t.Error("windows are due before any request")
	}
	ledger.Close(100)
	ledger.Add(windowedReport("x", 1, 7, "a"))
	ledger.Add(windowedReport("x", 1, 7, "a")) // duplicate
	ledger.Add(windowedReport("y", 1, 9, "b"))
	ledger.Add(windowedReport("y", 2, 6, "a"))
	if ledger.Due(5) || !ledger.Due(6) {
		t.Error("Due is wrong")
	}
	ledger.Close(8)
	if late := ledger.Add(windowedReport("x", 2, 8, "a")); late != 1 {
		t.Errorf("%d late, want 1", late)
	}
	ledger.Close(9)
	ledger.Close(9)
	want := []usage.Total{{6, map[string]uint64{"a": 1}}, {7, map[string]uint64{"a": 1}}, {8, map[string]uint64{}}, {9, map[string]uint64{"b": 1}}}
	if len(ledger.Closed) != len(want) {
		t.Fatalf("%+v", ledger.Closed)
	}
	for i, total := range ledger.Closed {
		if total.Window != want[i].Window || !maps.Equal(total.Counts, want[i].Counts) {
			t.Errorf("%+v, want %+v", total, want[i])
		}
	}
	ledger.Acknowledge(6)
	ledger.Acknowledge(6)
	if len(ledger.Closed) != 3 || ledger.Closed[0].Window != 7 {
		t.Errorf("after reporting window 6: %+v", ledger.Closed)
	}
}

// monotonicAt returns a front's clock at a time.
func monotonicAt(now time.Time) time.Duration { return now.Sub(time.Unix(4000, 0)) }

// TestNoCountIsLostOrDoubled checks the counts when reports are retried after lost responses,
// in any order of fronts and windows, while windows are closed.
func TestNoCountIsLostOrDoubled(t *testing.T) {
	testkit.Check(t, 26, func(t *rapid.T) {
		var ledger usage.Ledger
		outboxes := []*usage.Outbox{usage.NewOutbox("x"), usage.NewOutbox("y")}
		now, sent, late := time.Unix(5000, 0), uint64(0), uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			outbox := outboxes[rapid.IntRange(0, 1).Draw(t, "front")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				outbox.Add("a", monotonicAt(now))
				sent++
			case 1, 2:
				report, found := outbox.Next(monotonicAt(now))
				if !found {
					continue
				}
				late += ledger.Add(report.AssignWindows(now, length))
				if rapid.Bool().Draw(t, "answered") {
					outbox.Acknowledge()
				}
			case 3:
				ledger.Close(usage.WindowAt(now.Add(-4*time.Second), length) - 1)
			}
		}
		for _, outbox := range outboxes {
			for report, found := outbox.Next(monotonicAt(now)); found; report, found = outbox.Next(monotonicAt(now)) {
				late += ledger.Add(report.AssignWindows(now, length))
				outbox.Acknowledge()
			}
		}
		counted := uint64(0)
		for _, total := range ledger.Closed {
			counted += total.Counts["a"]
		}
		for _, open := range ledger.Open {
			counted += open["a"]
		}
		if counted+late != sent {
			t.Fatalf("%d counted and %d late of %d", counted, late, sent)
		}
	})
}

// TestLateCountsAreCarried guards against requests that are counted nowhere because a leader
// closed their window before the front could report.
func TestLateCountsAreCarried(t *testing.T) {
	const open = 100
	for name, row := range map[string]struct {
		window, want usage.Window
		moved        uint64
	}{
		"open window":         {open, open, 0},
		"later window":        {open + 1, open + 1, 0},
		"closed window":       {open - 1, open, 1},
		"reporter remembered": {open - 60, open, 1},
		"reporter forgotten":  {open - 61, open - 61, 0},
	} {
		report := windowedReport("x", 1, row.window, "a")
		carried, moved := report.Carry(open)
		if got := carried.Counts[0].Window; got != row.want || moved != row.moved {
			t.Errorf("%s: %d moved, to window %d, want %d and %d", name, moved, got, row.moved, row.want)
		}
		if report.Counts[0].Window != row.window {
			t.Errorf("%s: the report changed", name)
		}
	}
}

// TestCarriedCountsAreCountedOnce checks that every request is counted once, whatever windows
// are closed before its report arrives, also if the report is repeated after its reporter is no
// longer stored.
func TestCarriedCountsAreCountedOnce(t *testing.T) {
	testkit.Check(t, 27, func(t *rapid.T) {
		var ledger usage.Ledger
		add := func(report usage.Report, now time.Time) (late uint64) {
			windowed, _ := report.AssignWindows(now, length).Carry(ledger.Next)
			return ledger.Add(windowed)
		}
		outboxes := []*usage.Outbox{usage.NewOutbox("x"), usage.NewOutbox("y")}
		now, sent, late := time.Unix(5000, 0), uint64(0), uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "ms")) * time.Millisecond)
			outbox := outboxes[rapid.IntRange(0, 1).Draw(t, "front")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				outbox.Add("a", monotonicAt(now))
				sent++
			case 1, 2:
				report, found := outbox.Next(monotonicAt(now))
				if !found {
					continue
				}
				late += add(report, now) // a repeated report may be late again
				if rapid.Bool().Draw(t, "answered") {
					outbox.Acknowledge()
				}
			case 3:
				ledger.Close(usage.WindowAt(now, length) - 1)
			}
		}
		for _, outbox := range outboxes {
			for report, found := outbox.Next(monotonicAt(now)); found; report, found = outbox.Next(monotonicAt(now)) {
				late += add(report, now)
				outbox.Acknowledge()
			}
		}
		counted := uint64(0)
		for _, total := range ledger.Closed {
			counted += total.Counts["a"]
		}
		for _, open := range ledger.Open {
			counted += open["a"]
		}
		if counted > sent || counted+late < sent {
			t.Fatalf("%d counted and %d late of %d", counted, late, sent)
		}
	})
}

// TestLedgerSizeIsLimited checks the limits after long outages of the provider or the control group.
func TestLedgerSizeIsLimited(t *testing.T) {
	var ledger usage.Ledger
	ledger.Add(windowedReport("x", 1, 0, "a"))
	for window := range usage.Window(3000) {
		ledger.Close(window)
	}
	if len(ledger.Closed) > 1000 || len(ledger.Reporters) != 0 {
		t.Errorf("%d windows and %d reporters are stored", len(ledger.Closed), len(ledger.Reporters))
	}
	before := ledger.Next
	ledger.Close(1_000_000)
	if ledger.Next-before > 100 {
		t.Errorf("%d windows were closed by one call", ledger.Next-before)
	}
}
