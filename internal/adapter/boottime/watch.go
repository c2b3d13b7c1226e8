package boottime

import (
	"context"
	"time"
)

const (
	// watchInterval is how often a Watch compares the clocks.
	watchInterval = time.Second
	// MinSuspension is the minimum change of the difference between the clocks that
	// counts as a suspension. Smaller ones may be time between the two readings, some
	// milliseconds on a busy machine.
	MinSuspension = 50 * time.Millisecond
)

// Watch detects suspensions afterwards. Code that depends on elapsed time must check the
// clock itself, since it may run before the Watch does.
type Watch struct {
	clock Clock
	// ahead is how far the clock was ahead of the monotonic one at the last check.
	ahead time.Duration
}

// NewWatch returns a Watch of a clock.
func NewWatch(clock Clock) *Watch {
	w := &Watch{clock: clock}
	w.ahead = clock() - monotonic()
	return w
}

// Check returns how long the machine was suspended since the last call, 0 if it was not.
func (w *Watch) Check() time.Duration {
	ahead := w.clock() - monotonic()
	suspended := ahead - w.ahead
	w.ahead = ahead
	if suspended < MinSuspension {
		return 0
	}
	return suspended
}

// Run checks periodically until the context ends, and calls resumed after each suspension.
func (w *Watch) Run(ctx context.Context, resumed func(suspended time.Duration)) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if suspended := w.Check(); suspended > 0 {
			resumed(suspended)
		}
	}
}
