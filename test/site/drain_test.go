package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// drain asks a control process to drain a zone, or to take that back, and gives the status.
func (s *site) drain(zone string, back bool) int {
	s.t.Helper()
	method := http.MethodPost
	if back {
		method = http.MethodDelete
	}
	status, _ := s.operate(method, "/loomgrade/drain/"+zone, nil)
	return status
}

// awaitDrained waits until all fronts know whether a zone is drained.
func (s *site) awaitDrained(zone string, drained bool) {
	s.t.Helper()
	until(s.t, fmt.Sprintf("zone %s drained: %v", zone, drained), func() bool {
		for _, p := range s.fronts {
			if view := p.watcher.View(); view == nil || view.IsDrained(zone) != drained {
				return false
			}
		}
		return true
	})
}

// inZone makes a stand-in in a zone.
func inZone(replica *sitestandin.Replica, zone string) *sitestandin.Replica {
	replica.Zone = zone
	return replica
}

// TestADrainedZoneIsSentNothing: requests, items of jobs, reward calls and orders go to the
// other zones, also after a loss of all power; then the zone serves again.
func TestADrainedZoneIsSentNothing(t *testing.T) {
	s := newSite(t, 3, 3)
	s.start()
	s.configure()
	drained := []*sitestandin.Replica{inZone(sitestandin.NewReplica(t, "i-a", plain), "a"), inZone(sitestandin.NewEngine(t, "i-lm-a", lm, model), "a")}
	others := []*sitestandin.Replica{inZone(sitestandin.NewReplica(t, "i-b", plain), "b"), inZone(sitestandin.NewEngine(t, "i-lm-b", lm, model), "b")}
	s.add(drained...)
	s.add(others...)
	for range 2 { // the second one changes nothing
		if status := s.drain("a", false); status != http.StatusOK {
			t.Fatalf("drain: %d", status)
		}
	}
	s.awaitDrained("a", true)
	for _, p := range s.controls {
		p.powerOff()
	}
	for _, p := range s.controls {
		s.startControl(p, false)
	}
	// A version is published and a job run: the drained engine is neither ordered nor used.
	if status, answer := s.operate(http.MethodPost, "/loomgrade/version-put", []byte(`{"model":"`+model+`","version":2}`)); status != http.StatusOK {
		t.Fatalf("version: %d %s", status, answer)
	}
	until(t, "the other zone's engine loads the version", func() bool { return len(others[1].Orders()) > 0 })
	s.beat(others[1])
	s.submit("job-1", job(2, "item-1", "item-2", "item-3", "item-4", "item-5", "item-6"))
	s.readAll("job-1")
	for n := range 20 {
		if status, body, _ := s.call("/plain/x", fmt.Sprint("attempt-", n)); status != http.StatusOK || body != sitestandin.Answer("i-b", fmt.Sprint("attempt-", n)) {
			t.Fatalf("attempt %d: %d %s", n, status, body)
		}
	}
	for _, replica := range drained {
		if arrivals, orders := replica.Arrivals(), replica.Orders(); len(arrivals) > 0 || len(orders) > 0 {
			t.Errorf("%s in the drained zone got %d requests and %d orders", replica.ID, len(arrivals), len(orders))
		}
	}
	if status := s.drain("a", true); status != http.StatusOK {
		t.Fatalf("taken back: %d", status)
	}
	s.awaitDrained("a", false)
	// The zone serves again, all the more as the other one does not.
	if status := s.drain("b", false); status != http.StatusOK {
		t.Fatalf("drain of the other zone: %d", status)
	}
	s.awaitDrained("b", true)
	if status, body, _ := s.call("/plain/x", "later"); status != http.StatusOK || body != sitestandin.Answer("i-a", "later") {
		t.Errorf("after the drain was taken back: %d %s", status, body)
	}
}

// TestAllZonesDrained: callers are refused at once, with a time to come back.
func TestAllZonesDrained(t *testing.T) {
	s, _, _ := serving(t)
	if status := s.drain("z", false); status != http.StatusOK {
		t.Fatalf("drain: %d", status)
	}
	s.awaitDrained("z", true)
	status, _, header := s.call("/once/x", "refused")
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("%d, come back after %q", status, header.Get("Retry-After"))
	}
	if status := s.drain("z", true); status != http.StatusOK {
		t.Fatalf("taken back: %d", status)
	}
	until(t, "served again", func() bool {
		status, _, _ := s.call("/once/x", fmt.Sprint("again-", time.Now().UnixNano()))
		return status == http.StatusOK
	})
}

// TestDrainsThatAreRefusedChangeNothing.
func TestDrainsThatAreRefusedChangeNothing(t *testing.T) {
	s, _, _ := serving(t)
	for name, row := range map[string]struct {
		method, path string
		body         []byte
		want         int
	}{
		"a zone that the site does not have":         {http.MethodPost, "/loomgrade/drain/nowhere", nil, http.StatusNotFound},
		"taken back of a zone that the site has not": {http.MethodDelete, "/loomgrade/drain/nowhere", nil, http.StatusNotFound},
		"no zone":                {http.MethodPost, "/loomgrade/drain/", nil, http.StatusNotFound},
		"a body":                 {http.MethodPost, "/loomgrade/drain/z", []byte(`{"zone":"z"}`), http.StatusBadRequest},
		"a body that takes back": {http.MethodDelete, "/loomgrade/drain/z", []byte(`{}`), http.StatusBadRequest},
		"another method":         {http.MethodPut, "/loomgrade/drain/z", nil, http.StatusMethodNotAllowed},
		"taken back of a zone that is not drained": {http.MethodDelete, "/loomgrade/drain/z", nil, http.StatusOK},
	} {
		if status, answer := s.operate(row.method, row.path, row.body); status != row.want {
			t.Errorf("%s: %d %s", name, status, answer)
		}
	}
	if status, body, _ := s.call("/plain/x", "after"); status != http.StatusOK {
		t.Errorf("after refused drains: %d %s", status, body)
	}
}
