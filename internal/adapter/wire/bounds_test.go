package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

func registerEcho(s *Server) {
	s.Handle("echo", func(_ context.Context, call *Call) error { return call.Send(echo{Text: "own"}) })
}

// TestSlowPeersAreCutOff connects and sends nothing, or part of a greeting.
func TestSlowPeersAreCutOff(t *testing.T) {
	options := testOptions()
	options.DialTimeout = 30 * time.Millisecond
	_, address := startServer(t, options, registerEcho)
	for name, sent := range map[string][]byte{
		"nothing":         nil,
		"half a head":     {byteStringHead, 0},
		"half a greeting": {byteStringHead, 0, 0, 0, 50, 1, 2, 3},
		"too long a one":  {byteStringHead, 0, 1, 0, 0},
		"another's words": []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			connection, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			_, _ = connection.Write(sent)
			if answer, _ := io.ReadAll(connection); len(answer) > 0 {
				t.Errorf("answered with %d bytes", len(answer))
			}
		})
	}
}

// TestConnectionsAreBounded: beyond the bound nothing runs, and a place is free
// again once a connection closes.
func TestConnectionsAreBounded(t *testing.T) {
	options := testOptions()
	options.MaxConnections = 1
	_, address := startServer(t, options, registerEcho)
	first := startClient(t, address, testOptions())
	if err := first.Call(testContext(t), "echo", echo{}, nil); err != nil {
		t.Fatal(err)
	}
	second := startClient(t, address, testOptions())
	ctx, cancel := context.WithTimeout(testContext(t), 100*time.Millisecond)
	defer cancel()
	if err := second.Call(ctx, "echo", echo{}, nil); VerdictOf(err) != port.NotRun {
		t.Fatalf("second connection: %v, want not run", err)
	}
	first.Close()
	for {
		err := second.Call(testContext(t), "echo", echo{}, nil)
		if err == nil {
			return
		}
		if VerdictOf(err) != port.NotRun {
			t.Fatalf("after the first closed: %v", err)
		}
	}
}

// failingListener fails a few times before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		failure := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: failure}
	}
	return l.Listener.Accept()
}

// TestShortagesOfFilesPass: a server goes on after errors that pass, and reports
// a listener that is broken.
func TestTemporaryAcceptErrors(t *testing.T) {
	below, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(testOptions())
	registerEcho(server)
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(&failingListener{below, []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE}})
	}()
	client := startClient(t, below.Addr().String(), testOptions())
	if err := client.Call(testContext(t), "echo", echo{}, nil); err != nil {
		t.Errorf("after a shortage: %v", err)
	}
	server.Close()
	if err := <-ended; err != nil {
		t.Errorf("serve: %v", err)
	}
	broken := &failingListener{below, []error{syscall.EINVAL}}
	if err := NewServer(testOptions()).Serve(broken); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("broken listener: %v", err)
	}
}

// lateListener hands out one connection after it was closed, as a listener does
// that had accepted it just before.
type lateListener struct {
	net.Listener
	accepted chan net.Conn
}

func (l lateListener) Accept() (net.Conn, error) {
	if conn, ok := <-l.accepted; ok {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (l lateListener) Close() error { return nil }

// TestAConnectionAcceptedWhileClosingIsClosed: nothing is served once Close has
// returned.
func TestAConnectionAcceptedWhileClosingIsClosed(t *testing.T) {
	options := testOptions()
	options.DialTimeout = time.Minute
	server := NewServer(options)
	listener := lateListener{accepted: make(chan net.Conn)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	first, firstFar := net.Pipe()
	listener.accepted <- firstFar // taken, so Serve runs
	_ = first.Close()
	server.Close()
	late, lateFar := net.Pipe()
	defer func() { _ = late.Close() }()
	listener.accepted <- lateFar
	close(listener.accepted)
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	// The deadline can't be set on a pipe that is closed already.
	_ = late.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := late.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %v, want a closed connection", err)
	}
}
