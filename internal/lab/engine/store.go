package engine

import "time"

// Store models a weight store or link with a limited rate. Transfers run one after
// another at the full rate. It is not safe for concurrent use.
type Store struct {
	bytesPerSecond int64
	busyUntil      time.Duration
}

// NewStore returns a store that transfers bytesPerSecond in total.
func NewStore(bytesPerSecond int64) *Store {
	return &Store{bytesPerSecond: max(bytesPerSecond, 1)}
}

// Reserve adds a transfer requested at time now and returns when it ends.
func (s *Store) Reserve(now time.Duration, bytes int64) time.Duration {
	start := max(now, s.busyUntil)
	seconds := float64(bytes) / float64(s.bytesPerSecond)
	s.busyUntil = start + time.Duration(seconds*float64(time.Second))
	return s.busyUntil
}
