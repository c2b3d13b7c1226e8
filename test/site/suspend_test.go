package site_test

import (
	"net/http"
	"testing"
	"time"
)

// suspension is longer than any time for which a process may trust what it believed.
const suspension = 10 * time.Second

// TestAFrontThatWakesUpDeniesNothing: its view was confirmed a moment ago by its steady clock.
// A route may have been added and a key taken away while its machine was suspended, and nobody
// can tell it yet.
func TestAFrontThatWakesUpDeniesNothing(t *testing.T) {
	s, _, _ := withTenants(t)
	front := s.fronts[0]
	if status, _ := s.callWith(http.MethodPost, "/no-such-route/x", "before", keyed("key-b")); status != http.StatusNotFound {
		t.Fatalf("an unknown route: %d", status)
	}
	for _, p := range s.controls {
		p.kill()
	}
	front.suspend(suspension)
	if status, _ := s.callWith(http.MethodPost, "/no-such-route/x", "route", keyed("key-b")); status != http.StatusServiceUnavailable {
		t.Errorf("an unknown route on waking up: %d", status)
	}
	if status, _ := s.callWith(http.MethodPost, "/plain/x", "key", keyed("no-such-key")); status != http.StatusServiceUnavailable {
		t.Errorf("an unknown key on waking up: %d", status)
	}
}

// TestAStoreLeaderThatWakesUpLosesNothing: the machine that runs a job's items is suspended
// while they run. The others elect another runner, or it goes on when they have confirmed it;
// each result is whole and stands once.
func TestAStoreLeaderThatWakesUpLosesNothing(t *testing.T) {
	s, _, engine := serving(t)
	engine.Events, engine.EventPause = 30, 20*time.Millisecond
	s.submit("job-1", job(1, "item-1", "item-2", "item-3"))
	until(t, "items run", func() bool { return len(engine.Arrivals()) >= 3 })
	leader := s.leaderStore()
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

// TestHalfOfTheCoreIsSuspended: two of three control members wake up together. What was
// accepted is read, and a change is accepted again.
func TestHalfOfTheCoreIsSuspended(t *testing.T) {
	s, _, _ := serving(t)
	for range 2 {
		s.controls[0].suspend(suspension)
		s.controls[1].suspend(suspension)
		s.configure()
	}
	if status, _, _ := s.call("/plain/x", "after"); status != http.StatusOK {
		t.Errorf("a request afterwards: %d", status)
	}
}
