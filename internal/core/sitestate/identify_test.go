package sitestate_test

import (
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestStartsUnderOneNameAreToldApart: what a replica was before it started again binds it no
// more, and what it said before names nobody.
func TestStartsUnderOneNameAreToldApart(t *testing.T) {
	l := newLog(t)
	take := func(name string, born uint64, address string) sitestate.Identity {
		identity := l.state.Identify(name, born)
		if identity.Standing == sitestate.StandingPast {
			return identity
		}
		if identity.Standing == sitestate.StandingNext {
			l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: identity.Earlier}})
		}
		report := sitestate.Replica{ID: identity.ID, Service: "s", Address: address, Sequence: 1, Born: born}
		if identity.ID != name {
			report.Instance = name
		}
		l.apply(sitestate.Command{Replica: &report})
		return identity
	}
	first := take("i", 1000, "a")
	if first.ID != "i" || first.Standing != sitestate.StandingCurrent {
		t.Fatalf("first start: %+v", first)
	}
	l.apply(sitestate.Command{Replica: &sitestate.Replica{ID: "i", Service: "s", Address: "a", Sequence: 90, Born: 1000, State: sitestate.ReplicaDraining}})
	second := take("i", 2000, "a")
	if second.ID == "i" || second.Standing != sitestate.StandingNext || second.Earlier != "i" {
		t.Fatalf("second start: %+v", second)
	}
	held, known := l.state.Replica(second.ID)
	if !known || held.State != sitestate.ReplicaReady || held.InstanceName() != "i" {
		t.Errorf("the second start is held as %+v, %v", held, known)
	}
	if _, known := l.state.Replica("i"); known || !l.state.Left("i") {
		t.Error("the first start is still there")
	}
	if late := take("i", 1000, "a"); late.Standing != sitestate.StandingPast {
		t.Errorf("late words of the first start: %+v", late)
	}
	if again := take("i", 2000, "a"); again.ID != second.ID || again.Standing != sitestate.StandingCurrent {
		t.Errorf("the second start again: %+v", again)
	}
	var view *sitestate.View
	view = view.Apply(l.state.Update(0, sitestate.InterestAll))
	if held, known := view.StartOf("i", 2000); !known || held.ID != second.ID {
		t.Errorf("the view has %+v, %v", held, known)
	}
	for _, born := range []uint64{0, 1000, 3000} {
		if held, known := view.StartOf("i", born); known {
			t.Errorf("born %d: the view has %+v", born, held)
		}
	}
	// A snapshot keeps who started when.
	restored := sitestate.New()
	data, err := l.state.Snapshot().Bytes()
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if got := restored.Identify("i", 1000); got.Standing != sitestate.StandingPast {
		t.Errorf("after a snapshot: %+v", got)
	}
	// One that left stays out, and a later start under its name does not.
	l.apply(sitestate.Command{Leave: &sitestate.Leave{ID: second.ID}})
	if got := l.state.Identify("i", 2000); got.ID != second.ID || !l.state.Left(got.ID) {
		t.Errorf("a start that left: %+v", got)
	}
	if third := take("i", 3000, "b"); third.Standing != sitestate.StandingNext || l.state.Left(third.ID) {
		t.Errorf("third start: %+v", third)
	}
}

// TestReplicasThatDoNotSayWhenTheyStartedKeepTheirName: nothing tells their starts apart.
func TestReplicasThatDoNotSayWhenTheyStartedKeepTheirName(t *testing.T) {
	l := newLog(t)
	l.apply(report("i", "a", 4, sitestate.ReplicaReady))
	if got := l.state.Identify("i", 0); got.ID != "i" || got.Standing != sitestate.StandingCurrent {
		t.Errorf("%+v", got)
	}
	// A process of an earlier build noted the replica without the time of its start.
	if got := l.state.Identify("i", 5000); got.ID != "i" || got.Standing != sitestate.StandingCurrent {
		t.Errorf("%+v", got)
	}
}
