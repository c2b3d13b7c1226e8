//go:build !linux

package boottime

import "time"

// Now reads the monotonic clock: clocks with suspended time differ between systems.
func Now() time.Duration { return monotonic() }
