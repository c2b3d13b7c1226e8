package requestkeys

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

// ErrKeyReused is returned for a key that was used for a different request.
var ErrKeyReused = errors.New("request key was used for a different request")

// ErrFull is returned if every stored key is still in use.
var ErrFull = errors.New("too many request keys in use")

// Store stores attempts by key. It is safe for concurrent use.
type Store[T any] struct {
	retention time.Duration
	max       int

	mutex   sync.Mutex
	entries map[string]*Attempt[T]
	order   *list.List // finished attempts, oldest first
}

// Attempt is the one attempt shared by all requests with a key.
type Attempt[T any] struct {
	store       *Store[T]
	key         string
	fingerprint uint64
	done        chan struct{}
	outcome     T
	finished    time.Time
	element     *list.Element
}

// New returns a store of at most max keys that stores outcomes for the retention time.
func New[T any](retention time.Duration, max int) *Store[T] {
	return &Store[T]{retention: retention, max: max, entries: make(map[string]*Attempt[T]), order: list.New()}
}

// Begin returns the attempt of a key. If first is true, the caller must run the request
// and call Finish or Discard; otherwise it waits for Done. The fingerprint identifies
// the request: Begin returns ErrKeyReused if it differs from the stored one, and ErrFull
// if no key can be added.
func (s *Store[T]) Begin(key string, fingerprint uint64, now time.Time) (attempt *Attempt[T], first bool, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.expire(now)
	if stored, found := s.entries[key]; found {
		if stored.fingerprint != fingerprint {
			return nil, false, ErrKeyReused
		}
		return stored, false, nil
	}
	if len(s.entries) >= s.max {
		return nil, false, ErrFull
	}
	attempt = &Attempt[T]{store: s, key: key, fingerprint: fingerprint, done: make(chan struct{})}
	s.entries[key] = attempt
	return attempt, true, nil
}

// Len returns the number of stored keys.
func (s *Store[T]) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.entries)
}

func (s *Store[T]) expire(now time.Time) {
	for front := s.order.Front(); front != nil; front = s.order.Front() {
		oldest := front.Value.(*Attempt[T])
		if now.Sub(oldest.finished) < s.retention {
			return
		}
		s.order.Remove(front)
		delete(s.entries, oldest.key)
	}
}

// Done returns a channel that is closed when the attempt has its outcome.
func (a *Attempt[T]) Done() <-chan struct{} { return a.done }

// Outcome returns the outcome. It is valid once Done is closed.
func (a *Attempt[T]) Outcome() T {
	a.store.mutex.Lock()
	defer a.store.mutex.Unlock()
	return a.outcome
}

// Finish stores the outcome and closes Done. Further calls have no effect.
func (a *Attempt[T]) Finish(outcome T, now time.Time) {
	a.store.mutex.Lock()
	defer a.store.mutex.Unlock()
	if a.element != nil || a.store.entries[a.key] != a {
		return
	}
	a.outcome = outcome
	a.finished = now
	a.element = a.store.order.PushBack(a)
	close(a.done)
}

// Discard sets the outcome, closes Done and removes the key, so that the next request
// with the key runs. It is for requests that did not run.
func (a *Attempt[T]) Discard(outcome T) {
	a.store.mutex.Lock()
	defer a.store.mutex.Unlock()
	if a.element != nil || a.store.entries[a.key] != a {
		return
	}
	delete(a.store.entries, a.key)
	a.outcome = outcome
	close(a.done)
}

// Update replaces the outcome of a finished attempt; an unknown or unfinished attempt is
// left unchanged.
func (s *Store[T]) Update(key string, fingerprint uint64, outcome T) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stored := s.entries[key]
	if stored != nil && stored.element != nil && stored.fingerprint == fingerprint {
		stored.outcome = outcome
	}
}

// Remove removes a finished attempt, so that the next request with its key runs.
func (s *Store[T]) Remove(key string, fingerprint uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stored := s.entries[key]
	if stored != nil && stored.element != nil && stored.fingerprint == fingerprint {
		s.order.Remove(stored.element)
		delete(s.entries, key)
	}
}
