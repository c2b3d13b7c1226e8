//go:build linux && !faultinjection

package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now reads CLOCK_BOOTTIME, or the monotonic clock if the kernel does not support it.
func Now() time.Duration {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return monotonic()
	}
	return time.Duration(read.Nano())
}
