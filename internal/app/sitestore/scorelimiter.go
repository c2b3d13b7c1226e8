package sitestore

import (
	"context"
	"sync"

	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/admission"
)

// scoreLimiter limits the concurrent reward calls to each service, in FIFO order. Without the
// limit, a burst of calls times out in the replicas' queues, and its retries keep the service
// overloaded. Hundreds of texts can complete at once, above all after all machines were down.
type scoreLimiter struct {
	mutex    sync.Mutex
	services map[string]*scoreQueue
}

// scoreQueue is the state of one service.
type scoreQueue struct {
	running int
	// waiting are channels closed in turn to admit their callers.
	waiting []chan struct{}
}

func newScoreLimiter() *scoreLimiter { return &scoreLimiter{services: map[string]*scoreQueue{}} }

// maxScoreCalls returns the limit of one runner's concurrent reward calls to a service.
func maxScoreCalls(view *siteview.View, service string) int {
	slots := 0
	for replica := range view.ByService[service].All() {
		slots += max(1, replica.Slots)
	}
	return admission.ShareOf(admission.RewardTraffic, slots, len(view.Shards)).InFlight
}

// acquire waits until the service has a free slot. After a nil error the caller must call
// release.
func (l *scoreLimiter) acquire(ctx context.Context, service string, limit int) error {
	l.mutex.Lock()
	queue := l.services[service]
	if queue == nil {
		queue = &scoreQueue{}
		l.services[service] = queue
	}
	if queue.running < limit && len(queue.waiting) == 0 {
		queue.running++
		l.mutex.Unlock()
		return nil
	}
	admitted := make(chan struct{})
	queue.waiting = append(queue.waiting, admitted)
	queue.admit(limit)
	l.mutex.Unlock()
	select {
	case <-admitted:
		return nil
	case <-ctx.Done():
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !queue.remove(admitted) {
		// The slot was granted concurrently; release it.
		queue.running--
		queue.admit(limit)
	}
	return ctx.Err()
}

// release frees a slot and admits the next caller.
func (l *scoreLimiter) release(service string, limit int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	queue := l.services[service]
	queue.running--
	queue.admit(limit)
}

// admit admits waiting callers while slots are free.
func (q *scoreQueue) admit(limit int) {
	for q.running < limit && len(q.waiting) > 0 {
		close(q.waiting[0])
		q.waiting = q.waiting[1:]
		q.running++
	}
}

// remove removes a waiting caller; it returns false if the caller was admitted already.
func (q *scoreQueue) remove(admitted chan struct{}) bool {
	for i, waiting := range q.waiting {
		if waiting == admitted {
			q.waiting = append(q.waiting[:i:i], q.waiting[i+1:]...)
			return true
		}
	}
	return false
}
