package testkit

import (
	"flag"
	"strconv"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// rapidFlags serializes changes to the process-wide flags of the rapid library.
var rapidFlags sync.Mutex

// Check runs a rapid property with a fixed seed, so that every run draws the same cases. The
// seed must not be 0: the library then picks a random one.
func Check(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	rapidFlags.Lock()
	defer rapidFlags.Unlock()
	if err := flag.Set("rapid.seed", strconv.FormatUint(seed, 10)); err != nil {
		t.Fatalf("set rapid seed %d: %v", seed, err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		t.Fatalf("set rapid.nofailfile: %v", err)
	}
	rapid.Check(t, property)
}
