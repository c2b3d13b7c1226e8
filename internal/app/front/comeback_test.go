package front

import (
	"testing"
	"time"
)

// TestThoseRefusedTogetherReturnApart: half of the time earlier or later at most, and as
// asked for on average.
func TestJitterSpreadsRetries(t *testing.T) {
	const back = 200 * time.Millisecond
	for draw, want := range map[float64]time.Duration{0: 100 * time.Millisecond, 0.5: back, 0.75: 250 * time.Millisecond} {
		if got := spread(back, draw); got != want {
			t.Errorf("draw %v: %v, want %v", draw, got, want)
		}
	}
	if latest := spread(back, 0.9999); latest >= 300*time.Millisecond {
		t.Errorf("latest after %v", latest)
	}
}
