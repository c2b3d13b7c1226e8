package engine

import (
	"sort"
	"time"
)

// Feed delivers cache events with a delay and with gaps, like a real engine.
type Feed struct {
	lag       time.Duration
	dropEvery uint64 // every dropEvery-th event is dropped; 0 drops none
	capacity  int
	entries   []feedEntry
}

type feedEntry struct {
	at    time.Duration
	event CacheEvent
}

// NewFeed returns a feed that delays events by lag, drops every dropEvery-th one (0 for
// none) and stores at least the latest capacity events.
func NewFeed(lag time.Duration, dropEvery uint64, capacity int) *Feed {
	return &Feed{lag: lag, dropEvery: dropEvery, capacity: max(capacity, 1)}
}

// Append adds an event that occurred at time at.
func (f *Feed) Append(at time.Duration, event CacheEvent) {
	if f.dropEvery > 0 && event.Sequence%f.dropEvery == 0 {
		return
	}
	if len(f.entries) >= 2*f.capacity {
		count := copy(f.entries, f.entries[len(f.entries)-f.capacity:])
		f.entries = f.entries[:count]
	}
	f.entries = append(f.entries, feedEntry{at, event})
}

// Reset removes all events. The driver calls it when the engine restarts.
func (f *Feed) Reset() { f.entries = f.entries[:0] }

// First returns the lowest stored sequence number, or 0 if there are no events.
func (f *Feed) First() uint64 {
	if len(f.entries) == 0 {
		return 0
	}
	return f.entries[0].event.Sequence
}

// After returns up to limit events with a sequence number above after that are visible
// at time now. Dropped events leave gaps in the sequence numbers.
func (f *Feed) After(now time.Duration, after uint64, limit int) []CacheEvent {
	first := sort.Search(len(f.entries), func(i int) bool { return f.entries[i].event.Sequence > after })
	var visible []CacheEvent
	for _, entry := range f.entries[first:] {
		if entry.at+f.lag > now || len(visible) >= limit {
			break
		}
		visible = append(visible, entry.event)
	}
	return visible
}

// Lagged delays values by a fixed lag.
type Lagged[T any] struct {
	lag     time.Duration
	entries []laggedEntry[T]
}

type laggedEntry[T any] struct {
	at    time.Duration
	value T
}

// NewLagged returns a Lagged that delays values by lag.
func NewLagged[T any](lag time.Duration) *Lagged[T] { return &Lagged[T]{lag: lag} }

// Put records the value at time at. Times must not decrease.
func (l *Lagged[T]) Put(at time.Duration, value T) {
	l.entries = append(l.entries, laggedEntry[T]{at, value})
	l.trim(at)
}

// Get returns the newest value that is visible at time now; ok is false if there is none
// yet.
func (l *Lagged[T]) Get(now time.Duration) (value T, ok bool) {
	l.trim(now)
	if len(l.entries) == 0 || l.entries[0].at+l.lag > now {
		return value, false
	}
	return l.entries[0].value, true
}

// trim removes values that are superseded by a newer visible one.
func (l *Lagged[T]) trim(now time.Duration) {
	drop := 0
	for drop+1 < len(l.entries) && l.entries[drop+1].at+l.lag <= now {
		drop++
	}
	l.entries = append(l.entries[:0], l.entries[drop:]...)
}
