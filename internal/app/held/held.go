// Package held bounds the memory that a process holds for others: bodies of requests that are
// on their way, and answers whose readers are slow. Who finds no room holds nothing more, and
// decides what to do instead.
package held

import "sync/atomic"

// Budget is how many bytes may be held at once. It is safe for concurrent use; nil is no
// bound.
type Budget struct {
	limit int64
	held  atomic.Int64
}

// NewBudget makes a budget of so many bytes; 0 or less is no bound.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit}
}

// Held gives how many bytes are held.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.held.Load()
}

func (b *Budget) take(bytes int64) bool {
	if b.held.Add(bytes) <= b.limit {
		return true
	}
	b.held.Add(-bytes)
	return false
}

// Open begins to hold bytes for one request. Close must follow.
func (b *Budget) Open() *Holding { return &Holding{budget: b} }

// closed marks a Holding that takes nothing more.
const closed = -1

// Holding is what is held for one request. It is safe for concurrent use; nil is no bound.
type Holding struct {
	budget *Budget
	bytes  atomic.Int64
}

// Take holds further bytes, and reports whether there is room for them. Nothing is held once
// the Holding is closed: whoever comes late is not waited for any more.
func (h *Holding) Take(bytes int64) bool {
	if h == nil || h.budget == nil || bytes <= 0 {
		return true
	}
	if !h.budget.take(bytes) {
		return false
	}
	for {
		before := h.bytes.Load()
		if before == closed {
			h.budget.held.Add(-bytes)
			return false
		}
		if h.bytes.CompareAndSwap(before, before+bytes) {
			return true
		}
	}
}

// Close lets everything go. It may be called more than once.
func (h *Holding) Close() {
	if h == nil || h.budget == nil {
		return
	}
	if bytes := h.bytes.Swap(closed); bytes != closed {
		h.budget.held.Add(-bytes)
	}
}
