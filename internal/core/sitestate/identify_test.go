package sitestate_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestIdentifyDistinguishesStarts checks that the state of an earlier start does not apply
// to a later one, and that late messages of an earlier start are recognized.
func TestIdentifyDistinguishesStarts(t *testing.T) {
	l := newLog(t)
	take := func(name string, born uint64, address string) sitestate.Identity {
		identity := l.state.Identify(name, born)
		if identity.Order == sitestate.StartOutdated {
			return identity
		}
		if identity.Order == sitestate.StartNewer {
			l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: identity.Replaces}})
		}
		report := sitestate.Replica{ID: identity.ID, Service: "s", Address: address, Sequence: 1, StartedAt: born}
		if identity.ID != name {
			report.Instance = name
		}
		l.apply(sitestate.Command{Replica: &report})
		return identity
	}
	first := take("i", 1000, "a")
	if first.ID != "i" || first.Order != sitestate.StartCurrent {
		t.Fatalf("first start: %+v", first)
	}
	l.apply(sitestate.Command{Replica: &sitestate.Replica{ID: "i", Service: "s", Address: "a", Sequence: 90, StartedAt: 1000, State: sitestate.ReplicaDraining}})
	second := take("i", 2000, "a")
	if second.ID == "i" || second.Order != sitestate.StartNewer || second.Replaces != "i" {
		t.Fatalf("second start: %+v", second)
	}
	held, known := l.state.Replica(second.ID)
	if !known || held.State != sitestate.ReplicaReady || held.InstanceName() != "i" {
		t.Errorf("replica of the second start: %+v, %v", held, known)
	}
	if _, known := l.state.Replica("i"); known || !l.state.HasLeft("i") {
		t.Error("the first start is still registered")
	}
	if late := take("i", 1000, "a"); late.Order != sitestate.StartOutdated {
		t.Errorf("late message of the first start: %+v", late)
	}
	if again := take("i", 2000, "a"); again.ID != second.ID || again.Order != sitestate.StartCurrent {
		t.Errorf("second report of the second start: %+v", again)
	}
	var view *sitestate.View
	view = view.Apply(l.state.Update(0, sitestate.InterestAll))
	if held, known := view.StartOf("i", 2000); !known || held.ID != second.ID {
		t.Errorf("StartOf the second start in the view: %+v, %v", held, known)
	}
	for _, born := range []uint64{0, 1000, 3000} {
		if held, known := view.StartOf("i", born); known {
			t.Errorf("born %d: the view has %+v", born, held)
		}
	}
	// A snapshot includes the start times.
	restored := sitestate.New()
	data, err := l.state.Snapshot().Bytes()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got := restored.Identify("i", 1000); got.Order != sitestate.StartOutdated {
		t.Errorf("restored from a snapshot: %+v", got)
	}
	// A start that left does not return, but a later start under its name may join.
	l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: second.ID}})
	if got := l.state.Identify("i", 2000); got.ID != second.ID || !l.state.HasLeft(got.ID) {
		t.Errorf("a start that left: %+v", got)
	}
	if third := take("i", 3000, "b"); third.Order != sitestate.StartNewer || l.state.HasLeft(third.ID) {
		t.Errorf("third start: %+v", third)
	}
}

// TestIdentifyWithoutStartTime checks that starts without a start time
// share one id.
func TestIdentifyWithoutStartTime(t *testing.T) {
	l := newLog(t)
	l.apply(report("i", "a", 4, sitestate.ReplicaReady))
	if got := l.state.Identify("i", 0); got.ID != "i" || got.Order != sitestate.StartCurrent {
		t.Errorf("%+v", got)
	}
	// A process of an earlier build registered the replica without a start time.
	if got := l.state.Identify("i", 5000); got.ID != "i" || got.Order != sitestate.StartCurrent {
		t.Errorf("%+v", got)
	}
}
