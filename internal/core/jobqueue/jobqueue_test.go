package jobqueue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
)

var now = time.Unix(1000, 0)

func replica(id string, free int, version uint64) jobqueue.Replica {
	return jobqueue.Replica{ID: id, Service: "s", Free: free, Pace: 40 * time.Millisecond, Version: func(string) uint64 { return version }}
}

func item(job string, index int, rank jobqueue.Rank) jobqueue.Item {
	return jobqueue.Item{Key: jobqueue.Key{Job: job, Item: index}, Service: "s", Model: "m", Rank: rank}
}

func TestOlderJobsRunFirst(t *testing.T) {
	var queue jobqueue.Queue
	queue.Add(item("new", 0, jobqueue.Rank{Accepted: 2, Expected: 99}))
	queue.Add(item("newest", 0, jobqueue.Rank{Accepted: 3}))
	queue.Add(item("old", 1, jobqueue.Rank{Accepted: 1, Group: 1}))
	queue.Add(item("old", 0, jobqueue.Rank{Accepted: 1, Group: 0}))
	placed := queue.Place([]jobqueue.Replica{replica("a", 3, 1)}, now)
	if len(placed) != 3 || placed[0].Item.Job != "old" || placed[0].Item.Item != 0 || placed[1].Item.Item != 1 || placed[2].Item.Job != "new" {
		t.Fatalf("placed %v", placed)
	}
	if queue.Len() != 1 {
		t.Errorf("%d items remaining, want 1", queue.Len())
	}
}

func TestVersionsRestrictPlacement(t *testing.T) {
	replicas := func() []jobqueue.Replica { return []jobqueue.Replica{replica("v3", 1, 3), replica("v5", 1, 5)} }
	for _, row := range []struct {
		minVersion, exactVersion uint64
		want                     string
	}{{4, 0, "v5"}, {0, 3, "v3"}, {6, 0, ""}, {0, 4, ""}} {
		var queue jobqueue.Queue
		waiting := item("j", 0, jobqueue.Rank{})
		waiting.MinVersion, waiting.ExactVersion = row.minVersion, row.exactVersion
		queue.Add(waiting)
		placed := queue.Place(replicas(), now)
		got := ""
		if len(placed) > 0 {
			got = placed[0].Replica
		}
		if got != row.want {
			t.Errorf("min version %d, exact version %d: placed at %q, want %q", row.minVersion, row.exactVersion, got, row.want)
		}
	}
}

func TestDelayedItemDoesNotBlockOthers(t *testing.T) {
	var queue jobqueue.Queue
	delayed := item("j", 0, jobqueue.Rank{})
	delayed.NotBefore = now.Add(time.Second)
	queue.Add(delayed)
	queue.Add(item("j", 1, jobqueue.Rank{Item: 1}))
	if placed := queue.Place([]jobqueue.Replica{replica("a", 2, 1)}, now); len(placed) != 1 || placed[0].Item.Item != 1 {
		t.Errorf("placed %v", placed)
	}
	if placed := queue.Place([]jobqueue.Replica{replica("a", 2, 1)}, now.Add(time.Second)); len(placed) != 1 {
		t.Errorf("after NotBefore: placed %v", placed)
	}
}

func TestPlacePrefersReplicaWithGroupPrompt(t *testing.T) {
	for running, want := range map[int]string{2: "warm", 6: "cold"} {
		warm := replica("warm", 8, 1)
		warm.Running = running
		warm.HasPrompt = func(string) bool { return true }
		var queue jobqueue.Queue
		queue.Add(item("j", 0, jobqueue.Rank{}))
		if placed := queue.Place([]jobqueue.Replica{replica("cold", 8, 1), warm}, now); placed[0].Replica != want {
			t.Errorf("%d items running: placed at %s, want %s", running, placed[0].Replica, want)
		}
	}
}

