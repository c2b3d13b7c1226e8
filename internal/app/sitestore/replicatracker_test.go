package sitestore

import (
	"fmt"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
	"github.com/loomgrade/loomgrade/internal/core/jobstate"
	"github.com/loomgrade/loomgrade/internal/core/routing"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

var testTime = time.Unix(1000, 0)

func testView(replicas ...sitestate.Replica) (*siteview.View, *routing.Table) {
	view := &siteview.View{View: &sitestate.View{Replicas: sitestate.SetOf(replicas...), ByService: map[string]sitestate.ReplicaList{"s": sitestate.ListOf(replicas...)}}}
	return view, routing.NewTable(&routing.Document{Version: 1, Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 6}}}})
}

func candidate(t *testing.T, tracker *replicaTracker, view *siteview.View, table *routing.Table, id string, now time.Time) *jobqueue.Replica {
	t.Helper()
	for _, replica := range tracker.candidates(view, table, now) {
		if replica.ID == id {
			return &replica
		}
	}
	return nil
}

func TestCandidatesCountRuns(t *testing.T) {
	view, table := testView(sitestate.Replica{ID: "a", Slots: 2}, sitestate.Replica{ID: "b"})
	tracker := newReplicaTracker(0)
	item := &itemState{spec: jobstate.Item{Group: "g"}}
	tracker.addRun(item, "a", testTime)
	a := candidate(t, tracker, view, table, "a", testTime)
	if a == nil || a.Free != 1 || a.Running != 1 || !a.HasPrompt("g") || a.HasPrompt("h") {
		t.Errorf("%+v", a)
	}
	if b := candidate(t, tracker, view, table, "b", testTime); b == nil || b.Free != 6 {
		t.Errorf("%+v", b)
	}
	if later := candidate(t, tracker, view, table, "a", testTime.Add(time.Minute)); later.HasPrompt("g") {
		t.Error("an expired prompt is assumed to be cached")
	}
	tracker.removeRun(item)
	tracker.removeRun(item)
	if a = candidate(t, tracker, view, table, "a", testTime); a.Free != 2 {
		t.Errorf("after removeRun: %+v", a)
	}
}

func TestBlockedReplicasAreNoCandidates(t *testing.T) {
	view, table := testView(sitestate.Replica{ID: "a", Slots: 2})
	tracker := newReplicaTracker(0)
	tracker.block("a", testTime.Add(time.Second))
	tracker.block("a", testTime.Add(time.Millisecond)) // a shorter block has no effect
	if candidate(t, tracker, view, table, "a", testTime.Add(999*time.Millisecond)) != nil {
		t.Error("a candidate while blocked")
	}
	if candidate(t, tracker, view, table, "a", testTime.Add(time.Second)) == nil {
		t.Error("not a candidate after the block")
	}
}

func TestExpectedPaceReturnsToBaseline(t *testing.T) {
	view, table := testView(sitestate.Replica{ID: "slow", Slots: 2}, sitestate.Replica{ID: "fast", Slots: 2}, sitestate.Replica{ID: "new", Slots: 2})
	tracker := newReplicaTracker(0)
	for range 200 {
		tracker.recordRun("slow", 90*time.Millisecond, testTime)
		tracker.recordRun("fast", 30*time.Millisecond, testTime)
	}
	pace := func(id string, now time.Time) time.Duration { return candidate(t, tracker, view, table, id, now).Pace }
	if slow, fast := pace("slow", testTime), pace("fast", testTime); slow != 90*time.Millisecond || fast != 30*time.Millisecond {
		t.Errorf("slow %v, fast %v", slow, fast)
	}
	if unknown := pace("new", testTime); unknown <= 30*time.Millisecond || unknown >= 90*time.Millisecond {
		t.Errorf("replica without runs: %v", unknown)
	}
	for range 4 {
		tracker.recordRunning("fast", []time.Duration{200 * time.Millisecond, 40 * time.Millisecond, 190 * time.Millisecond}, testTime)
	}
	if fast := pace("fast", testTime); fast < 150*time.Millisecond {
		t.Errorf("with slow current runs: %v", fast)
	}
	later := testTime.Add(time.Minute)
	if slow, fast := pace("slow", later), pace("fast", later); slow != 90*time.Millisecond || fast > 31*time.Millisecond {
		t.Errorf("after a minute: slow %v, fast %v", slow, fast)
	}
}

func TestReservedSlotsAreNotFree(t *testing.T) {
	view, table := testView(sitestate.Replica{ID: "a", Slots: 2})
	tracker := newReplicaTracker(0)
	tracker.reserve("a")
	if a := candidate(t, tracker, view, table, "a", testTime); a.Free != 1 {
		t.Errorf("free %d", a.Free)
	}
	tracker.release("a")
	tracker.release("a")
	if a := candidate(t, tracker, view, table, "a", testTime); a.Free != 2 {
		t.Errorf("free %d after it was released", a.Free)
	}
}

