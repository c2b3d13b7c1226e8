package sitestore

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

func TestJobTimes(t *testing.T) {
	times := newJobTimes(bookTime, 7)
	at := func(ms int) time.Time { return bookTime.Add(time.Duration(ms) * time.Millisecond) }
	var items []*work
	for _, group := range []string{"a", "a", "b"} {
		item := &work{item: jobstate.Item{ID: group, Group: group}, idleSince: bookTime}
		items = append(items, item)
		times.add(item)
	}
	times.placed(items[0], at(10))
	times.placed(items[1], at(300))
	items[1].idleSince = at(400) // its run broke off
	times.placed(items[1], at(450))
	if times.unplaced != 1 || times.runs != 3 || times.firstPlaced != 10*time.Millisecond || times.lastPlaced != 300*time.Millisecond {
		t.Errorf("%+v", times)
	}
	times.done(items[0], "r1", at(500))
	if times.groupsWhole(0.5) != 0 {
		t.Error("a group counts as whole that is not")
	}
	items[1].moves = 1
	times.done(items[1], "r2", at(900))
	if got := times.groupsWhole(0.5); got != 900*time.Millisecond {
		t.Errorf("half of the groups were whole after %v", got)
	}
	if times.groupsWhole(1) != 0 {
		t.Error("all groups count as whole")
	}
	if want := (lastItem{id: "a", replica: "r2", moves: 1, phases: phases{first: 300 * time.Millisecond, again: 50 * time.Millisecond}}); times.last != want {
		t.Errorf("last %+v, want %+v", times.last, want)
	}
}
