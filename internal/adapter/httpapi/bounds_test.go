package httpapi_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/port"
)

// endTimeout limits the wait for the end of a stream.
const endTimeout = 30 * time.Second

// TestSlowReadersTimeOut guards against waiting forever for a client that does not
// read a response larger than all buffers.
func TestSlowReadersTimeOut(t *testing.T) {
	const answerBytes = 32 << 20
	limits := httpapi.Limits{WriteTimeout: 50 * time.Millisecond, TextBytes: 2 * answerBytes}
	ended := make(chan error, 1)
	backend := &fakeBackend{
		application: func(context.Context, port.ApplicationRequest) (port.ApplicationResponse, error) {
			return port.ApplicationResponse{Status: 200, Body: make([]byte, answerBytes)}, nil
		},
		generate: func(_ context.Context, _ port.GenerateRequest, receive func(port.GenerateChunk) error) error {
			chunk := port.GenerateChunk{Text: strings.Repeat("x", 1<<20), Tokens: 1, Version: 1}
			var err error
			for written := 0; written < answerBytes && err == nil; written += len(chunk.Text) {
				err = receive(chunk)
			}
			ended <- err
			return err
		},
	}
	cases := map[string]string{
		"buffered response": "GET /app/p/x HTTP/1.1\r\nHost: x\r\n\r\n",
		"stream":            "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 27\r\n\r\n" + `{"model":"m","stream":true}`,
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			_, address := newServer(t, backend, limits)
			connection, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			_, _ = io.WriteString(connection, sent)
			if name == "stream" {
				expectEnd(t, ended)
			}
			time.Sleep(20 * limits.WriteTimeout)
			received, err := io.Copy(io.Discard, connection)
			if received >= answerBytes {
				t.Errorf("%d bytes received, %v: the connection stayed open for a client that does not read", received, err)
			}
		})
	}
}

// expectEnd waits for the failure of a stream whose client does not read.
func expectEnd(t *testing.T, ended <-chan error) {
	t.Helper()
	select {
	case err := <-ended:
		if err == nil {
			t.Fatal("the complete stream was written to a client that does not read")
		}
	case <-time.After(endTimeout):
		t.Fatal("the stream still waits for a client that does not read")
	}
}

// TestHealthAndReadinessAreIndependent checks that a node that is not ready is healthy.
func TestHealthAndReadinessAreIndependent(t *testing.T) {
	cases := []struct {
		name          string
		notReady      bool
		draining      bool
		health, ready int
	}{
		{"serving", false, false, http.StatusOK, http.StatusOK},
		{"without a configuration", true, false, http.StatusOK, http.StatusServiceUnavailable},
		{"draining", false, true, http.StatusOK, http.StatusServiceUnavailable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server, address := newServer(t, &fakeBackend{notReady: test.notReady}, httpapi.Limits{})
			if test.draining {
				server.Drain()
			}
			for path, want := range map[string]int{"/healthz": test.health, "/readyz": test.ready} {
				if got := send(t, address, "GET", path, ""); got.status != want {
					t.Errorf("%s: status %d, want %d", path, got.status, want)
				}
			}
		})
	}
}
