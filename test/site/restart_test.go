package site_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// TestRestartedReplicaServes: a restarted replica isn't bound by
// reports of its previous start, such as a drain.
func TestRestartedReplicaServes(t *testing.T) {
	s, replica, _ := startServingSite(t)
	replica.Restart(1000)
	s.sendHeartbeat(replica)
	if status, body, _ := s.call("/plain/x", "before"); status != http.StatusOK {
		t.Fatalf("before: %d %s", status, body)
	}
	replica.Drain(true)
	late := replica.Heartbeat()
	s.sendHeartbeat(replica)
	waitUntil(t, "the draining replica gets no requests", func() bool {
		status, _, _ := s.call("/plain/x", "drained")
		return status == http.StatusServiceUnavailable
	})
	replica.Restart(2000)
	s.sendHeartbeat(replica)
	waitUntil(t, "the restarted replica serves", func() bool {
		status, _, _ := s.call("/plain/x", "after")
		return status == http.StatusOK
	})
	// Delayed reports of the previous start have no effect.
	if status, _ := s.callControl(http.MethodPut, "/loomgrade/replicas/"+replica.ID, late); status != http.StatusConflict {
		t.Errorf("delayed heartbeat of the previous start: %d", status)
	}
	if status, _ := s.callControl(http.MethodDelete, "/loomgrade/replicas/"+replica.ID, []byte(`{"born":1000}`)); status != http.StatusOK {
		t.Errorf("removal of the previous start: %d", status)
	}
	s.sendHeartbeat(replica)
	if status, body, _ := s.call("/plain/x", "still"); status != http.StatusOK {
		t.Errorf("after delayed reports: %d %s", status, body)
	}
	// The current start is removed.
	if status, _ := s.callControl(http.MethodDelete, "/loomgrade/replicas/"+replica.ID, nil); status != http.StatusOK {
		t.Fatalf("removal of the current start: %d", status)
	}
	waitUntil(t, "the removed replica gets no requests", func() bool {
		status, _, _ := s.call("/plain/x", "left")
		return status == http.StatusServiceUnavailable
	})
}

// TestRemovalWithoutHeartbeatRemovesPreviousStart: the removal of a start that sent no
// heartbeat also removes the previous start of the same name.
func TestRemovalWithoutHeartbeatRemovesPreviousStart(t *testing.T) {
	s, replica, _ := startServingSite(t)
	replica.Restart(1000)
	s.sendHeartbeat(replica)
	if status, _ := s.callControl(http.MethodDelete, "/loomgrade/replicas/"+replica.ID, []byte(`{"born":2000}`)); status != http.StatusOK {
		t.Fatalf("removal of the later start: %d", status)
	}
	waitUntil(t, "neither start gets requests", func() bool {
		status, _, _ := s.call("/plain/x", "left")
		return status == http.StatusServiceUnavailable
	})
	for _, born := range []uint64{1000, 2000} {
		replica.Restart(born)
		s.callControl(http.MethodPut, "/loomgrade/replicas/"+replica.ID, replica.Heartbeat())
	}
	if status, body, _ := s.call("/plain/x", "late"); status != http.StatusServiceUnavailable {
		t.Errorf("after delayed heartbeats of both: %d %s", status, body)
	}
}

// TestInvalidHeartbeatsLeaveReplicaUnchanged: invalid heartbeats are rejected, and a
// registered replica keeps serving at its address.
func TestInvalidHeartbeatsLeaveReplicaUnchanged(t *testing.T) {
	s, replica, _ := startServingSite(t)
	valid := string(replica.Heartbeat())
	for name, body := range map[string]string{
		"unknown service":          strings.Replace(valid, plain, "nowhere", 1),
		"unknown state":            strings.Replace(valid, `"ready"`, `"resting"`, 1),
		"no address":               strings.Replace(valid, `"address"`, `"elsewhere"`, 1),
		"sequence of another type": strings.Replace(valid, `"sequence":`, `"sequence":"x","was":`, 1),
		"truncated":                valid[:len(valid)-9],
		"fractional count":         strings.Replace(valid, `"slots":4`, `"slots":4.5`, 1),
	} {
		for _, id := range []string{replica.ID, "i-other"} {
			if status, answer := s.callControl(http.MethodPut, "/loomgrade/replicas/"+id, []byte(body)); status != http.StatusBadRequest {
				t.Errorf("%s, from %s: %d %s", name, id, status, answer)
			}
		}
	}
	if status, body, _ := s.call("/plain/x", "after"); status != http.StatusOK || body != sitestandin.ResponseBody(replica.ID, "after") {
		t.Errorf("after invalid heartbeats: %d %s", status, body)
	}
}
