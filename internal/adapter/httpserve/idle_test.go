package httpserve_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
)

// idleServer is a server whose responses announce the keep-alive timeout.
type idleServer struct {
	idle    *httpserve.IdleConnections
	http    *httpserve.Server
	address string
	// idled receives a value each time a connection becomes idle.
	idled chan struct{}
	// accepted receives a value for each new connection.
	accepted chan struct{}
}

func startIdleServer(t *testing.T, announced time.Duration) *idleServer {
	t.Helper()
	return startIdleServerOn(t, announced, listenTCP(t))
}

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener.(*net.TCPListener)
}

func startIdleServerOn(t *testing.T, announced time.Duration, listener net.Listener) *idleServer {
	t.Helper()
	s := &idleServer{
		idle: httpserve.NewIdleConnections(announced), address: listener.Addr().String(),
		idled: make(chan struct{}, 8), accepted: make(chan struct{}, 8),
	}
	s.http = httpserve.NewServer(httpserve.ServerConfig{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), Idle: s.idle})
	observe := s.http.ConnState
	s.http.ConnState = func(connection net.Conn, state http.ConnState) {
		observe(connection, state)
		switch state {
		case http.StateNew:
			s.accepted <- struct{}{}
		case http.StateIdle:
			s.idled <- struct{}{}
		}
	}
	served := s.http.Listener(listener) // before a stop that the test begins at once
	go func() { _ = s.http.Server.Serve(served) }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// stop stops the server gracefully.
