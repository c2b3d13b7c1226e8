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

// The limit holds with concurrent and cancelled calls, and all others run.
func TestScoreLimiterLimit(t *testing.T) {
	const limit, calls = 3, 200
	limiter := newScoreLimiter()
	var running, highest, done atomic.Int64
	var tasks sync.WaitGroup
	for i := range calls {
		tasks.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%5 == 0 {
				cancel() // the job ended
			}
			if limiter.acquire(ctx, "s", limit) != nil {
				return
			}
			defer limiter.release("s", limit)
			now := running.Add(1)
			for previous := highest.Load(); now > previous && !highest.CompareAndSwap(previous, now); previous = highest.Load() {
			}
			time.Sleep(100 * time.Microsecond)
			running.Add(-1)
			done.Add(1)
		})
	}
	tasks.Wait()
	if highest.Load() > limit {
		t.Errorf("%d concurrent calls", highest.Load())
	}
	if done.Load() < calls*4/5 {
		t.Errorf("%d of %d calls ran", done.Load(), calls*4/5)
	}
	if err := limiter.acquire(context.Background(), "s", limit); err != nil || limiter.services["s"].running != 1 {
		t.Errorf("%d running at the end, %v", limiter.services["s"].running, err)
	}
}

// Calls run in FIFO order, independently for each service.
func TestScoreLimiterOrder(t *testing.T) {
	limiter := newScoreLimiter()
	ctx := context.Background()
	if err := limiter.acquire(ctx, "s", 1); err != nil {
		t.Fatal(err)
	}
	admitted := make(chan int, 3)
	for i := range 3 {
		go func() {
			if limiter.acquire(ctx, "s", 1) == nil {
				admitted <- i
			}
		}()
		for limiter.waitingFor("s") != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	if err := limiter.acquire(ctx, "other", 1); err != nil {
		t.Error("blocked by another service")
	}
	for want := range 3 {
		limiter.release("s", 1)
		if got := <-admitted; got != want {
			t.Errorf("call %d ran, want %d", got, want)
		}
	}
	short, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	if err := limiter.acquire(short, "s", 1); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("cancelled call: %v", err)
	}
	if limiter.waitingFor("s") != 0 {
		t.Error("a cancelled call still waits")
	}
}

func (l *scoreLimiter) waitingFor(service string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.services[service].waiting)
}

func TestMaxScoreCalls(t *testing.T) {
	for name, row := range map[string]struct {
		replicas []sitestate.Replica
		shards   int
		want     int
	}{
		"three replicas of six slots":   {[]sitestate.Replica{{Slots: 6}, {Slots: 6}, {Slots: 6}}, 1, 17},
		"shared by four shards":         {[]sitestate.Replica{{Slots: 40}, {Slots: 40}}, 4, 19},
		"few slots":                     {[]sitestate.Replica{{Slots: 1}}, 4, 2},
		"no replicas":                   {nil, 1, 2},
		"replicas that report no slots": {make([]sitestate.Replica, 8), 1, 7},
		"no shards":                     {[]sitestate.Replica{{Slots: 8}}, 0, 7},
	} {
		view := &siteview.View{View: &sitestate.View{
			ByService: map[string]sitestate.ReplicaList{"s": sitestate.ListOf(row.replicas...)}, Shards: make([]sitestate.Shard, row.shards),
		}}
		if got := maxScoreCalls(view, "s"); got != row.want {
			t.Errorf("%s: limit %d, want %d", name, got, row.want)
		}
	}
}
