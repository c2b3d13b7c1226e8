package sitestore

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestALateProcessMovesNothing: a fifth of the replicas is slow and its items move; when
// all look slow it is the runner that has too little processor, and moves would cost it
// more.
func TestDelayedProcessMovesNothing(t *testing.T) {
	const usual, runsPerReplica, replicas = 40 * time.Millisecond, 2, 10
	for name, row := range map[string]struct {
		slow  int
		moves bool
	}{"none": {0, false}, "a fifth": {replicas / 5, true}, "all": {replicas, false}} {
		var listed []sitestate.Replica
		for i := range replicas + 1 {
			listed = append(listed, sitestate.Replica{ID: fmt.Sprint("i", i), Slots: 4})
		}
		view, _ := bookView(listed...)
		table := routing.NewTable(&routing.Document{
			Services: []routing.Service{{Name: "s", Engine: &routing.Engine{}}},
			Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routing.KindJobs, Service: "s"}},
		})
		r := &runner{base: bookTime, leadership: &leadership{works: map[jobqueue.Key]*work{}, replicas: newReplicaBook(0), lengths: lengths{}, table: table}}
		now := bookTime.Add(time.Minute)
		for i := range replicas {
			id := fmt.Sprint("i", i)
			for range 100 {
				r.replicas.measure(id, usual, bookTime)
			}
			for n := range runsPerReplica {
				item := &work{key: jobqueue.Key{Job: id, Item: n}, host: "h", item: jobstate.Item{Path: "/x", Expected: 100}, placedAt: bookTime}
				pace := usual
				if i < row.slow {
					pace = 2 * usual
				}
				item.progress.show(pace, now.Sub(r.base))
				r.replicas.enter(item, id, bookTime)
				r.works[item.key] = item
			}
		}
		r.lengths.whole(&work{item: jobstate.Item{Expected: 100}, events: 100})
		r.moveFromSlow(view, now, runnerInterval)
		moved := 0
		for _, item := range r.works {
			if item.next != "" {
				moved++
			}
		}
		if (moved > 0) != row.moves {
			t.Errorf("%s slow: %d items move", name, moved)
		}
	}
}
