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

// idleServer is a server whose responses announce the keep-alive timeout.
type idleServer struct {
	idle     *httpserve.IdleConnections
	http     *http.Server
	address  string
	stopping chan struct{}
	// idled receives a value each time a connection becomes idle.
	idled chan struct{}
}

func startIdleServer(t *testing.T, announced time.Duration) *idleServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &idleServer{
		idle: httpserve.NewIdleConnections(announced), address: listener.Addr().String(), stopping: make(chan struct{}),
		idled: make(chan struct{}, 8),
	}
	observe := func(connection net.Conn, state http.ConnState) {
		s.idle.Observe(connection, state)
		if state == http.StateIdle {
			s.idled <- struct{}{}
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

// stop stops the server gracefully.
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

// sendRequest sends a request and reads the response header.
func sendRequest(t *testing.T, connection net.Conn) *http.Response {
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
		t.Fatalf("no response on a connection within its keep-alive timeout: %v", err)
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

// TestGracefulStopHonorsAnnouncedKeepAlive sends on a connection that was idle
// when the server began to stop.
func TestGracefulStopHonorsAnnouncedKeepAlive(t *testing.T) {
	server := startIdleServer(t, time.Hour)
	connection := dialIdle(t, server.address)
	if got := sendRequest(t, connection).Header.Get("Keep-Alive"); got != "timeout=3600" {
		t.Errorf("Keep-Alive %q", got)
	}
	<-server.idled
	stopped := server.stop(t.Context())
	// Allows time for a server to close idle connections by mistake.
	time.Sleep(50 * time.Millisecond)
	if answer := sendRequest(t, connection); !answer.Close {
		t.Error("the response does not announce that the connection closes")
	}
	<-stopped
}

// TestGracefulStopEndsAfterKeepAlive has a client that never sends again.
func TestGracefulStopEndsAfterKeepAlive(t *testing.T) {
	server := startIdleServer(t, time.Second)
	sendRequest(t, dialIdle(t, server.address))
	<-server.idled
	<-server.stop(t.Context())
}

// TestGracefulStopEndsWithContext checks that the end of the context ends the stop.
func TestGracefulStopEndsWithContext(t *testing.T) {
	server := startIdleServer(t, time.Hour)
	sendRequest(t, dialIdle(t, server.address))
	<-server.idled
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	<-server.stop(ctx)
}
