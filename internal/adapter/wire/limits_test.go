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

// The server closes connections that send nothing, an incomplete hello or another protocol.
func TestSlowPeersAreCutOff(t *testing.T) {
	options := testOptions()
	options.DialTimeout = 30 * time.Millisecond
	_, address := startServer(t, options, registerEcho)
	for name, sent := range map[string][]byte{
		"nothing":          nil,
		"partial header":   {byteStringHead, 0},
		"partial hello":    {byteStringHead, 0, 0, 0, 50, 1, 2, 3},
		"oversize hello":   {byteStringHead, 0, 1, 0, 0},
		"another protocol": []byte("GET / HTTP/1.1\r\n\r\n"),
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

// A connection beyond the limit is rejected, and closing one frees its slot.
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

// failingListener returns its failures before it accepts connections.
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

// The server continues after temporary accept errors and reports a broken listener.
func TestTemporaryAcceptErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(testOptions())
	registerEcho(server)
	ended := make(chan error, 1)
	go func() {
		ended <- server.Serve(&failingListener{listener, []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE}})
	}()
	client := startClient(t, listener.Addr().String(), testOptions())
	if err := client.Call(testContext(t), "echo", echo{}, nil); err != nil {
		t.Errorf("after temporary errors: %v", err)
	}
	server.Close()
	if err := <-ended; err != nil {
		t.Errorf("serve: %v", err)
	}
	broken := &failingListener{listener, []error{syscall.EINVAL}}
	if err := NewServer(testOptions()).Serve(broken); !errors.Is(err, syscall.EINVAL) {
		t.Errorf("broken listener: %v", err)
	}
}

// lateListener returns one connection after Close, like a listener that had accepted
// it just before.
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

// A connection that is accepted during Close is closed and not served.
func TestAConnectionAcceptedWhileClosingIsClosed(t *testing.T) {
	options := testOptions()
	options.DialTimeout = time.Minute
	server := NewServer(options)
	listener := lateListener{accepted: make(chan net.Conn)}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	first, firstServer := net.Pipe()
	listener.accepted <- firstServer // accepted, so Serve is running
	_ = first.Close()
	server.Close()
	late, lateServer := net.Pipe()
	defer func() { _ = late.Close() }()
	listener.accepted <- lateServer
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
