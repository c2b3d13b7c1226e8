package sitestate_test

import (
	"slices"
	"testing"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

func zoneReport(id, zone string, cold uint32) sitestate.Command {
	return sitestate.Command{Replica: &sitestate.Replica{ID: id, Service: "s", Address: "at " + id, Zone: zone, Sequence: 1, ColdMillis: cold}}
}

func ids(replicas []sitestate.Replica) []string {
	var ids []string
	for _, replica := range replicas {
		ids = append(ids, replica.ID)
	}
	return ids
}

// TestDrainedZoneAcceptsNoRequests checks that neither existing nor new replicas of a drained zone
// accept requests, for observers with and without earlier updates.
func TestDrainedZoneAcceptsNoRequests(t *testing.T) {
	l := newLog(t)
	var view *sitestate.View
	follow := func(want ...string) {
		t.Helper()
		after := uint64(0)
		if view != nil {
			after = view.Position
		}
		view = view.Apply(l.state.Update(after, sitestate.InterestRouting))
		var empty *sitestate.View
		for name, observer := range map[string]*sitestate.View{"incremental observer": view, "new observer": empty.Apply(l.state.Update(0, sitestate.InterestAll))} {
			if got := ids(observer.ByService["s"].Slice()); !slices.Equal(got, want) {
				t.Errorf("%s sends to %v, want %v", name, got, want)
			}
		}
	}
	l.apply(zoneReport("a1", "a", 0))
	l.apply(zoneReport("b1", "b", 0))
	follow("a1", "b1")
	drain := func(zone string, end bool) sitestate.Outcome {
		return l.apply(sitestate.Command{Drain: &sitestate.DrainZone{Zone: zone, End: end, ColdMillis: map[string]uint32{"s": 3000, "other": 9000}}})
	}
	for range 2 {
		if got := drain("a", false); got != sitestate.OutcomeDone {
			t.Errorf("drain: %v", got)
		}
		follow("b1")
	}
	l.apply(zoneReport("a2", "a", 0))
	follow("b1")
	drain("b", false)
	follow()
	// A snapshot includes drains.
	data, err := l.state.Snapshot().Bytes()
	if err != nil {
		t.Fatal(err)
	}
	restored := sitestate.New()
	if err := restored.Restore(data); err != nil || !slices.Equal(restored.Drained(), []string{"a", "b"}) {
		t.Errorf("restored from a snapshot: %v, %v", restored.Drained(), err)
	}
	if got := view.Apply(view.Update()).Drained; !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("drained zones in the complete update of a view: %v", got)
	}
	for range 2 {
		drain("a", true)
		follow("a1", "a2")
	}
	if replica, _ := view.Replicas.Get("a1"); replica.ColdMillis != 3000 {
		t.Errorf("replica after the drain ended: %+v", replica)
	}
	drain("b", true)
	follow("a1", "a2", "b1")
	drain("a", true)
	follow("a1", "a2", "b1")
}
