package sitestate_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestIdentifyDistinguishesStarts checks that the state of an earlier start does not apply
// to a later one, and that late messages of an earlier start are recognized.
func TestIdentifyDistinguishesStarts(t *testing.T) {
	l := newLog(t)
	register := func(name string, startedAt uint64, address string) sitestate.Identity {
		identity := l.state.Identify(name, startedAt)
		if identity.Order == sitestate.StartOutdated {
			return identity
		}
		if identity.Order == sitestate.StartNewer {
			l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: identity.Replaces}})
		}
		report := sitestate.Replica{ID: identity.ID, Service: "s", Address: address, Sequence: 1, StartedAt: startedAt}
		if identity.ID != name {
			report.Instance = name
		}
		l.apply(sitestate.Command{Replica: &report})
		return identity
	}
	first := register("i", 1000, "a")
	if first.ID != "i" || first.Order != sitestate.StartCurrent {
		t.Fatalf("first start: %+v", first)
	}
	l.apply(sitestate.Command{Replica: &sitestate.Replica{ID: "i", Service: "s", Address: "a", Sequence: 90, StartedAt: 1000, State: sitestate.ReplicaDraining}})
	second := register("i", 2000, "a")
	if second.ID == "i" || second.Order != sitestate.StartNewer || second.Replaces != "i" {
		t.Fatalf("second start: %+v", second)
	}
	registered, known := l.state.Replica(second.ID)
	if !known || registered.State != sitestate.ReplicaReady || registered.InstanceName() != "i" {
		t.Errorf("replica of the second start: %+v, %v", registered, known)
	}
	if _, known := l.state.Replica("i"); known || !l.state.HasLeft("i") {
		t.Error("the first start is still registered")
	}
	if late := register("i", 1000, "a"); late.Order != sitestate.StartOutdated {
		t.Errorf("late message of the first start: %+v", late)
	}
	if again := register("i", 2000, "a"); again.ID != second.ID || again.Order != sitestate.StartCurrent {
		t.Errorf("second report of the second start: %+v", again)
	}
	var view *sitestate.View
	view = view.Apply(l.state.Update(0, sitestate.InterestAll))
	if registered, known := view.ReplicaByStart("i", 2000); !known || registered.ID != second.ID {
		t.Errorf("StartOf returned %+v, %v for the second start", registered, known)
	}
	for _, startedAt := range []uint64{0, 1000, 3000} {
		if registered, known := view.ReplicaByStart("i", startedAt); known {
			t.Errorf("start time %d: the view has %+v", startedAt, registered)
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
	// A start that left cannot join again, but a later start under its name may join.
	l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: second.ID}})
	if got := l.state.Identify("i", 2000); got.ID != second.ID || !l.state.HasLeft(got.ID) {
		t.Errorf("a start that left: %+v", got)
	}
	if third := register("i", 3000, "b"); third.Order != sitestate.StartNewer || l.state.HasLeft(third.ID) {
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
