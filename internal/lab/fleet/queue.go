package fleet

import (
	"container/heap"
	"time"
)

// event is something that happens at a virtual time.
type event struct {
	at time.Duration
	// sequence orders events of one time by when they were asked for.
	sequence uint64
	run      func()
}

// eventHeap implements heap.Interface.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(a, b int) bool {
	if h[a].at != h[b].at {
		return h[a].at < h[b].at
	}
	return h[a].sequence < h[b].sequence
}

func (h eventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

func (h *eventHeap) Push(item any) { *h = append(*h, item.(event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	item := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return item
}

// queue runs events in the order of their virtual time.
type queue struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
	ran      uint64
}

// after asks for an event some time from now.
func (q *queue) after(delay time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.events, event{at: q.now + max(delay, 0), sequence: q.sequence, run: run})
}

// runUntil runs all events up to a time.
func (q *queue) runUntil(until time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= until {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		q.ran++
		next.run()
	}
	q.now = until
}
