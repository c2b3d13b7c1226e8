package front

import (
	"testing"
	"time"
)

// TestJitterSpreadsRetries checks that jitter varies a delay by at most half
// and keeps its mean.
func TestJitterSpreadsRetries(t *testing.T) {
	const delay = 200 * time.Millisecond
	for draw, want := range map[float64]time.Duration{0: 100 * time.Millisecond, 0.5: delay, 0.75: 250 * time.Millisecond} {
		if got := jitter(delay, draw); got != want {
			t.Errorf("draw %v: %v, want %v", draw, got, want)
		}
	}
	if longest := jitter(delay, 0.9999); longest >= 300*time.Millisecond {
		t.Errorf("longest delay %v", longest)
	}
}
