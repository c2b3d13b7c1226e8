package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/test/sitestandin"
)

// TestGracefulStopFinishesRequestsInFlight checks that during its graceful stop a front
// completes a request that takes longer than its notice to callers.
func TestGracefulStopFinishesRequestsInFlight(t *testing.T) {
	build(t)
	s := newSite(t, 3, 0, 1)
	for _, m := range s.machines {
		s.start(m, true)
	}
	tr := newTraffic(s)
	started := make(chan struct{})
	slow := tr.replicas[0]
	slow.Handle = func(w http.ResponseWriter, r *http.Request) bool {
		close(started)
		select {
		case <-time.After(4 * time.Second):
		case <-r.Context().Done():
		}
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go tr.changeConfigurations(ctx)
	go tr.sendHeartbeats(ctx, slow)
	front := s.machinesOf("front")[0]
	waitUntil(t, "the front is ready", func() bool { return s.ready(front) })
	answered := make(chan string, 1)
	go func() {
		status, body := http.StatusServiceUnavailable, ""
		for status == http.StatusServiceUnavailable { // the replica may not be registered yet
			status, body, _ = tr.do(ctx, http.MethodPost, tr.frontURL()+"/once/x", http.Header{sitestandin.Headers.RequestID: {"once-slow"}}, nil)
		}
		answered <- fmt.Sprint(status, " ", body)
	}()
	<-started
	front.stop()
	if got, want := <-answered, fmt.Sprint(http.StatusOK, " ", sitestandin.ResponseBody(slow.ID, "once-slow")); got != want {
		t.Errorf("answer %q, want %q", got, want)
	}
}

// TestGracefulStopAnswersUnfinishedRequests guards against a front that closes connections
// without a response at the end of its stop. More requests than a process may have connections
// to a replica are in flight: those that wait for one have not run, and are refused as such.
func TestGracefulStopAnswersUnfinishedRequests(t *testing.T) {
	var arrivals atomic.Int64
	tr, front := startServingFront(t, "/patient/x", (*traffic).patientReplica, func(r *http.Request) {
		if strings.HasPrefix(r.Header.Get(sitestandin.Headers.RequestID), "patient-") {
			arrivals.Add(1)
			<-r.Context().Done()
		}
	})
	tr.client.Timeout = waitTimeout
	const requests, connections = 14, 10
	statuses := make(chan int, requests)
	for i := range requests {
		go func() {
			status, _, _ := tr.do(t.Context(), http.MethodPost, tr.frontURL()+"/patient/x", http.Header{sitestandin.Headers.RequestID: {fmt.Sprint("patient-", i)}}, nil)
			statuses <- status
		}()
	}
	waitUntil(t, "the connections to the replica are in use", func() bool { return arrivals.Load() == connections })
	front.stop()
	got := map[int]int{}
	for range requests {
		got[<-statuses]++
	}
	// The end of one request may give its connection to another that is about to end.
	ran := int(arrivals.Load())
	want := map[int]int{http.StatusBadGateway: ran, http.StatusServiceUnavailable: requests - ran}
	if ran == requests || !maps.Equal(got, want) {
		t.Errorf("responses by status: %v, want %v", got, want)
	}
}

// TestGracefulStopOfControlAnswersLateCall guards against a control process that reads a call
// late in its graceful stop and closes the connection without a response. Without a quorum a
// call takes longer than the rest of the stop.
func TestGracefulStopOfControlAnswersLateCall(t *testing.T) {
	build(t)
	s := newSite(t, 3, 0, 0)
	for _, m := range s.machines {
		s.start(m, true)
	}
	tr := newTraffic(s)
	controls := s.machinesOf("control")
	waitUntil(t, "a configuration is accepted", func() bool {
		status, _, _ := tr.do(t.Context(), http.MethodPut, "http://"+s.address(controls[0], s.ports.control)+"/loomgrade/config", nil, configuration(1))
		return status == http.StatusOK
	})
	for _, m := range controls[1:] {
		m.signal(syscall.SIGSTOP)
	}
	connection, err := net.Dial("tcp", s.address(controls[0], s.ports.control))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	answers := bufio.NewReader(connection)
	call := func() (*http.Response, error) {
		body := configuration(2)
		_, _ = fmt.Fprintf(connection, "PUT /loomgrade/config HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		response, err := http.ReadResponse(answers, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		return response, err
	}
	if response, err := call(); err != nil || response.Close {
		t.Fatalf("before the stop: %v, %v", response, err)
	}
	controls[0].signal(syscall.SIGTERM)
	time.Sleep(1300 * time.Millisecond) // the process keeps idle connections open for 1.5 s
	response, err := call()
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		t.Errorf("status %d, close %v", response.StatusCode, response.Close)
	}
}

// TestGracefulStopRefusesWhatItCannotFinish guards against a front that reads a request late
// in its graceful stop, passes it on and closes the connection without a response.
func TestGracefulStopRefusesWhatItCannotFinish(t *testing.T) {
	first := func(tr *traffic) *sitestandin.Replica { return tr.replicas[0] }
	tr, front := startServingFront(t, "/once/x", first, func(r *http.Request) {
		if r.Header.Get(sitestandin.Headers.RequestID) == "once-late" {
			<-r.Context().Done()
		}
	})
	front.signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second) // the front still accepts connections
	connection, err := net.Dial("tcp", tr.site.address(front, tr.site.ports.caller))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	time.Sleep(3 * time.Second) // callers may use connections for 3 s
	_, _ = fmt.Fprintf(connection, "POST /once/x HTTP/1.1\r\nHost: %s\r\n%s: once-late\r\nContent-Length: 4\r\n\r\nbody", host, sitestandin.Headers.RequestID)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, close %v, header %v", response.StatusCode, response.Close, response.Header)
	}
	for _, arrival := range first(tr).Arrivals() {
		if arrival.ID == "once-late" {
			t.Error("a refused request was sent to a replica")
		}
	}
	front.stop()
}

// startServingFront starts a site with one front and one of its replicas, whose requests pass
// through handle, and waits until a request to a path is served.
func startServingFront(t *testing.T, path string, choose func(*traffic) *sitestandin.Replica, handle func(*http.Request)) (*traffic, *machine) {
	t.Helper()
	build(t)
	s := newSite(t, 3, 0, 1)
	for _, m := range s.machines {
		s.start(m, true)
	}
	tr := newTraffic(s)
	replica := choose(tr)
	replica.Handle = func(_ http.ResponseWriter, r *http.Request) bool {
		handle(r)
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go tr.changeConfigurations(ctx)
	go tr.sendHeartbeats(ctx, replica)
	waitUntil(t, "a call is served", func() bool {
		status, _, _ := tr.do(ctx, http.MethodPost, tr.frontURL()+path, http.Header{sitestandin.Headers.RequestID: {fmt.Sprint("first-", time.Now().UnixNano())}}, nil)
		return status == http.StatusOK
	})
	return tr, s.machinesOf("front")[0]
}
