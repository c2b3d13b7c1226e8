//go:build !linux

package boottime

import "time"

// Now is the steady clock: what counts suspended time differs by system, and none is read.
func Now() time.Duration { return steady() }
