// Package membudget limits the memory that a process uses for its clients: headers and bodies of
// requests in flight, what is decoded from them, and answers whose readers are slow. Memory is reserved
// before it is allocated. If the budget is exhausted, the caller must reject the request or stream the
// answer.
package membudget

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallReservation is the size up to which a reservation may use all of a budget. Larger ones leave
	// 1/largeReserveParts of it free unless they are alone, so that a few large requests do not shut out
	// all small ones.
	smallReservation  = 64 << 10
	largeReserveParts = 8
	// reliefTimeout limits how long a reservation waits for memory of evicted clients.
	reliefTimeout = 250 * time.Millisecond
)

// Budget is a limit in bytes, shared by all reservations. It is safe for concurrent use; a
// nil Budget has no limit.
type Budget struct {
	limit int64
	used  atomic.Int64

	mutex sync.Mutex
	// relief evict clients that hold memory and make no progress.
	relief []func() bool
	// released is closed when memory is released while a reservation waits for it; nil without one.
	released chan struct{}
}

// NewBudget returns a budget of limit bytes; 0 or less means no limit.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Limit returns the limit in bytes; 0 means none.
func (b *Budget) Limit() int64 {
	if b == nil {
		return 0
	}
	return b.limit
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// OnExhausted registers a function that evicts a client that holds memory without making progress. It
// reports whether there was one, and must not block. Reservations that fail call it.
func (b *Budget) OnExhausted(evict func() bool) {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.relief = append(b.relief, evict)
}

// reserve never exceeds the limit, not even for a moment: another reservation would fail by it.
func (b *Budget) reserve(bytes, limit int64) bool {
	for {
		used := b.used.Load()
		if bytes > limit-used {
			return false
		}
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

func (b *Budget) release(bytes int64) {
	if bytes == 0 {
		return
	}
	b.used.Add(-bytes)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// awaitRelease returns a channel that is closed with the next release.
func (b *Budget) awaitRelease() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released
}

// evict evicts one client, and reports whether there was one.
func (b *Budget) evict() bool {
	b.mutex.Lock()
	relief := b.relief
	b.mutex.Unlock()
	for _, evict := range relief {
		if evict() {
			return true
		}
	}
	return false
}

// reserveWithRelief reserves bytes, after evicting other clients if necessary. It fails at once if
// nobody can be evicted.
func (b *Budget) reserveWithRelief(bytes, limit int64) bool {
	if b.reserve(bytes, limit) {
		return true
	}
	if bytes > limit {
		return false
	}
	timeout := time.NewTimer(reliefTimeout)
	defer timeout.Stop()
	for {
		released := b.awaitRelease()
		if b.reserve(bytes, limit) {
			return true
		}
		if !b.evict() {
			return b.reserve(bytes, limit)
		}
		select {
		case <-released:
		case <-timeout.C:
			return b.reserve(bytes, limit)
		}
	}
}

// NewReservation returns an empty reservation for one request. The caller must call Close.
func (b *Budget) NewReservation() *Reservation { return &Reservation{budget: b} }

// closed marks a closed Reservation.
const closed = -1

// Reservation is the memory reserved for one request. It is safe for concurrent use; a nil
// Reservation has no limit.
type Reservation struct {
	budget   *Budget
	reserved atomic.Int64
}

// Reserve reserves further bytes, and reports whether they are within the budget. If it is exhausted,
// Reserve evicts clients that make no progress and waits a moment for their memory. It fails once the
// Reservation is closed.
func (r *Reservation) Reserve(bytes int64) bool {
	if r == nil || r.budget == nil || bytes <= 0 {
		return true
	}
	limit, own := r.budget.limit, r.reserved.Load()
	if own+bytes > smallReservation && r.budget.Used() > own {
		limit -= limit / largeReserveParts
	}
	if !r.budget.reserveWithRelief(bytes, limit) {
		return false
	}
	for {
		before := r.reserved.Load()
		if before == closed {
			r.budget.release(bytes)
			return false
		}
		if r.reserved.CompareAndSwap(before, before+bytes) {
			return true
		}
	}
}

// Fits reports whether further bytes can ever be reserved.
func (r *Reservation) Fits(bytes int64) bool {
	return r == nil || r.budget == nil || r.Reserved()+bytes <= r.budget.limit
}

// Release releases a part of the reserved bytes.
func (r *Reservation) Release(bytes int64) {
	if r == nil || r.budget == nil || bytes <= 0 {
		return
	}
	for {
		before := r.reserved.Load()
		if before == closed {
			return
		}
		part := min(bytes, before)
		if r.reserved.CompareAndSwap(before, before-part) {
			r.budget.release(part)
			return
		}
	}
}

// Reserved returns the number of reserved bytes.
func (r *Reservation) Reserved() int64 {
	if r == nil {
		return 0
	}
	return max(0, r.reserved.Load())
}

// Close releases all reserved bytes. It may be called more than once.
func (r *Reservation) Close() {
	if r == nil || r.budget == nil {
		return
	}
	if bytes := r.reserved.Swap(closed); bytes != closed {
		r.budget.release(bytes)
	}
}
