package httpserve_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
)

// idleServer serves a handler that announces how long connections may rest.
type idleServer struct {
	idle     *httpserve.IdleConnections
	http     *http.Server
	address  string
	stopping chan struct{}
	// rested holds a token for each time that a connection became idle.
	rested chan struct{}
}

func startIdleServer(t *testing.T, announced time.Duration) *idleServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &idleServer{
		idle: httpserve.NewIdleConnections(announced), address: listener.Addr().String(), stopping: make(chan struct{}),
		rested: make(chan struct{}, 8),
	}
	observe := func(connection net.Conn, state http.ConnState) {
		s.idle.Observe(connection, state)
		if state == http.StateIdle {
			s.rested <- struct{}{}
		}
	}
	s.http = &http.Server{ConnState: observe, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		select {
		case <-s.stopping:
			s.idle.Announce(w.Header(), true)
		default:
			s.idle.Announce(w.Header(), false)
		}
	})}
	go func() { _ = s.http.Serve(listener) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// stop stops as a planned stop does.
func (s *idleServer) stop(ctx context.Context) <-chan struct{} {
	close(s.stopping)
	stopped := make(chan struct{})
	go func() {
		s.idle.AwaitIdle(ctx)
		_ = s.http.Shutdown(ctx)
		close(stopped)
	}()
	return stopped
}

// exchange sends a request and reads the answer's head.
func exchange(t *testing.T, connection net.Conn) *http.Response {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://host/", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := request.Write(connection); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), request)
	if err != nil {
		t.Fatalf("a request on a connection that may be used got no answer: %v", err)
	}
	_ = answer.Body.Close()
	return answer
}

func dialIdle(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// TestAnIdleConnectionOutlivesAPlannedStopAsAnnounced sends on a connection that
// was idle when the stop began.
func TestGracefulStopHonorsAnnouncedKeepAlive(t *testing.T) {
	server := startIdleServer(t, time.Hour)
	connection := dialIdle(t, server.address)
	if got := exchange(t, connection).Header.Get("Keep-Alive"); got != "timeout=3600" {
		t.Errorf("Keep-Alive %q", got)
	}
	<-server.rested
	stopped := server.stop(t.Context())
	// Time for a stop that closes idle connections at once; the pass does not
	// depend on it.
	time.Sleep(50 * time.Millisecond)
	if answer := exchange(t, connection); !answer.Close {
		t.Error("the caller was not told that the connection closes")
	}
	<-stopped
}

// TestAPlannedStopWaitsNoLongerThanAnnounced has a caller that never sends again.
func TestGracefulStopEndsAfterKeepAlive(t *testing.T) {
	server := startIdleServer(t, time.Second)
	exchange(t, dialIdle(t, server.address))
	<-server.rested
	<-server.stop(t.Context())
}

// TestAPlannedStopEndsWithItsTime has one, but the stop's time ends first.
func TestGracefulStopEndsWithContext(t *testing.T) {
	server := startIdleServer(t, time.Hour)
	exchange(t, dialIdle(t, server.address))
	<-server.rested
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	<-server.stop(ctx)
}
