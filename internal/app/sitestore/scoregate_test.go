package sitestore

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
)

// TestRewardCallsAreBoundedAtOnce: whatever comes and gives up, never more than allowed
// run, and all that stay get their turn.
func TestScoreLimiterLimit(t *testing.T) {
	const most, calls = 3, 200
	gate := newScoreGate()
	var running, highest, done atomic.Int64
	var tasks sync.WaitGroup
	for i := range calls {
		tasks.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%5 == 0 {
				cancel() // its job ended
			}
			if gate.enter(ctx, "s", most) != nil {
				return
			}
			defer gate.leave("s", most)
			now := running.Add(1)
			for held := highest.Load(); now > held && !highest.CompareAndSwap(held, now); held = highest.Load() {
			}
			time.Sleep(100 * time.Microsecond)
			running.Add(-1)
			done.Add(1)
		})
	}
	tasks.Wait()
	if highest.Load() > most {
		t.Errorf("%d at once", highest.Load())
	}
	if done.Load() < calls*4/5 {
		t.Errorf("%d of %d had their turn", done.Load(), calls*4/5)
	}
	if err := gate.enter(context.Background(), "s", most); err != nil || gate.services["s"].running != 1 {
		t.Errorf("afterwards %d count as running, %v", gate.services["s"].running, err)
	}
}

// TestRewardCallsHaveTheirTurnInOrder: those that came first, at each service apart.
func TestScoreLimiterOrder(t *testing.T) {
	gate := newScoreGate()
	ctx := context.Background()
	if err := gate.enter(ctx, "s", 1); err != nil {
		t.Fatal(err)
	}
	turns := make(chan int, 3)
	for i := range 3 {
		go func() {
			if gate.enter(ctx, "s", 1) == nil {
				turns <- i
			}
		}()
		for gate.waitingAt("s") != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	if err := gate.enter(ctx, "other", 1); err != nil {
		t.Error("another service is held up")
	}
	for want := range 3 {
		gate.leave("s", 1)
		if got := <-turns; got != want {
			t.Errorf("turn of %d, want %d", got, want)
		}
	}
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if err := gate.enter(short, "s", 1); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("one that gave up: %v", err)
	}
	if gate.waitingAt("s") != 0 {
		t.Error("one that gave up still waits")
	}
}

func (g *scoreGate) waitingAt(service string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.services[service].waiting)
}

func TestMaxScoreCalls(t *testing.T) {
	for name, row := range map[string]struct {
		replicas []sitestate.Replica
		shards   int
		want     int
	}{
		"three of six places":            {[]sitestate.Replica{{Slots: 6}, {Slots: 6}, {Slots: 6}}, 1, 17},
		"four shards share them":         {[]sitestate.Replica{{Slots: 40}, {Slots: 40}}, 4, 19},
		"few places":                     {[]sitestate.Replica{{Slots: 1}}, 4, 2},
		"no replica is known":            {nil, 1, 2},
		"they do not state their places": {make([]sitestate.Replica, 8), 1, 7},
		"no shard is known yet":          {[]sitestate.Replica{{Slots: 8}}, 0, 7},
	} {
		view := &siteview.View{View: &sitestate.View{
			ByService: map[string]sitestate.ReplicaList{"s": sitestate.ListOf(row.replicas...)}, Shards: make([]sitestate.Shard, row.shards),
		}}
		if got := scoresAtOnce(view, "s"); got != row.want {
			t.Errorf("%s: %d at once, want %d", name, got, row.want)
		}
	}
}