func TestRanksCountGroups(t *testing.T) {
	job := &jobstate.Job{Submission: jobstate.Submission{Desired: 1}, AcceptedAt: 7}
	for _, group := range []string{"a", "a", "b", "", ""} {
		job.Items = append(job.Items, jobstate.ItemState{Item: jobstate.Item{Group: group}})
	}
	ranks := jobqueue.Ranks(job)
	wantGroups := []int{0, 0, 1, 2, 3}
	for i, rank := range ranks {
		if rank.Group != wantGroups[i] || rank.Item != i || rank.Accepted != 7 {
			t.Errorf("item %d: %+v", i, rank)
		}
	}
}

func TestLongItemsGoFirstInTheirJob(t *testing.T) {
	job := &jobstate.Job{Submission: jobstate.Submission{Desired: 2}, AcceptedAt: 7}
	for i, expected := range []int{10, 10, 10, 70, 10, 90} {
		job.Items = append(job.Items, jobstate.ItemState{Item: jobstate.Item{Group: fmt.Sprint("g", i/2), Expected: expected}})
	}
	var queue jobqueue.Queue
	for i, rank := range jobqueue.Ranks(job) {
		queue.Add(item("j", i, rank))
	}
	queue.Add(item("older", 0, jobqueue.Rank{Accepted: 1}))
	var order []string
	for _, placed := range queue.Place([]jobqueue.Replica{replica("a", 99, 1)}, now) {
		order = append(order, fmt.Sprint(placed.Item.Job, placed.Item.Item))
	}
	// The client waits for two groups of three, in any order.
	if want := []string{"older0", "j5", "j3", "j0", "j1", "j2", "j4"}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
	for i, rank := range jobqueue.Ranks(&jobstate.Job{Items: make([]jobstate.ItemState, 3)}) {
		if rank.Expected != 0 || rank.Group != i {
			t.Errorf("rank %+v without expected lengths", rank)
		}
	}
}

func TestAvoidedReplicaIsLastChoice(t *testing.T) {
	slow := replica("slow", 8, 1)
	slow.HasPrompt = func(string) bool { return true }
	busy := replica("busy", 1, 1)
	busy.Running = 7
	moved := item("j", 0, jobqueue.Rank{})
	moved.Avoid = "slow"
	for want, replicas := range map[string][]jobqueue.Replica{"busy": {slow, busy}, "slow": {slow}} {
		var queue jobqueue.Queue
		queue.Add(moved)
		if placed := queue.Place(replicas, now); len(placed) != 1 || placed[0].Replica != want {
			t.Errorf("placed %v, want %s", placed, want)
		}
	}
}

func TestPlaceByPaceOrLoad(t *testing.T) {
	busy := func(id string, running int, pace time.Duration) jobqueue.Replica {
		busy := replica(id, 12-running, 1)
		busy.Running, busy.Pace = running, pace
		return busy
	}
	const fast, slow = 38 * time.Millisecond, 49 * time.Millisecond
	for name, row := range map[string]struct {
		relaxed  bool
		replicas []jobqueue.Replica
		want     string
	}{
		"long item, fast replica is busy":      {false, []jobqueue.Replica{busy("slow", 0, slow), busy("fast", 11, fast)}, "fast"},
		"long item, both replicas are fast":    {false, []jobqueue.Replica{busy("full", 9, fast), busy("free", 2, fast)}, "free"},
		"long item, fast replica is full":      {false, []jobqueue.Replica{busy("slow", 0, slow), busy("fast", 12, fast)}, "slow"},
		"relaxed, slow replica runs fewer":     {true, []jobqueue.Replica{busy("slow", 2, slow), busy("fast", 9, fast)}, "slow"},
		"relaxed, both run equally many":       {true, []jobqueue.Replica{busy("slow", 4, slow), busy("fast", 4, fast)}, "fast"},
		"relaxed, idle replica is much slower": {true, []jobqueue.Replica{busy("slowest", 0, 30*fast), busy("fast", 9, fast)}, "fast"},
	} {
		var queue jobqueue.Queue
		waiting := item("j", 0, jobqueue.Rank{})
		waiting.Relaxed = row.relaxed
		queue.Add(waiting)
		if placed := queue.Place(row.replicas, now); len(placed) != 1 || placed[0].Replica != row.want {
			t.Errorf("%s: %v, want %s", name, placed, row.want)
		}
	}
}
