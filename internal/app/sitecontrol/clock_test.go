package sitecontrol

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitetime"
)

// TestTheSitesTimeGoesOnInSuspension: the leader's machine is suspended for ten seconds between
// two rounds of questions.
func TestSiteTimeIncludesSuspension(t *testing.T) {
	passed, wall := time.Hour, time.Unix(1_000_000, 0)
	clock := newSiteClock(&Control{config: Config{Clock: func() time.Duration { return passed }}})
	offset, sure := sitetime.Estimate([]sitetime.Reading{{Monotonic: passed, Wall: wall}}, 1)
	if !sure {
		t.Fatal("no estimate")
	}
	clock.offset, clock.known = offset, true
	passed += 10 * time.Second
	if at, known := clock.timeOf(clock.now()); !known || !at.Equal(wall.Add(10*time.Second)) {
		t.Errorf("%v after %v", at, wall)
	}
}