func TestVersionsFromResponses(t *testing.T) {
	view, table := testView(sitestate.Replica{ID: "a", Slots: 2, Models: []sitestate.ModelVersion{{Name: "m", Version: 3}}})
	tracker := newReplicaTracker(0)
	tracker.entry("a").versions["m"] = 4
	if got := candidate(t, tracker, view, table, "a", testTime).Version("m"); got != 4 {
		t.Errorf("version %d", got)
	}
}

func TestDemandRates(t *testing.T) {
	meter := newDemandMeter(testTime)
	now := testTime
	var rates map[string]float64
	for range 100 {
		now = now.Add(demandInterval)
		for range 5 {
			meter.recordText("busy", 20)
		}
		meter.recordText("idle", 10)
		var due bool
		if rates, due = meter.rates(map[string]int{"waiting": 8}, now); !due {
			t.Fatal("no measurement is due")
		}
	}
	if rates["busy"] < 9*rates["idle"] || rates["waiting"] <= 0 {
		t.Errorf("%v", rates)
	}
	if _, due := meter.rates(nil, now); due {
		t.Error("due again immediately")
	}
}

func TestCandidatesFollowTheView(t *testing.T) {
	first, table := testView(sitestate.Replica{ID: "a", Slots: 2}, sitestate.Replica{ID: "b", Slots: 2})
	second, _ := testView(sitestate.Replica{ID: "b", Slots: 4})
	tracker := newReplicaTracker(0)
	item := &itemState{}
	tracker.candidates(first, table, testTime)
	tracker.addRun(item, "b", testTime)
	tracker.expire(second, testTime)
	if candidate(t, tracker, second, table, "a", testTime) != nil {
		t.Error("a removed replica is a candidate")
	}
	if b := candidate(t, tracker, second, table, "b", testTime); b == nil || b.Free != 3 {
		t.Errorf("%+v", b)
	}
}

// BenchmarkPlace tries to place 400 items that no replica can run because of their version.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{10, 350, 3500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var replicas []sitestate.Replica
			for i := range count {
				replicas = append(replicas, sitestate.Replica{ID: fmt.Sprint("i", i), Slots: 6, Models: []sitestate.ModelVersion{{Name: "m", Version: 3}}})
			}
			view, table := testView(replicas...)
			tracker := newReplicaTracker(0)
			var queue jobqueue.Queue
			for i := range 400 {
				queue.Add(jobqueue.Item{Key: jobqueue.Key{Item: i}, Service: "s", Model: "m", MinVersion: 4})
			}
			b.ReportAllocs()
			for b.Loop() {
				if placed := queue.Place(tracker.candidates(view, table, testTime), testTime); len(placed) > 0 {
					b.Fatal("placed an item that no replica can run")
				}
			}
		})
	}
}

// A replica that moved from another shard is not used for a while, as the runner of that shard
// may not know of the move yet.
func TestReplicaOfAnotherShardIsNoCandidate(t *testing.T) {
	placed := map[string]sitestate.ShardNumber{"a": 1, "b": 2}
	sharded := func(model string) (*siteview.View, *routing.Table) {
		view, table := testView(sitestate.Replica{ID: "x", Slots: 2, Model: model})
		view.Shards, view.Placed = []sitestate.Shard{{Number: 1}, {Number: 2}}, placed
		return view, table
	}
	ours, table := sharded("a")
	tracker := newReplicaTracker(1)
	if candidate(t, tracker, ours, table, "x", testTime) == nil {
		t.Fatal("a replica of this shard is no candidate")
	}
	theirs, _ := sharded("b")
	if candidate(t, tracker, theirs, table, "x", testTime) != nil {
		t.Error("a replica of another shard is a candidate")
	}
	none, _ := sharded("")
	unassigned := none.ByService["s"].Slice()
	unassigned[0].Models = []sitestate.ModelVersion{{Name: "a", Version: 1}}
	none.ByService["s"] = sitestate.ListOf(unassigned...)
	if candidate(t, tracker, none, table, "x", testTime) != nil {
		t.Error("a replica without an assigned model is a candidate")
	}
	theirs, _ = sharded("b")
	candidate(t, tracker, theirs, table, "x", testTime)
	back, _ := sharded("a")
	if candidate(t, tracker, back, table, "x", testTime) != nil {
		t.Error("a candidate immediately after the move")
	}
	if candidate(t, tracker, back, table, "x", testTime.Add(handoverPause)) == nil {
		t.Error("not a candidate after the pause")
	}
}
