package requestkeys

import (
	"container/list"
	"errors"
	"sync"
	"time"
)

// ErrOtherRequest says that a key was used before for a different request.
var ErrOtherRequest = errors.New("request key was used for a different request")

// ErrFull says that every remembered key is still in use.
var ErrFull = errors.New("too many request keys in use")

// Memory remembers attempts by key. It is safe for use by many goroutines.
type Memory[T any] struct {
	keep time.Duration
	max  int

	mutex   sync.Mutex
	entries map[string]*Attempt[T]
	order   *list.List // finished attempts, oldest first
}

// Attempt is the one attempt that all requests with a key share.
type Attempt[T any] struct {
	memory      *Memory[T]
	key         string
	fingerprint uint64
	done        chan struct{}
	outcome     T
	finished    time.Time
	element     *list.Element
}

// New gives a memory that keeps an outcome for keep and at most max keys.
func New[T any](keep time.Duration, max int) *Memory[T] {
	return &Memory[T]{keep: keep, max: max, entries: make(map[string]*Attempt[T]), order: list.New()}
}

// Begin gives the attempt of a key. First says that the caller has to run it
// and to call Finish or Forget; otherwise the caller waits on Done. The
// fingerprint tells requests apart that must not share a key: another one gives
// ErrOtherRequest. ErrFull says that no place could be made.
func (m *Memory[T]) Begin(key string, fingerprint uint64, now time.Time) (attempt *Attempt[T], first bool, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now)
	if known, found := m.entries[key]; found {
		if known.fingerprint != fingerprint {
			return nil, false, ErrOtherRequest
		}
		return known, false, nil
	}
	if len(m.entries) >= m.max {
		return nil, false, ErrFull
	}
	attempt = &Attempt[T]{memory: m, key: key, fingerprint: fingerprint, done: make(chan struct{})}
	m.entries[key] = attempt
	return attempt, true, nil
}

// Len gives the number of remembered keys.
func (m *Memory[T]) Len() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.entries)
}

func (m *Memory[T]) expire(now time.Time) {
	for front := m.order.Front(); front != nil; front = m.order.Front() {
		oldest := front.Value.(*Attempt[T])
		if now.Sub(oldest.finished) < m.keep {
			return
		}
		m.order.Remove(front)
		delete(m.entries, oldest.key)
	}
}

// Done is closed when the attempt has its outcome.
func (a *Attempt[T]) Done() <-chan struct{} { return a.done }

// Outcome is valid once Done is closed.
func (a *Attempt[T]) Outcome() T {
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	return a.outcome
}

// Finish records the outcome, wakes those who wait and keeps it. Later calls
// have no effect.
func (a *Attempt[T]) Finish(outcome T, now time.Time) {
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	if a.element != nil || a.memory.entries[a.key] != a {
		return
	}
	a.outcome = outcome
	a.finished = now
	a.element = a.memory.order.PushBack(a)
	close(a.done)
}

// Forget gives the outcome to those who wait and forgets the key, so that the
// next request with it runs anew: for requests that did not run.
func (a *Attempt[T]) Forget(outcome T) {
	a.memory.mutex.Lock()
	defer a.memory.mutex.Unlock()
	if a.element != nil || a.memory.entries[a.key] != a {
		return
	}
	delete(a.memory.entries, a.key)
	a.outcome = outcome
	close(a.done)
}

// Revise replaces the outcome of a finished attempt; an unknown or unfinished
// one is left alone.
func (m *Memory[T]) Revise(key string, fingerprint uint64, outcome T) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.entries[key]
	if known != nil && known.element != nil && known.fingerprint == fingerprint {
		known.outcome = outcome
	}
}

// Drop forgets a finished attempt, so that the next request with its key runs
// anew.
func (m *Memory[T]) Drop(key string, fingerprint uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known := m.entries[key]
	if known != nil && known.element != nil && known.fingerprint == fingerprint {
		m.order.Remove(known.element)
		delete(m.entries, key)
	}
}
