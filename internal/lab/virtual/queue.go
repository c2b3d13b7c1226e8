// Package virtual provides virtual time: a queue of work that runs in time order.
package virtual

import (
	"container/heap"
	"time"
)

// Queue runs work ordered by time, then by insertion order, which makes runs
// deterministic. The zero value is ready for use. It is not safe for concurrent use.
type Queue struct {
	now      time.Duration
	sequence uint64
	steps    uint64
	entries  entryHeap
}

type entry struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// Now returns the current virtual time.
func (q *Queue) Now() time.Duration { return q.now }

// Steps returns the number of entries run.
func (q *Queue) Steps() uint64 { return q.steps }

// After schedules work after a delay; a negative delay means now.
func (q *Queue) After(delay time.Duration, run func()) {
	q.sequence++
	heap.Push(&q.entries, entry{at: q.now + max(delay, 0), sequence: q.sequence, run: run})
}

// Every schedules periodic work, first at offset.
func (q *Queue) Every(interval, offset time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		q.After(interval, again)
	}
	q.After(offset, again)
}

// RunUntil runs all work up to a time.
func (q *Queue) RunUntil(end time.Duration) {
	for len(q.entries) > 0 && q.entries[0].at <= end {
		next := heap.Pop(&q.entries).(entry)
		q.now = next.at
		q.steps++
		next.run()
	}
	q.now = max(q.now, end)
}

// entryHeap implements heap.Interface.
type entryHeap []entry

func (h entryHeap) Len() int { return len(h) }
func (h entryHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h entryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entryHeap) Push(value any) { *h = append(*h, value.(entry)) }

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	last := len(*h) - 1
	value := (*h)[last]
	(*h)[last] = entry{}
	*h = (*h)[:last]
	return value
}
