package engine

import (
	"sort"
	"time"
)

// Feed publishes cache events late and with gaps, as real engines do.
type Feed struct {
	lag      time.Duration
	dropEach uint64 // every n-th event is lost; 0 loses none
	capacity int
	entries  []feedEntry
}

type feedEntry struct {
	at     time.Duration
	change CacheEvent
}

// NewFeed returns a feed that shows events after lag, loses every dropEach-th
// one (0 for none) and keeps the newest capacity events.
func NewFeed(lag time.Duration, dropEach uint64, capacity int) *Feed {
	return &Feed{lag: lag, dropEach: dropEach, capacity: max(capacity, 1)}
}

// Append adds an event that happened at this time.
func (f *Feed) Append(at time.Duration, change CacheEvent) {
	if f.dropEach > 0 && change.Sequence%f.dropEach == 0 {
		return
	}
	if len(f.entries) >= 2*f.capacity {
		kept := copy(f.entries, f.entries[len(f.entries)-f.capacity:])
		f.entries = f.entries[:kept]
	}
	f.entries = append(f.entries, feedEntry{at, change})
}

// Reset forgets all events, as a restart of the engine does.
func (f *Feed) Reset() { f.entries = f.entries[:0] }

// First returns the lowest sequence number that is kept, or 0 when none is.
func (f *Feed) First() uint64 {
	if len(f.entries) == 0 {
		return 0
	}
	return f.entries[0].change.Sequence
}

// After returns up to limit events with a sequence number above after that
// are visible at time now. A reader sees a gap as a jump in the numbers.
func (f *Feed) After(now time.Duration, after uint64, limit int) []CacheEvent {
	first := sort.Search(len(f.entries), func(i int) bool { return f.entries[i].change.Sequence > after })
	var visible []CacheEvent
	for _, entry := range f.entries[first:] {
		if entry.at+f.lag > now || len(visible) >= limit {
			break
		}
		visible = append(visible, entry.change)
	}
	return visible
}

// Lagged shows values as they were some time ago.
type Lagged[T any] struct {
	lag     time.Duration
	entries []laggedEntry[T]
}

type laggedEntry[T any] struct {
	at    time.Duration
	value T
}

// NewLagged returns a holder that shows values after lag.
func NewLagged[T any](lag time.Duration) *Lagged[T] { return &Lagged[T]{lag: lag} }

// Put records the value at this time. Times must not decrease.
func (l *Lagged[T]) Put(at time.Duration, value T) {
	l.entries = append(l.entries, laggedEntry[T]{at, value})
	l.trim(at)
}

// Get returns the newest value that is visible at time now; ok is false when
// there is none yet.
func (l *Lagged[T]) Get(now time.Duration) (value T, ok bool) {
	l.trim(now)
	if len(l.entries) == 0 || l.entries[0].at+l.lag > now {
		return value, false
	}
	return l.entries[0].value, true
}

// trim drops the values that a newer visible one hides.
func (l *Lagged[T]) trim(now time.Duration) {
	drop := 0
	for drop+1 < len(l.entries) && l.entries[drop+1].at+l.lag <= now {
		drop++
	}
	l.entries = append(l.entries[:0], l.entries[drop:]...)
}
