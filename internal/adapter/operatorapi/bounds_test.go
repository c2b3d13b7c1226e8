package operatorapi

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// serve serves a seeded backend with limits and returns the address.
func serve(t *testing.T, limits Limits) string {
	t.Helper()
	return serveBackend(t, newSeededBackend(t), limits)
}

func serveBackend(t *testing.T, backend Backend, limits Limits) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Backend: backend, Token: testToken, Limits: limits})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return listener.Addr().String()
}

// testTimeout limits the wait for an event that a correct server causes.
const testTimeout = 30 * time.Second

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	_ = connection.SetDeadline(time.Now().Add(testTimeout))
	return connection
}

// TestSlowClientsAreCutOff checks the timeouts for incomplete requests.
func TestSlowClientsAreCutOff(t *testing.T) {
	limits := Limits{HeaderTimeout: 30 * time.Millisecond, BodyTimeout: 30 * time.Millisecond}
	head := "PUT " + PathConfig + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testToken + "\r\n"
	for name, sent := range map[string]string{
		"nothing":        "",
		"partial header": head,
		"partial body":   head + "Content-Length: 100\r\n\r\n{",
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, limits)
			connection := dial(t, address)
			_, _ = io.WriteString(connection, sent)
			answer, err := io.ReadAll(connection)
			if err != nil && !errors.Is(err, syscall.ECONNRESET) || strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
				t.Errorf("response %q, %v: the client was not cut off", answer, err)
			}
		})
	}
}

// TestLongHeadersAreRefused checks the status only if one is received: closing the
// connection while the client sends may lose it.
func TestLongHeadersAreRefused(t *testing.T) {
	connection := dial(t, serve(t, Limits{}))
	_, _ = io.WriteString(connection, "GET /healthz HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 4*MaxHeaderBytes)+"\r\n\r\n")
	if answer, _ := io.ReadAll(connection); len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 431 ") {
		t.Errorf("response %q", answer)
	}
}

// TestConnectionsAreBounded checks that a connection beyond the limit waits while the other one has a
// call in flight, and that the other one gives way once it is idle.
func TestConnectionsAreBounded(t *testing.T) {
	entered, finish := make(chan struct{}, 1), make(chan struct{})
	metrics := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-finish
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Backend: newSeededBackend(t), Token: testToken, Metrics: metrics, Limits: Limits{Connections: 1}})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	send := func(path string) net.Conn {
		connection := dial(t, listener.Addr().String())
		if _, err := io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		return connection
	}
	first := send("/metrics")
	<-entered
	second := send("/healthz")
	_ = second.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Fatal("the second connection was served while the first had a call in flight")
	}
	close(finish)
	if _, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil {
		t.Fatalf("first connection: %v", err)
	}
	_ = second.SetReadDeadline(time.Time{})
	if _, err := http.ReadResponse(bufio.NewReader(second), nil); err != nil {
		t.Fatalf("the second connection after the first became idle: %v", err)
	}
}

func TestGracefulStopReturnsNoError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(ServerConfig{Backend: newSeededBackend(t), Token: testToken})
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	if _, err := http.Get("http://" + listener.Addr().String() + "/healthz"); err != nil {
		t.Fatal(err)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := <-done; err != nil {
		t.Errorf("serve: %v", err)
	}
}
