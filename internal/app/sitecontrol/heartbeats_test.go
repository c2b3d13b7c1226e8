package sitecontrol

import (
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestOnlyReplicasThatNobodyHeardOfAreSilent: the leader takes out what neither it
// nor a member that told it heard of.
func TestTimedOutReplicas(t *testing.T) {
	h := newHeartbeats(nil)
	began := time.Now()
	replicas := sitestate.SetOf(sitestate.Replica{ID: "told"}, sitestate.Replica{ID: "taken here"}, sitestate.Replica{ID: "by the leader"}, sitestate.Replica{ID: "nobody"})
	if due := h.silent(replicas, began); len(due) != 0 {
		t.Fatalf("a new leader takes out %v", due)
	}
	now := began.Add(silentAfter + time.Second)
	h.mutex.Lock()
	h.noteAlive("told", now)
	h.heard["by the leader"] = heardReplica{at: now}
	h.untold["taken here"] = true
	h.mutex.Unlock()
	if due := h.silent(replicas, now); !slices.Equal(due, []string{"nobody"}) {
		t.Errorf("taken out: %v", due)
	}
	if told := h.takeUntold(); len(told) != 0 {
		t.Errorf("told again: %v", told)
	}
}

// TestWhatIsToldIsForgottenOnceTold: a member tells each heartbeat once.
func TestHeartbeatsAreReportedOnce(t *testing.T) {
	h := newHeartbeats(nil)
	h.untold["b"], h.untold["a"] = true, true
	if told := h.takeUntold(); !slices.Equal(told, []string{"a", "b"}) {
		t.Errorf("told %v", told)
	}
	if told := h.takeUntold(); len(told) != 0 {
		t.Errorf("told again: %v", told)
	}
}

func TestSameReport(t *testing.T) {
	held := sitestate.Replica{
		ID: "i", Service: "s", Address: "a", Zone: "z", Slots: 2, Sequence: 4,
		Models: []sitestate.ModelVersion{{Name: "m", Version: 3}}, Model: "m", ChangedAt: 9, RoutedAt: 8,
	}
	later := held
	later.Sequence, later.Model, later.ChangedAt, later.RoutedAt = 5, "", 0, 0
	draining := held
	draining.State = sitestate.ReplicaDraining
	change := func(edit func(*sitestate.Replica)) sitestate.Replica {
		changed := later
		edit(&changed)
		return changed
	}
	for _, row := range []struct {
		name         string
		held, report sitestate.Replica
		want         bool
	}{
		{"nothing new", held, later, true},
		{"drains", held, draining, false},
		{"a late ready of one that drains", draining, later, true},
		{"other version", held, change(func(r *sitestate.Replica) { r.Models = []sitestate.ModelVersion{{Name: "m", Version: 4}} }), false},
		{"other address", held, change(func(r *sitestate.Replica) { r.Address = "b" }), false},
		{"other service", held, change(func(r *sitestate.Replica) { r.Service = "t" }), false},
		{"other slots", held, change(func(r *sitestate.Replica) { r.Slots = 3 }), false},
	} {
		if got := sameReport(row.held, row.report); got != row.want {
			t.Errorf("%s: %v", row.name, got)
		}
	}
}
