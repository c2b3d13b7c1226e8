//go:build linux && !faultinjection

package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now reads CLOCK_BOOTTIME. Where the kernel refuses it, it is the steady clock.
func Now() time.Duration {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return steady()
	}
	return time.Duration(read.Nano())
}
