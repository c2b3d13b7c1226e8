package sitestore

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

func TestJobTimes(t *testing.T) {
	times := newJobTimes(testTime, &jobstate.Job{Submission: jobstate.Submission{Step: 7}})
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

// TestDecidingItemCompletesDesiredGroups guards against a job line that names an item for which
// the client did not wait: it waits for the desired number of groups and for all that came back.
func TestDecidingItemCompletesDesiredGroups(t *testing.T) {
	submit := func(id string, desired int, groups ...string) jobstate.Command {
		submission := jobstate.Submission{ID: id, Model: "m", Desired: desired}
		for _, group := range groups {
			submission.Items = append(submission.Items, jobstate.Item{ID: group, Group: group})
		}
		return jobstate.Command{Accept: &submission}
	}
	for _, row := range []struct {
		name    string
		desired int
		// earlier are the groups of an earlier job.
		earlier []string
		// order is the order in which the groups complete.
		order []string
		want  string
	}{
		{"every group", 3, nil, []string{"a", "b", "c"}, "c"},
		{"two of three", 2, nil, []string{"c", "a", "b"}, "a"},
		{"nine tenths if the client does not say", 0, nil, []string{"a", "b", "c"}, "c"},
		{"a group that came back must complete", 2, []string{"a"}, []string{"b", "c", "a"}, "a"},
		{"a group that came back counts", 2, []string{"a"}, []string{"a", "c", "b"}, "c"},
		{"more groups than the job has", 5, nil, []string{"a", "b", "c"}, "c"},
	} {
		state := jobstate.New()
		for i, command := range []jobstate.Command{submit("earlier", 1, row.earlier...), submit("job", row.desired, "a", "b", "c")} {
			data, err := command.Encode()
			if err != nil {
				t.Fatal(err)
			}
			state.Apply(uint64(i+1), data)
		}
		job := state.Job("job")
		times := newJobTimes(testTime, job)
		items := map[string]*itemState{}
		for _, group := range []string{"a", "b", "c"} {
			items[group] = &itemState{spec: jobstate.Item{ID: group, Group: group}, idleSince: testTime}
			times.add(items[group])
		}
		for i, group := range row.order {
			times.recordResult(items[group], "r", testTime.Add(time.Duration(i+1)*time.Second))
		}
		if times.deciding.id != row.want || times.neededComplete == 0 {
			t.Errorf("%s: deciding item %q after %v, want %q", row.name, times.deciding.id, times.neededComplete, row.want)
		}
	}
}
