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

// Items move from a few slow replicas. When all replicas seem slow, this process lacks
// processor time, and moves would add to its load.
func TestDelayedProcessMovesNothing(t *testing.T) {
	const baseline, runsPerReplica, replicas = 40 * time.Millisecond, 2, 10
	for name, row := range map[string]struct {
		slow  int
		moves bool
	}{"none": {0, false}, "a fifth": {replicas / 5, true}, "all": {replicas, false}} {
		var listed []sitestate.Replica
		for i := range replicas + 1 {
			listed = append(listed, sitestate.Replica{ID: fmt.Sprint("i", i), Slots: 4})
		}
		view, _ := testView(listed...)
		table := routing.NewTable(&routing.Document{
			Services: []routing.Service{{Name: "s", Engine: &routing.Engine{}}},
			Routes:   []routing.Route{{Name: "r", Host: "h", Prefix: "/", Kind: routing.KindJobs, Service: "s"}},
		})
		r := &runner{base: testTime, leadership: &leadership{items: map[jobqueue.Key]*itemState{}, replicas: newReplicaTracker(0), lengths: lengths{}, table: table}}
		now := testTime.Add(time.Minute)
		for i := range replicas {
			id := fmt.Sprint("i", i)
			for range 100 {
				r.replicas.recordRun(id, baseline, testTime)
			}
			for n := range runsPerReplica {
				item := &itemState{key: jobqueue.Key{Job: id, Item: n}, host: "h", spec: jobstate.Item{Path: "/x", Expected: 100}, placedAt: testTime}
				pace := baseline
				if i < row.slow {
					pace = 2 * baseline
				}
				item.progress.set(pace, now.Sub(r.base))
				r.replicas.addRun(item, id, testTime)
				r.items[item.key] = item
			}
		}
		r.lengths.record(&itemState{spec: jobstate.Item{Expected: 100}, events: 100})
		r.moveFromSlow(view, now, runnerInterval)
		moved := 0
		for _, item := range r.items {
			if item.reserved != "" {
				moved++
			}
		}
		if (moved > 0) != row.moves {
			t.Errorf("%s slow: %d items moved", name, moved)
		}
	}
}
