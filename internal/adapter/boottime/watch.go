package boottime

import (
	"context"
	"time"
)

const (
	// watchInterval is how often a Watch compares the clocks.
	watchInterval = time.Second
	// LeastSuspension is by how much the clocks must have parted since they were compared
	// last for it to be called a suspension: two readings of two clocks are apart by what
	// the processor does between them, some milliseconds on a busy machine.
	MinSuspension = 50 * time.Millisecond
)

// Watch tells of suspensions that it finds afterwards. Whoever acts on what it believed
// before must look at the clock itself: it may run before the Watch does.
type Watch struct {
	clock Clock
	// parted is how far the clock was ahead of the steady one when they were compared last.
	parted time.Duration
}

// NewWatch begins a Watch of a clock.
func NewWatch(clock Clock) *Watch {
	w := &Watch{clock: clock}
	w.parted = clock() - steady()
	return w
}

// Look gives how long the machine was suspended since the last look, 0 if it was not.
func (w *Watch) Check() time.Duration {
	parted := w.clock() - steady()
	slept := parted - w.parted
	w.parted = parted
	if slept < MinSuspension {
		return 0
	}
	return slept
}

// Run looks until the context ends, and calls woken after each suspension.
func (w *Watch) Run(ctx context.Context, woken func(slept time.Duration)) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if slept := w.Check(); slept > 0 {
			woken(slept)
		}
	}
}
