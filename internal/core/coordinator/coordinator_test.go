package coordinator_test

import (
	"testing"
)

func TestBatchesFollowEachOther(t *testing.T) {
	w := newWorld(t, smallSampling(), "")
	for range 20 {
		w.train()
		w.publish()
	}
	if status := w.current.Status(); status.Committed != 20 {
		t.Fatalf("committed %d", status.Committed)
	}
}
