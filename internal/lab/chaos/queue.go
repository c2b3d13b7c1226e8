package chaos

import (
	"container/heap"
	"time"
)

// event is a function to run at a point of virtual time. Events at the same time run in the
// order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int)   { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(value any) { *h = append(*h, value.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return value
}

// queue is the virtual clock with its pending events.
type queue struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// at schedules run at a time; a time in the past means now.
func (q *queue) at(when time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.events, event{at: max(when, q.now), sequence: q.sequence, run: run})
}

// after schedules run after a delay.
func (q *queue) after(delay time.Duration, run func()) { q.at(q.now+delay, run) }

// step runs the next event unless it is later than until, and reports whether it did.
func (q *queue) step(until time.Duration) bool {
	if len(q.events) == 0 || q.events[0].at > until {
		q.now = max(q.now, until)
		return false
	}
	next := heap.Pop(&q.events).(event)
	q.now = next.at
	next.run()
	return true
}
