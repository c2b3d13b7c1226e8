package sitestore

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

func TestJobTimes(t *testing.T) {
	times := newJobTimes(testTime, 7)
	at := func(ms int) time.Time { return testTime.Add(time.Duration(ms) * time.Millisecond) }
	var items []*itemState
	for _, group := range []string{"a", "a", "b"} {
		item := &itemState{spec: jobstate.Item{ID: group, Group: group}, idleSince: testTime}
		items = append(items, item)
		times.add(item)
	}
	times.recordRun(items[0], at(10))
	times.recordRun(items[1], at(300))
	items[1].idleSince = at(400) // its run broke off
	times.recordRun(items[1], at(450))
	if times.unplaced != 1 || times.runs != 3 || times.firstPlaced != 10*time.Millisecond || times.lastPlaced != 300*time.Millisecond {
		t.Errorf("%+v", times)
	}
	times.recordResult(items[0], "r1", at(500))
	if times.groupsComplete(0.5) != 0 {
		t.Error("a group with an open item counts as complete")
	}
	items[1].moves = 1
	times.recordResult(items[1], "r2", at(900))
	if got := times.groupsComplete(0.5); got != 900*time.Millisecond {
		t.Errorf("half of the groups complete after %v", got)
	}
	if times.groupsComplete(1) != 0 {
		t.Error("all groups count as complete")
	}
	if want := (lastItem{id: "a", replica: "r2", moves: 1, phases: phases{firstWait: 300 * time.Millisecond, laterWaits: 50 * time.Millisecond}}); times.last != want {
		t.Errorf("last %+v, want %+v", times.last, want)
	}
}
