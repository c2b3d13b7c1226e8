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

// OffsetFile is the environment variable with the path of an eight-byte file that tests
// write: nanoseconds added to the clock, as if the machine had been suspended. The file is
// mapped into memory, so that a stopped and continued process sees the change immediately.
const OffsetFile = "LOOMGRADE_TEST_SUSPENDED"

const offsetBytes = 8

// offset returns the mapped file, or a zero value if there is none.
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

// Now reads CLOCK_BOOTTIME and adds the offset.
func Now() time.Duration {
	var read unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &read); err != nil {
		return monotonic()
	}
	return time.Duration(read.Nano() + offset().Load())
}
