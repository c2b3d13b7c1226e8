package site_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// drain requests a drain of a zone, or its undo, and returns the response's status.
func (s *site) drain(zone string, undo bool) int {
	s.t.Helper()
	method := http.MethodPost
	if undo {
		method = http.MethodDelete
	}
	status, _ := s.callControl(method, "/loomgrade/drain/"+zone, nil)
	return status
}

// waitDrained waits until the views of all fronts have a zone as drained or not drained.
func (s *site) waitDrained(zone string, drained bool) {
	s.t.Helper()
	waitUntil(s.t, fmt.Sprintf("zone %s drained: %v", zone, drained), func() bool {
		for _, p := range s.fronts {
			if view := p.watcher.View(); view == nil || view.IsDrained(zone) != drained {
				return false
			}
		}
		return true
	})
}

// inZone sets the zone of a replica.
func inZone(replica *sitestandin.Replica, zone string) *sitestandin.Replica {
	replica.Zone = zone
	return replica
}

// TestADrainedZoneIsSentNothing: requests, items of jobs, reward calls and orders go to other
// zones, also after a power failure, until the drain is undone.
func TestADrainedZoneIsSentNothing(t *testing.T) {
	s := newSite(t, 3, 3)
	s.start()
	s.configure()
	drained := []*sitestandin.Replica{inZone(sitestandin.NewReplica(t, "i-a", plain), "a"), inZone(sitestandin.NewEngine(t, "i-lm-a", lm, model), "a")}
	others := []*sitestandin.Replica{inZone(sitestandin.NewReplica(t, "i-b", plain), "b"), inZone(sitestandin.NewEngine(t, "i-lm-b", lm, model), "b")}
	s.add(drained...)
	s.add(others...)
	for range 2 { // the second request changes nothing
		if status := s.drain("a", false); status != http.StatusOK {
			t.Fatalf("drain: %d", status)
		}
	}
	s.waitDrained("a", true)
	for _, p := range s.controls {
		p.powerOff()
	}
	for _, p := range s.controls {
		s.startControl(p, false)
	}
	// The drained engine gets neither the order nor the items.
	if status, answer := s.callControl(http.MethodPost, "/loomgrade/version-put", []byte(`{"model":"`+model+`","version":2}`)); status != http.StatusOK {
		t.Fatalf("version: %d %s", status, answer)
	}
	waitUntil(t, "the other zone's engine loads the version", func() bool { return len(others[1].Orders()) > 0 })
	s.sendHeartbeat(others[1])
	s.submit("job-1", job(2, "item-1", "item-2", "item-3", "item-4", "item-5", "item-6"))
	s.readAll("job-1")
	for n := range 20 {
		if status, body, _ := s.call("/plain/x", fmt.Sprint("attempt-", n)); status != http.StatusOK || body != sitestandin.ResponseBody("i-b", fmt.Sprint("attempt-", n)) {
			t.Fatalf("attempt %d: %d %s", n, status, body)
		}
	}
	for _, replica := range drained {
		if arrivals, orders := replica.Arrivals(), replica.Orders(); len(arrivals) > 0 || len(orders) > 0 {
			t.Errorf("%s in the drained zone got %d requests and %d orders", replica.ID, len(arrivals), len(orders))
		}
	}
	if status := s.drain("a", true); status != http.StatusOK {
		t.Fatalf("undo: %d", status)
	}
	s.waitDrained("a", false)
	// With the other zone drained, only this zone can serve.
	if status := s.drain("b", false); status != http.StatusOK {
		t.Fatalf("drain of the other zone: %d", status)
	}
	s.waitDrained("b", true)
	if status, body, _ := s.call("/plain/x", "later"); status != http.StatusOK || body != sitestandin.ResponseBody("i-a", "later") {
		t.Errorf("after the undo: %d %s", status, body)
	}
}

// TestAllZonesDrained: requests are rejected immediately, with a Retry-After header.
func TestAllZonesDrained(t *testing.T) {
	s, _, _ := startServingSite(t)
	if status := s.drain("z", false); status != http.StatusOK {
		t.Fatalf("drain: %d", status)
	}
	s.waitDrained("z", true)
	status, _, header := s.call("/once/x", "refused")
	if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", status, header.Get("Retry-After"))
	}
	if status := s.drain("z", true); status != http.StatusOK {
		t.Fatalf("undo: %d", status)
	}
	waitUntil(t, "served again", func() bool {
		status, _, _ := s.call("/once/x", fmt.Sprint("again-", time.Now().UnixNano()))
		return status == http.StatusOK
	})
}

func TestRejectedDrainsChangeNothing(t *testing.T) {
	s, _, _ := startServingSite(t)
	for name, row := range map[string]struct {
		method, path string
		body         []byte
		want         int
	}{
		"unknown zone":               {http.MethodPost, "/loomgrade/drain/nowhere", nil, http.StatusNotFound},
		"undo of an unknown zone":    {http.MethodDelete, "/loomgrade/drain/nowhere", nil, http.StatusNotFound},
		"no zone":                    {http.MethodPost, "/loomgrade/drain/", nil, http.StatusNotFound},
		"drain with a body":          {http.MethodPost, "/loomgrade/drain/z", []byte(`{"zone":"z"}`), http.StatusBadRequest},
		"undo with a body":           {http.MethodDelete, "/loomgrade/drain/z", []byte(`{}`), http.StatusBadRequest},
		"another method":             {http.MethodPut, "/loomgrade/drain/z", nil, http.StatusMethodNotAllowed},
		"undo of a zone not drained": {http.MethodDelete, "/loomgrade/drain/z", nil, http.StatusOK},
	} {
		if status, answer := s.callControl(row.method, row.path, row.body); status != row.want {
			t.Errorf("%s: %d %s", name, status, answer)
		}
	}
	if status, body, _ := s.call("/plain/x", "after"); status != http.StatusOK {
		t.Errorf("after rejected drains: %d %s", status, body)
	}
}
