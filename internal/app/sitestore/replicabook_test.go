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

var bookTime = time.Unix(1000, 0)

func bookView(replicas ...sitestate.Replica) (*siteview.View, *routing.Table) {
	view := &siteview.View{View: &sitestate.View{Replicas: sitestate.SetOf(replicas...), ByService: map[string]sitestate.ReplicaList{"s": sitestate.ListOf(replicas...)}}}
	return view, routing.NewTable(&routing.Document{Version: 1, Services: []routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 6}}}})
}

func candidate(t *testing.T, book *replicaBook, view *siteview.View, table *routing.Table, id string, now time.Time) *jobqueue.Replica {
	t.Helper()
	for _, replica := range book.candidates(view, table, now) {
		if replica.ID == id {
			return &replica
		}
	}
	return nil
}

func TestCandidatesCountRuns(t *testing.T) {
	view, table := bookView(sitestate.Replica{ID: "a", Slots: 2}, sitestate.Replica{ID: "b"})
	book := newReplicaBook(0)
	item := &work{item: jobstate.Item{Group: "g"}}
	book.enter(item, "a", bookTime)
	a := candidate(t, book, view, table, "a", bookTime)
	if a == nil || a.Free != 1 || a.Running != 1 || !a.HasPrompt("g") || a.HasPrompt("h") {
		t.Errorf("%+v", a)
	}
	if b := candidate(t, book, view, table, "b", bookTime); b == nil || b.Free != 6 {
		t.Errorf("%+v", b)
	}
	if later := candidate(t, book, view, table, "a", bookTime.Add(time.Minute)); later.HasPrompt("g") {
		t.Error("an old prompt is taken to be kept")
	}
	book.leave(item)
	book.leave(item)
	if a = candidate(t, book, view, table, "a", bookTime); a.Free != 2 {
		t.Errorf("after leaving: %+v", a)
	}
}

func TestBlockedReplicasAreNoCandidates(t *testing.T) {
	view, table := bookView(sitestate.Replica{ID: "a", Slots: 2})
	book := newReplicaBook(0)
	book.block("a", bookTime.Add(time.Second))
	book.block("a", bookTime.Add(time.Millisecond)) // a shorter one changes nothing
	if candidate(t, book, view, table, "a", bookTime.Add(999*time.Millisecond)) != nil {
		t.Error("taken while it is blocked")
	}
	if candidate(t, book, view, table, "a", bookTime.Add(time.Second)) == nil {
		t.Error("not taken again")
	}
}

func TestExpectedPaceReturnsToBaseline(t *testing.T) {
	view, table := bookView(sitestate.Replica{ID: "slow", Slots: 2}, sitestate.Replica{ID: "fast", Slots: 2}, sitestate.Replica{ID: "new", Slots: 2})
	book := newReplicaBook(0)
	for range 200 {
		book.measure("slow", 90*time.Millisecond, bookTime)
		book.measure("fast", 30*time.Millisecond, bookTime)
	}
	pace := func(id string, now time.Time) time.Duration { return candidate(t, book, view, table, id, now).Pace }
	if slow, fast := pace("slow", bookTime), pace("fast", bookTime); slow != 90*time.Millisecond || fast != 30*time.Millisecond {
		t.Errorf("slow %v, fast %v", slow, fast)
	}
	if unknown := pace("new", bookTime); unknown <= 30*time.Millisecond || unknown >= 90*time.Millisecond {
		t.Errorf("one of which nothing is known: %v", unknown)
	}
	for range 4 {
		book.watched("fast", []time.Duration{200 * time.Millisecond, 40 * time.Millisecond, 190 * time.Millisecond}, bookTime)
	}
	if fast := pace("fast", bookTime); fast < 150*time.Millisecond {
		t.Errorf("while its runs are slow: %v", fast)
	}
	later := bookTime.Add(time.Minute)
	if slow, fast := pace("slow", later), pace("fast", later); slow != 90*time.Millisecond || fast > 31*time.Millisecond {
		t.Errorf("after a minute: slow %v, fast %v", slow, fast)
	}
}

func TestReservedSlotsAreNotFree(t *testing.T) {
	view, table := bookView(sitestate.Replica{ID: "a", Slots: 2})
	book := newReplicaBook(0)
	book.reserve("a")
	if a := candidate(t, book, view, table, "a", bookTime); a.Free != 1 {
		t.Errorf("free %d", a.Free)
	}
	book.release("a")
	book.release("a")
	if a := candidate(t, book, view, table, "a", bookTime); a.Free != 2 {
		t.Errorf("free %d after it was released", a.Free)
	}
}

