package sitecontrol

import (
	"testing"
	"time"
)

// A holder that is suspended past its lease must not send a call when it resumes: another
// machine may hold the lease by then.
func TestAuthorityExpiresInSuspension(t *testing.T) {
	uptime := time.Hour
	confirmed := authority{term: 3, until: uptime + 3*time.Second, clock: func() time.Duration { return uptime }}
	if err := confirmed.check(); err != nil {
		t.Fatalf("right after the confirmation: %v", err)
	}
	uptime += 10 * time.Second
	if confirmed.check() == nil {
		t.Error("the authority is valid after a suspension beyond the lease")
	}
}
