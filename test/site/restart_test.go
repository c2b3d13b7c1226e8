package site_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// TestAReplicaThatStartsAgainUnderItsNameServesAgain: what it said before it started again,
// that it leaves above all, binds it no more.
func TestAReplicaThatStartsAgainUnderItsNameServesAgain(t *testing.T) {
	s, replica, _ := serving(t)
	replica.Restart(1000)
	s.beat(replica)
	if status, body, _ := s.call("/plain/x", "before"); status != http.StatusOK {
		t.Fatalf("before: %d %s", status, body)
	}
	replica.Drain(true)
	late := replica.Heartbeat()
	s.beat(replica)
	until(t, "the replica that leaves takes nothing", func() bool {
		status, _, _ := s.call("/plain/x", "drained")
		return status == http.StatusServiceUnavailable
	})
	replica.Restart(2000)
	s.beat(replica)
	until(t, "the replica serves after it has started again", func() bool {
		status, _, _ := s.call("/plain/x", "after")
		return status == http.StatusOK
	})
	// Words of the earlier start come late.
	if status, _ := s.operate(http.MethodPut, "/loomgrade/replicas/"+replica.ID, late); status != http.StatusConflict {
		t.Errorf("late words of the earlier start: %d", status)
	}
	if status, _ := s.operate(http.MethodDelete, "/loomgrade/replicas/"+replica.ID, []byte(`{"born":1000}`)); status != http.StatusOK {
		t.Errorf("the earlier start's last word: %d", status)
	}
	s.beat(replica)
	if status, body, _ := s.call("/plain/x", "still"); status != http.StatusOK {
		t.Errorf("after late words: %d %s", status, body)
	}
	// The later start leaves for good.
	if status, _ := s.operate(http.MethodDelete, "/loomgrade/replicas/"+replica.ID, nil); status != http.StatusOK {
		t.Fatalf("its last word: %d", status)
	}
	until(t, "the replica that left takes nothing", func() bool {
		status, _, _ := s.call("/plain/x", "left")
		return status == http.StatusServiceUnavailable
	})
}

// TestAStartOfWhichOnlyTheEndIsHeardEndsTheOneBefore: it had the name, and so nobody else has.
func TestAStartOfWhichOnlyTheEndIsHeardEndsTheOneBefore(t *testing.T) {
	s, replica, _ := serving(t)
	replica.Restart(1000)
	s.beat(replica)
	if status, _ := s.operate(http.MethodDelete, "/loomgrade/replicas/"+replica.ID, []byte(`{"born":2000}`)); status != http.StatusOK {
		t.Fatalf("the later start's last word: %d", status)
	}
	until(t, "neither start takes anything", func() bool {
		status, _, _ := s.call("/plain/x", "left")
		return status == http.StatusServiceUnavailable
	})
	for _, born := range []uint64{1000, 2000} {
		replica.Restart(born)
		s.operate(http.MethodPut, "/loomgrade/replicas/"+replica.ID, replica.Heartbeat())
	}
	if status, body, _ := s.call("/plain/x", "late"); status != http.StatusServiceUnavailable {
		t.Errorf("after late words of both: %d %s", status, body)
	}
}

// TestWordsOfAnotherWriterTakeNothingFromAReplica: neither its address nor its place.
func TestWordsOfAnotherWriterTakeNothingFromAReplica(t *testing.T) {
	s, replica, _ := serving(t)
	whole := string(replica.Heartbeat())
	for name, body := range map[string]string{
		"a service that is not named":     strings.Replace(whole, plain, "nowhere", 1),
		"a state that is not named":       strings.Replace(whole, `"ready"`, `"resting"`, 1),
		"no address":                      strings.Replace(whole, `"address"`, `"elsewhere"`, 1),
		"a sequence of another type":      strings.Replace(whole, `"sequence":`, `"sequence":"x","was":`, 1),
		"bytes that cannot be read":       whole[:len(whole)-9],
		"a count that is no whole number": strings.Replace(whole, `"slots":4`, `"slots":4.5`, 1),
	} {
		for _, id := range []string{replica.ID, "i-other"} {
			if status, answer := s.operate(http.MethodPut, "/loomgrade/replicas/"+id, []byte(body)); status != http.StatusBadRequest {
				t.Errorf("%s, from %s: %d %s", name, id, status, answer)
			}
		}
	}
	if status, body, _ := s.call("/plain/x", "after"); status != http.StatusOK || body != sitestandin.Answer(replica.ID, "after") {
		t.Errorf("after words of another writer: %d %s", status, body)
	}
}
