package consensus

import "testing"

// The entries retained before a snapshot are limited in number and in bytes.
func TestRetainedEntriesAreBoundedInNumberAndBytes(t *testing.T) {
	log := raftLog{baseIndex: 10, baseTerm: 1}
	for range 20 { // 11 to 30
		log.append(Entry{Term: 1, Data: make([]byte, 100)})
	}
	for _, row := range []struct {
		entries, bytes int
		want           uint64
	}{{5, 0, 20}, {5, 1000, 20}, {5, 250, 23}, {5, 99, 25}, {0, 1000, 25}, {100, 0, 10}, {100, 350, 22}} {
		if got := log.compactionIndex(25, row.entries, row.bytes); got != row.want {
			t.Errorf("%d entries, %d bytes: from %d, want %d", row.entries, row.bytes, got, row.want)
		}
	}
}
