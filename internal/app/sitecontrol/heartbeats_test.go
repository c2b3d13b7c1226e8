package sitecontrol

import (
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// The leader removes only replicas that neither it nor another member received heartbeats of.
func TestTimedOutReplicas(t *testing.T) {
	h := newHeartbeats(nil)
	start := time.Now()
	replicas := sitestate.SetOf(sitestate.Replica{ID: "reported"}, sitestate.Replica{ID: "accepted here"}, sitestate.Replica{ID: "by the leader"}, sitestate.Replica{ID: "lost"})
	if due := h.timedOut(replicas, start); len(due) != 0 {
		t.Fatalf("a new leader removes %v", due)
	}
	now := start.Add(replicaTimeout + time.Second)
	h.mutex.Lock()
	h.recordAlive("reported", now)
	h.lastHeartbeats["by the leader"] = lastHeartbeat{at: now}
	h.unreported["accepted here"] = true
	h.mutex.Unlock()
	if due := h.timedOut(replicas, now); !slices.Equal(due, []string{"lost"}) {
		t.Errorf("timed out: %v, want lost", due)
	}
	if reported := h.takeUnreported(); len(reported) != 0 {
		t.Errorf("still unreported: %v", reported)
	}
}

// A member reports each heartbeat once.
func TestHeartbeatsAreReportedOnce(t *testing.T) {
	h := newHeartbeats(nil)
	h.unreported["b"], h.unreported["a"] = true, true
	if reported := h.takeUnreported(); !slices.Equal(reported, []string{"a", "b"}) {
		t.Errorf("reported %v", reported)
	}
	if reported := h.takeUnreported(); len(reported) != 0 {
		t.Errorf("reported again: %v", reported)
	}
}

func TestSameReport(t *testing.T) {
	registered := sitestate.Replica{
		ID: "i", Service: "s", Address: "a", Zone: "z", Slots: 2, Sequence: 4,
		Models: []sitestate.ModelVersion{{Name: "m", Version: 3}}, Model: "m", ChangedAt: 9, RoutedAt: 8,
	}
	later := registered
	later.Sequence, later.Model, later.ChangedAt, later.RoutedAt = 5, "", 0, 0
	draining := registered
	draining.State = sitestate.ReplicaDraining
	change := func(edit func(*sitestate.Replica)) sitestate.Replica {
		changed := later
		edit(&changed)
		return changed
	}
	for _, row := range []struct {
		name               string
		registered, report sitestate.Replica
		want               bool
	}{
		{"unchanged", registered, later, true},
		{"drains", registered, draining, false},
		{"late ready report of a draining replica", draining, later, true},
		{"other version", registered, change(func(r *sitestate.Replica) { r.Models = []sitestate.ModelVersion{{Name: "m", Version: 4}} }), false},
		{"other address", registered, change(func(r *sitestate.Replica) { r.Address = "b" }), false},
		{"other service", registered, change(func(r *sitestate.Replica) { r.Service = "t" }), false},
		{"other slots", registered, change(func(r *sitestate.Replica) { r.Slots = 3 }), false},
	} {
		if got := sameReport(row.registered, row.report); got != row.want {
			t.Errorf("%s: same %v", row.name, got)
		}
	}
}
