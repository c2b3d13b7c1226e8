package sim

import "time"

// eventQueue is a priority queue ordered by time, then by insertion order, which makes
// runs deterministic.
type eventQueue struct {
	heap  []scheduled
	order uint64
}

// scheduled is an entry of the queue.
type scheduled struct {
	at    time.Duration
	order uint64
	run   func()
}

func (s *scheduled) before(other *scheduled) bool {
	if s.at != other.at {
		return s.at < other.at
	}
	return s.order < other.order
}

// push adds an entry.
func (q *eventQueue) push(at time.Duration, run func()) {
	q.order++
	q.heap = append(q.heap, scheduled{at: at, order: q.order, run: run})
	child := len(q.heap) - 1
	for child > 0 {
		parent := (child - 1) / 2
		if !q.heap[child].before(&q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		child = parent
	}
}

// pop removes and returns the first entry; false means that the queue is empty.
func (q *eventQueue) pop() (scheduled, bool) {
	if len(q.heap) == 0 {
		return scheduled{}, false
	}
	first := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = scheduled{}
	q.heap = q.heap[:last]
	q.siftDown(0)
	return first, true
}

// siftDown moves an entry down to its position in the heap.
func (q *eventQueue) siftDown(parent int) {
	for {
		child := 2*parent + 1
		if child >= len(q.heap) {
			return
		}
		if other := child + 1; other < len(q.heap) && q.heap[other].before(&q.heap[child]) {
			child = other
		}
		if !q.heap[child].before(&q.heap[parent]) {
			return
		}
		q.heap[child], q.heap[parent] = q.heap[parent], q.heap[child]
		parent = child
	}
}
