package sitecontrol

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/sitetime"
)

// The site's time includes a suspension of the leader's machine between two polls.
func TestSiteTimeIncludesSuspension(t *testing.T) {
	uptime, wall := time.Hour, time.Unix(1_000_000, 0)
	clock := newSiteClock(&Control{config: Config{Clock: func() time.Duration { return uptime }}})
	offset, ok := sitetime.Estimate([]sitetime.Reading{{Monotonic: uptime, Wall: wall}}, 1)
	if !ok {
		t.Fatal("no estimate")
	}
	clock.offset, clock.synced = offset, true
	uptime += 10 * time.Second
	if at, known := clock.timeOf(clock.now()); !known || !at.Equal(wall.Add(10*time.Second)) {
		t.Errorf("%v after %v", at, wall)
	}
}