func TestVersionsFromResponses(t *testing.T) {
	view, table := bookView(sitestate.Replica{ID: "a", Slots: 2, Models: []sitestate.ModelVersion{{Name: "m", Version: 3}}})
	book := newReplicaBook(0)
	book.entry("a").versions["m"] = 4
	if got := candidate(t, book, view, table, "a", bookTime).Version("m"); got != 4 {
		t.Errorf("version %d", got)
	}
}

func TestDemandRates(t *testing.T) {
	meter := newDemandMeter(bookTime)
	now := bookTime
	var rates map[string]float64
	for range 100 {
		now = now.Add(demandInterval)
		for range 5 {
			meter.whole("busy", 20)
		}
		meter.whole("idle", 10)
		var due bool
		if rates, due = meter.rates(map[string]int{"waiting": 8}, now); !due {
			t.Fatal("no measurement is due")
		}
	}
	if rates["busy"] < 9*rates["idle"] || rates["waiting"] <= 0 {
		t.Errorf("%v", rates)
	}
	if _, due := meter.rates(nil, now); due {
		t.Error("due again at once")
	}
}

func TestCandidatesFollowTheView(t *testing.T) {
	first, table := bookView(sitestate.Replica{ID: "a", Slots: 2}, sitestate.Replica{ID: "b", Slots: 2})
	second, _ := bookView(sitestate.Replica{ID: "b", Slots: 4})
	book := newReplicaBook(0)
	item := &work{}
	book.candidates(first, table, bookTime)
	book.enter(item, "b", bookTime)
	book.forget(second, bookTime)
	if candidate(t, book, second, table, "a", bookTime) != nil {
		t.Error("a replica that is gone is a candidate")
	}
	if b := candidate(t, book, second, table, "b", bookTime); b == nil || b.Free != 3 {
		t.Errorf("%+v", b)
	}
}

// BenchmarkPlace looks for places for 400 items, of which none fits, as at a
// runner that waits for weights.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{10, 350, 3500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var replicas []sitestate.Replica
			for i := range count {
				replicas = append(replicas, sitestate.Replica{ID: fmt.Sprint("i", i), Slots: 6, Models: []sitestate.ModelVersion{{Name: "m", Version: 3}}})
			}
			view, table := bookView(replicas...)
			book := newReplicaBook(0)
			var queue jobqueue.Queue
			for i := range 400 {
				queue.Add(jobqueue.Item{Key: jobqueue.Key{Item: i}, Service: "s", Model: "m", MinVersion: 4})
			}
			b.ReportAllocs()
			for b.Loop() {
				if placed := queue.Place(book.candidates(view, table, bookTime), bookTime); len(placed) > 0 {
					b.Fatal("placed")
				}
			}
		})
	}
}

// TestAReplicaOfAnotherShardIsLeftAlone: also for a while after it has come over, as
// the runner before may not know of it yet.
func TestReplicaOfAnotherShardIsNoCandidate(t *testing.T) {
	placed := map[string]sitestate.ShardNumber{"a": 1, "b": 2}
	sharded := func(model string) (*siteview.View, *routing.Table) {
		view, table := bookView(sitestate.Replica{ID: "x", Slots: 2, Model: model})
		view.Shards, view.Placed = []sitestate.Shard{{Number: 1}, {Number: 2}}, placed
		return view, table
	}
	ours, table := sharded("a")
	book := newReplicaBook(1)
	if candidate(t, book, ours, table, "x", bookTime) == nil {
		t.Fatal("a replica of this shard is not used")
	}
	theirs, _ := sharded("b")
	if candidate(t, book, theirs, table, "x", bookTime) != nil {
		t.Error("a replica of another shard is used")
	}
	nobodys, _ := sharded("")
	without := nobodys.ByService["s"].Slice()
	without[0].Models = []sitestate.ModelVersion{{Name: "a", Version: 1}}
	nobodys.ByService["s"] = sitestate.ListOf(without...)
	if candidate(t, book, nobodys, table, "x", bookTime) != nil {
		t.Error("a replica that is kept at no model yet is used")
	}
	theirs, _ = sharded("b")
	candidate(t, book, theirs, table, "x", bookTime)
	back, _ := sharded("a")
	if candidate(t, book, back, table, "x", bookTime) != nil {
		t.Error("a replica is used at once after it has come over")
	}
	if candidate(t, book, back, table, "x", bookTime.Add(takeOverPause)) == nil {
		t.Error("a replica that came over is never used")
	}
}
