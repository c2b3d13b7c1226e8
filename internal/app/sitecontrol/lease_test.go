package sitecontrol

import (
	"testing"
	"time"
)

// TestAnAuthorityDoesNotOutliveASuspension: a holder is confirmed, suspended, and another one
// takes over and orders. When the first wakes up it must not send what it was about to, whatever
// its steady clock says.
func TestAuthorityExpiresInSuspension(t *testing.T) {
	passed := time.Hour
	confirmed := authority{term: 3, until: passed + 3*time.Second, clock: func() time.Duration { return passed }}
	if err := confirmed.check(); err != nil {
		t.Fatalf("right after the confirmation: %v", err)
	}
	passed += 10 * time.Second
	if confirmed.check() == nil {
		t.Error("it may call after a suspension beyond the lease")
	}
}
