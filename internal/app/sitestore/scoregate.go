package sitestore

import (
	"context"
	"sync"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/jobqueue"
)

// scoreGate bounds the reward calls that are under way at each service, in the order in
// which they come. Hundreds of texts can be whole at once, after all machines were
// down above all. Sent at once, calls wait at the replicas for longer than they may take,
// are cut off shortly before their turn and sent again: the service works for nothing, and
// stays overloaded for good.
type scoreGate struct {
	mutex    sync.Mutex
	services map[string]*scoreQueue
}

// scoreQueue is the state of one service.
type scoreQueue struct {
	running int
	// waiting are closed in turn to let their owners in.
	waiting []chan struct{}
}

func newScoreGate() *scoreGate { return &scoreGate{services: map[string]*scoreQueue{}} }

// scoresAtOnce gives how many reward calls one runner may have under way at a service.
func scoresAtOnce(view *siteview.View, service string) int {
	places := 0
	for replica := range view.ByService[service].All() {
		places += max(1, replica.Slots)
	}
	return jobqueue.MaxRewardCalls(places, len(view.Shards))
}

// enter waits for its turn at a service that takes so many calls at once. If it returns
// no error, leave must follow.
func (g *scoreGate) enter(ctx context.Context, service string, most int) error {
	g.mutex.Lock()
	queue := g.services[service]
	if queue == nil {
		queue = &scoreQueue{}
		g.services[service] = queue
	}
	if queue.running < most && len(queue.waiting) == 0 {
		queue.running++
		g.mutex.Unlock()
		return nil
	}
	turn := make(chan struct{})
	queue.waiting = append(queue.waiting, turn)
	queue.letIn(most)
	g.mutex.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !queue.withdraw(turn) {
		// Its turn came at the same moment; the next one has it.
		queue.running--
		queue.letIn(most)
	}
	return ctx.Err()
}

// leave ends a call and lets the next one in.
func (g *scoreGate) leave(service string, most int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	queue := g.services[service]
	queue.running--
	queue.letIn(most)
}

// letIn gives those who wait their turn while there is room.
func (q *scoreQueue) letIn(most int) {
	for q.running < most && len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
}

// withdraw takes out one who waits; it reports false if its turn has come.
func (q *scoreQueue) withdraw(turn chan struct{}) bool {
	for i, waiting := range q.waiting {
		if waiting == turn {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
