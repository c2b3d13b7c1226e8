package site_test

import (
	"net/http"
	"testing"
	"time"
)

// suspension exceeds the validity of all leases and confirmed views.
const suspension = 10 * time.Second

// TestSuspendedFrontDoesNotRejectUnknown: after a suspension a front doesn't reject unknown routes
// and keys until its view is confirmed again, although by its monotonic clock the view is
// recent.
func TestSuspendedFrontDoesNotRejectUnknown(t *testing.T) {
	s, _, _ := startTenantSite(t)
	front := s.fronts[0]
	if status, _ := s.callWith(http.MethodPost, "/no-such-route/x", "before", keyHeader("key-b")); status != http.StatusNotFound {
		t.Fatalf("an unknown route: %d", status)
	}
	for _, p := range s.controls {
		p.kill()
	}
	front.suspend(suspension)
	if status, _ := s.callWith(http.MethodPost, "/no-such-route/x", "route", keyHeader("key-b")); status != http.StatusServiceUnavailable {
		t.Errorf("an unknown route after the suspension: %d", status)
	}
	if status, _ := s.callWith(http.MethodPost, "/plain/x", "key", keyHeader("no-such-key")); status != http.StatusServiceUnavailable {
		t.Errorf("an unknown key after the suspension: %d", status)
	}
}

// TestSuspendedStoreLeaderLosesNoResults: when the leader that runs a job's items is
// suspended, the job still completes, with one result per item.
func TestSuspendedStoreLeaderLosesNoResults(t *testing.T) {
	s, _, engine := startServingSite(t)
	engine.Events, engine.EventPause = 30, 20*time.Millisecond
	s.submit("job-1", job(1, "item-1", "item-2", "item-3"))
	waitUntil(t, "all items run", func() bool { return len(engine.Arrivals()) >= 3 })
	leader := s.waitStoreLeader()
	leader.suspend(suspension)
	time.Sleep(100 * time.Millisecond)
	leader.suspend(suspension)
	all := s.readAll("job-1")
	seen := map[string]bool{}
	for _, result := range all.Results {
		if result.State != "completed" || seen[result.ID] {
			t.Errorf("%+v", result)
		}
		seen[result.ID] = true
	}
	if len(seen) != 3 {
		t.Errorf("%d results", len(seen))
	}
}

// TestSuspendedControlMajority: after two of three control members were suspended together,
// the site accepts changes and serves requests.
func TestSuspendedControlMajority(t *testing.T) {
	s, _, _ := startServingSite(t)
	for range 2 {
		s.controls[0].suspend(suspension)
		s.controls[1].suspend(suspension)
		s.configure()
	}
	if status, _, _ := s.call("/plain/x", "after"); status != http.StatusOK {
		t.Errorf("a request afterwards: %d", status)
	}
}
