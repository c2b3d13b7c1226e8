package home_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/ejection"
	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

var start = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func engine() *home.Record {
	return &home.Record{Replica: port.Replica{ID: "e1", Pool: "lm", Address: "10.0.0.1:8000"}, Polled: true}
}

func TestVersionIsKnownOnlyFromAReport(t *testing.T) {
	report := port.LoadReport{Version: 4, Incarnation: 1}
	cases := []struct {
		name    string
		act     func(record *home.Record)
		unknown bool
	}{
		{"before the first report", func(*home.Record) {}, true},
		{"after a report", func(r *home.Record) { r.Reported(at(1), at(1), report) }, false},
		{"silent", func(r *home.Record) {
			r.Reported(at(1), at(1), report)
			for range 3 {
				r.Unanswered()
			}
		}, true},
		{"answered again", func(r *home.Record) {
			for range 3 {
				r.Unanswered()
			}
			r.Reported(at(1), at(1), report)
		}, false},
		{"a rollout keeps it out", func(r *home.Record) {
			r.Reported(at(1), at(1), report)
			r.RouteOut(at(9))
		}, true},
		{"the rollout's word ran out", func(r *home.Record) {
			r.Reported(at(1), at(1), report)
			r.RouteOut(at(2))
		}, false},
		{"an application has no report", func(r *home.Record) { r.Polled = false }, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			record := engine()
			testCase.act(record)
			if got := record.VersionUnknown(at(3)); got != testCase.unknown {
				t.Errorf("unknown %v", got)
			}
			told := home.ForGate(at(3), &record.Replica, "r", false, home.Standing{}, record)
			if told.VersionUnknown != testCase.unknown {
				t.Errorf("the gate is told %+v", told)
			}
			if summary := record.Summary(at(3), false, gate.Load{}, 0, nil); summary.Routable() == testCase.unknown {
				t.Errorf("the zone is told %+v", summary)
			}
		})
	}
}

// A poll that was answered late must not undo what an order's answer, to a later
// question, said.
func TestAnswersOutOfOrder(t *testing.T) {
	record := engine()
	record.Reported(at(5), at(4), port.LoadReport{Version: 5, Incarnation: 1})
	if taken, _ := record.Reported(at(6), at(3), port.LoadReport{Version: 4, Incarnation: 1}); taken {
		t.Error("took the answer to an earlier question")
	}
	if version := record.Version(at(6), ""); version != 5 {
		t.Errorf("version %d", version)
	}
	taken, restarted := record.Reported(at(8), at(7), port.LoadReport{Version: 1, Incarnation: 2, AgeMillis: 500})
	if !taken || !restarted || record.Version(at(8), "") != 1 {
		t.Errorf("taken %v, restarted %v, version %d", taken, restarted, record.Version(at(8), ""))
	}
	if age := record.Report(at(9)).AgeMillis; age != 1500 {
		t.Errorf("the report is %d ms old", age)
	}
}

func TestLeavingIsTheUnionOfThePollers(t *testing.T) {
	gone := []port.Machine{{Address: "10.0.0.1", State: port.MachineLeaving}}
	leaving := home.NewLeaving()
	if !leaving.Told(at(0), "n1", gone) || leaving.Told(at(1), "n1", gone) {
		t.Error("news was not told from what is known")
	}
	leaving.Told(at(2), "n2", nil)
	if !leaving.Has("10.0.0.1:8000") || leaving.Has("10.0.0.2:8000") {
		t.Error("a poller with an old list brought a leaving machine back")
	}
	if !leaving.DropSilent(at(12)) || leaving.Has("10.0.0.1:8000") {
		t.Error("a silent poller's word still counts")
	}
	if leaving.DropSilent(at(99)) {
		t.Error("the last word was dropped")
	}
}

func TestStandingsStayWithinTheBound(t *testing.T) {
	pool := &port.Pool{Name: "lm", Ejection: port.Ejection{MaxShare: 0.25}}
	summaries := membership.NewSummaries()
	summaries.Apply(start, membership.HomeSummary{Node: "n1", Sequence: 1, Replicas: []membership.ReplicaSummary{
		{Replica: "a", Pool: "lm", Ejected: true, EjectedSince: 3}, {Replica: "b", Pool: "lm", Ejected: true, EjectedSince: 2},
		{Replica: "c", Pool: "lm", Probing: true}, {Replica: "d", Pool: "other", Ejected: true},
	}})
	homes := membership.NewAssigner([]port.NodeID{"n1"})
	got := home.Standings(start, summaries, homes, pool, 4)
	if len(got) != 2 || !got["b"].Ejected || !got["c"].Probing {
		t.Errorf("standings %v", got)
	}
}

func TestEjectedSinceIsKept(t *testing.T) {
	record := engine()
	tracker := ejection.New(ejection.Config{ConsecutiveFailures: 1, MaxShare: 1})
	tracker.SetReplicas([]port.ReplicaID{"e1"})
	tracker.SetPool(ejection.Pool{Size: 2})
	tracker.Observe(at(1), "e1", true, 0)
	first := record.Summary(at(2), false, gate.Load{}, 0, tracker)
	later := record.Summary(at(3), false, gate.Load{}, 0, tracker)
	if !first.Ejected || first.EjectedSince != at(2).UnixMilli() || later.EjectedSince != first.EjectedSince {
		t.Errorf("told %+v, then %+v", first, later)
	}
}

func TestJudge(t *testing.T) {
	backEnd := port.NewError(port.MayHaveRun, port.CodeBackEnd, "cut")
	invalid := port.NewError(port.NotRun, port.CodeInvalid, "no")
	stale := port.NewError(port.NotRun, port.CodeStale, "old")
	cases := []struct {
		name   string
		judged home.Judged
		counts bool
		failed bool
	}{
		{"completion", home.JudgeGeneration(nil, false, 10, time.Second), true, false},
		{"completion cut", home.JudgeGeneration(backEnd, false, 10, time.Second), true, true},
		{"completion abandoned", home.JudgeGeneration(backEnd, true, 10, time.Second), false, false},
		{"completion refused for its version", home.JudgeGeneration(stale, false, 0, time.Second), false, false},
		{"call", home.JudgeCall(nil, false, 200, time.Second), true, false},
		{"call of a bad request", home.JudgeCall(nil, false, 404, time.Second), true, false},
		{"call that failed there", home.JudgeCall(nil, false, 503, time.Second), true, true},
		{"call cut", home.JudgeCall(backEnd, false, 0, time.Second), true, true},
		{"call abandoned", home.JudgeCall(backEnd, true, 0, time.Second), false, false},
		{"call that was invalid", home.JudgeCall(invalid, false, 0, time.Second), false, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			judged := testCase.judged
			if judged.Counts != testCase.counts || judged.Failed != testCase.failed || judged.Outcome.Abandoned == testCase.counts {
				t.Errorf("judged %+v", judged)
			}
		})
	}
}
