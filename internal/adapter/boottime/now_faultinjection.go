//go:build linux && faultinjection

package boottime

import (
	"os"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// OffsetFile names, in the environment, a file of eight bytes that tests write: nanoseconds
// that are added to the clock, as if the machine had been suspended for so long. It is mapped
// into memory, so that a process that a test stops and continues sees the change at once.
const OffsetFile = "LOOMGRADE_TEST_SUSPENDED"

const offsetBytes = 8

// offset gives the mapped file, or a place of its own that stays 0.
var offset = sync.OnceValue(func() *atomic.Int64 {
	file, err := os.Open(os.Getenv(OffsetFile))
	if err != nil {
		return &atomic.Int64{}
	}
	defer func() { _ = file.Close() }()
	mapped, err := unix.Mmap(int(file.Fd()), 0, offsetBytes, unix.PROT_READ, unix.MAP_SHARED)
	if err != nil {
		return &atomic.Int64{}
	}
	return (*atomic.Int64)(unsafe.Pointer(&mapped[0]))
})

// Now reads CLOCK_BOOTTIME, and adds what a test wrote.
func Now() time.Duration {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return steady()
	}
	return time.Duration(read.Nano() + offset().Load())
}