func (s *idleServer) stop(ctx context.Context) <-chan struct{} {
	stopped := make(chan struct{})
	go func() {
		s.idle.Stop(ctx)
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

// heldListener blocks Accept until accepting is closed, and Read on its connections as
// long as held is set, as on a machine that doesn't run the server's goroutines.
type heldListener struct {
	*net.TCPListener
	accepting chan struct{}
	held      atomic.Bool
	// deadlineDelay is how long SetReadDeadline takes after it has removed a deadline.
	deadlineDelay time.Duration
}

func newHeldListener(t *testing.T) *heldListener {
	t.Helper()
	return &heldListener{TCPListener: listenTCP(t), accepting: make(chan struct{})}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.accepting
	accepted, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &heldConn{accepted, l}, nil
}

func (l *heldListener) wait() {
	for l.held.Load() {
		time.Sleep(time.Millisecond)
	}
}

type heldConn struct {
	*net.TCPConn
	listener *heldListener
}

func (c *heldConn) Read(buf []byte) (int, error) {
	c.listener.wait()
	n, err := c.TCPConn.Read(buf)
	c.listener.wait()
	return n, err
}

func (c *heldConn) SetReadDeadline(deadline time.Time) error {
	err := c.TCPConn.SetReadDeadline(deadline)
	if deadline.IsZero() {
		time.Sleep(c.listener.deadlineDelay)
	}
	return err
}

func writeRequest(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	if _, err := connection.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads a response whose connection must close after it.
func readResponse(t *testing.T, connection net.Conn) {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK || !answer.Close {
		t.Errorf("status %d, close %v", answer.StatusCode, answer.Close)
	}
}

const (
	requestStart = "GET / HTTP/1.1\r\n"
	requestEnd   = "Host: host\r\n\r\n"
	// stopDelay allows time for a stopping server to close connections by mistake.
	stopDelay = 100 * time.Millisecond
)

// TestStopAnswersRequestOnNewConnection sends the first request of a connection after the
// server has begun to stop.
func TestStopAnswersRequestOnNewConnection(t *testing.T) {
	server := startIdleServer(t, time.Second)
	connection := dialIdle(t, server.address)
	<-server.accepted
	stopped := server.stop(t.Context())
	time.Sleep(stopDelay)
	writeRequest(t, connection, requestStart+requestEnd)
	readResponse(t, connection)
	<-stopped
}

// TestStopAnswersUnreadRequest sends a request that the server reads only after the
// announced time has passed.
func TestStopAnswersUnreadRequest(t *testing.T) {
	for name, reused := range map[string]bool{"new connection": false, "idle connection": true} {
		t.Run(name, func(t *testing.T) {
			held := newHeldListener(t)
			close(held.accepting)
			held.held.Store(!reused)
			server := startIdleServerOn(t, time.Second, held)
			connection := dialIdle(t, server.address)
			<-server.accepted
			if reused {
				sendRequest(t, connection)
				<-server.idled
				held.held.Store(true)
			}
			writeRequest(t, connection, requestStart+requestEnd)
			stopped := server.stop(t.Context())
			time.Sleep(2 * time.Second) // longer than the announced time and its margin
			held.held.Store(false)
			readResponse(t, connection)
			<-stopped
		})
	}
}

// TestStopAnswersRequestReadBetweenChecks guards against the reset of a request that is
// read while the stopping server checks its idle connections again.
func TestStopAnswersRequestReadBetweenChecks(t *testing.T) {
	held := newHeldListener(t)
	close(held.accepting)
	held.deadlineDelay = 50 * time.Millisecond // several checks
	held.held.Store(true)
	server := startIdleServerOn(t, time.Second, held)
	connection := dialIdle(t, server.address)
	<-server.accepted
	writeRequest(t, connection, requestStart+requestEnd)
	stopped := server.stop(t.Context())
	time.Sleep(2 * time.Second) // longer than the announced time and its margin
	held.held.Store(false)
	readResponse(t, connection)
	<-stopped
}

// TestStopAnswersIncompleteRequest sends the end of a request's header after the announced
// time has passed.
func TestStopAnswersIncompleteRequest(t *testing.T) {
	server := startIdleServer(t, time.Second)
	connection := dialIdle(t, server.address)
	sendRequest(t, connection)
	<-server.idled
	writeRequest(t, connection, requestStart)
	stopped := server.stop(t.Context())
	time.Sleep(2 * time.Second)
	writeRequest(t, connection, requestEnd)
	readResponse(t, connection)
	<-stopped
}

// TestStopAnswersPendingConnection has a connection that is not accepted yet when the
// server begins to stop.
func TestStopAnswersPendingConnection(t *testing.T) {
	held := newHeldListener(t)
	server := startIdleServerOn(t, time.Second, held)
	connection := dialIdle(t, server.address)
	writeRequest(t, connection, requestStart+requestEnd)
	stopped := server.stop(t.Context())
	time.Sleep(stopDelay)
	close(held.accepting)
	readResponse(t, connection)
	<-stopped
}

// TestStopAllowsForTransit sends when the announced time has passed for the server, but
// not yet for a client that received the response later.
func TestStopAllowsForTransit(t *testing.T) {
	server := startIdleServer(t, time.Second)
	connection := dialIdle(t, server.address)
	sendRequest(t, connection)
	<-server.idled
	stopped := server.stop(t.Context())
	time.Sleep(1200 * time.Millisecond)
	writeRequest(t, connection, requestStart+requestEnd)
	readResponse(t, connection)
	<-stopped
}

// TestStopLingersWithoutAnnouncement sends on a connection that was idle for long, to a
// server that announces no keep-alive timeout.
func TestStopLingersWithoutAnnouncement(t *testing.T) {
	idle := httpserve.NewUnannouncedConnections(time.Second)
	server := httpserve.NewServer(httpserve.ServerConfig{Handler: http.NotFoundHandler(), Idle: idle})
	listener := listenTCP(t)
	go func() { _ = server.Serve(listener) }()
	connection := dialIdle(t, listener.Addr().String())
	sendRequest(t, connection)
	time.Sleep(1200 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		idle.Stop(t.Context())
		_ = server.Shutdown(t.Context())
		close(stopped)
	}()
	time.Sleep(stopDelay)
	if answer := sendRequest(t, connection); !answer.Close {
		t.Error("the response does not announce that the connection closes")
	}
	<-stopped
}
