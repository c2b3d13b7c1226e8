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

func newEngineRecord() *home.Record {
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
		{"after a report", func(r *home.Record) { r.ApplyReport(at(1), at(1), report) }, false},
		{"polls failed", func(r *home.Record) {
			r.ApplyReport(at(1), at(1), report)
			for range 3 {
				r.PollFailed()
			}
		}, true},
		{"poll succeeded again", func(r *home.Record) {
			for range 3 {
				r.PollFailed()
			}
			r.ApplyReport(at(1), at(1), report)
		}, false},
		{"excluded by a rollout", func(r *home.Record) {
			r.ApplyReport(at(1), at(1), report)
			r.ExcludeUntil(at(9))
		}, true},
		{"exclusion expired", func(r *home.Record) {
			r.ApplyReport(at(1), at(1), report)
			r.ExcludeUntil(at(2))
		}, false},
		{"application back end", func(r *home.Record) { r.Polled = false }, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			record := newEngineRecord()
			testCase.act(record)
			if got := record.VersionUnknown(at(3)); got != testCase.unknown {
				t.Errorf("version unknown: %v", got)
			}
			replica := home.GateReplica(at(3), &record.Replica, "r", false, home.Health{}, record)
			if replica.VersionUnknown != testCase.unknown {
				t.Errorf("gate replica %+v", replica)
			}
			if summary := record.Summary(at(3), false, gate.Load{}, 0, nil); summary.Routable() == testCase.unknown {
				t.Errorf("summary %+v", summary)
			}
		})
	}
}

// TestAnswersOutOfOrder checks that a late answer to an earlier poll does not overwrite the
// report of a later one.
func TestAnswersOutOfOrder(t *testing.T) {
	record := newEngineRecord()
	record.ApplyReport(at(5), at(4), port.LoadReport{Version: 5, Incarnation: 1})
	if applied, _ := record.ApplyReport(at(6), at(3), port.LoadReport{Version: 4, Incarnation: 1}); applied {
		t.Error("applied the report of an earlier poll")
	}
	if version := record.Version(at(6), ""); version != 5 {
		t.Errorf("version %d", version)
	}
	applied, restarted := record.ApplyReport(at(8), at(7), port.LoadReport{Version: 1, Incarnation: 2, AgeMillis: 500})
	if !applied || !restarted || record.Version(at(8), "") != 1 {
		t.Errorf("applied %v, restarted %v, version %d", applied, restarted, record.Version(at(8), ""))
	}
	if age := record.Report(at(9)).AgeMillis; age != 1500 {
		t.Errorf("the report is %d ms old", age)
	}
}

func TestLeavingMachinesIsUnionOfPollers(t *testing.T) {
	machines := []port.Machine{{Address: "10.0.0.1", State: port.MachineLeaving}}
	leaving := home.NewLeavingMachines()
	if !leaving.Update(at(0), "n1", machines) || leaving.Update(at(1), "n1", machines) {
		t.Error("changed and unchanged lists were not distinguished")
	}
	leaving.Update(at(2), "n2", nil)
	if !leaving.Has("10.0.0.1:8000") || leaving.Has("10.0.0.2:8000") {
		t.Error("a stale list of one poller made a leaving machine available again")
	}
	if !leaving.DropStale(at(12)) || leaving.Has("10.0.0.1:8000") {
		t.Error("the list of a timed-out poller is still used")
	}
	if leaving.DropStale(at(99)) {
		t.Error("the last list was dropped")
	}
}

func TestPoolHealthLimitsEjections(t *testing.T) {
	pool := &port.Pool{Name: "lm", Ejection: port.Ejection{MaxShare: 0.25}}
	summaries := membership.NewSummaries()
	summaries.Apply(start, membership.HomeSummary{Node: "n1", Sequence: 1, Replicas: []membership.ReplicaSummary{
		{Replica: "a", Pool: "lm", Ejected: true, EjectedSince: 3}, {Replica: "b", Pool: "lm", Ejected: true, EjectedSince: 2},
		{Replica: "c", Pool: "lm", Probing: true}, {Replica: "d", Pool: "other", Ejected: true},
	}})
	homes := membership.NewAssigner([]port.NodeID{"n1"})
	got := home.PoolHealth(start, summaries, homes, pool, 4)
	if len(got) != 2 || !got["b"].Ejected || !got["c"].Probing {
		t.Errorf("pool health %v", got)
	}
}

func TestEjectedSinceDoesNotChange(t *testing.T) {
	record := newEngineRecord()
	tracker := ejection.New(ejection.Config{ConsecutiveFailures: 1, MaxShare: 1})
	tracker.SetReplicas([]port.ReplicaID{"e1"})
	tracker.SetPool(ejection.Pool{Size: 2})
	tracker.Observe(at(1), "e1", true, 0)
	first := record.Summary(at(2), false, gate.Load{}, 0, tracker)
	later := record.Summary(at(3), false, gate.Load{}, 0, tracker)
	if !first.Ejected || first.EjectedSince != at(2).UnixMilli() || later.EjectedSince != first.EjectedSince {
		t.Errorf("summaries %+v, then %+v", first, later)
	}
}

func TestClassify(t *testing.T) {
	backEnd := port.NewError(port.MayHaveRun, port.CodeBackEnd, "cut")
	invalid := port.NewError(port.NotRun, port.CodeInvalid, "no")
	stale := port.NewError(port.NotRun, port.CodeStale, "old")
	cases := []struct {
		name   string
		got    home.Classification
		counts bool
		failed bool
	}{
		{"completion", home.ClassifyGeneration(nil, false, 10, time.Second), true, false},
		{"completion cut off", home.ClassifyGeneration(backEnd, false, 10, time.Second), true, true},
		{"completion abandoned", home.ClassifyGeneration(backEnd, true, 10, time.Second), false, false},
		{"completion refused for stale version", home.ClassifyGeneration(stale, false, 0, time.Second), false, false},
		{"call", home.ClassifyCall(nil, false, 200, time.Second), true, false},
		{"call with client error", home.ClassifyCall(nil, false, 404, time.Second), true, false},
		{"call with server error", home.ClassifyCall(nil, false, 503, time.Second), true, true},
		{"call cut off", home.ClassifyCall(backEnd, false, 0, time.Second), true, true},
		{"call abandoned", home.ClassifyCall(backEnd, true, 0, time.Second), false, false},
		{"invalid call", home.ClassifyCall(invalid, false, 0, time.Second), false, false},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			got := testCase.got
			if got.AffectsHealth != testCase.counts || got.Failed != testCase.failed || got.Outcome.Abandoned == testCase.counts {
				t.Errorf("got %+v", got)
			}
		})
	}
}
