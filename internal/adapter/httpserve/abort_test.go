package httpserve_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
)

// TestAbortedResponseDoesNotLookComplete guards against a response that breaks off and looks complete to a
// client for which the close of the connection ends a body.
func TestAbortedResponseDoesNotLookComplete(t *testing.T) {
	const part = "part"
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, aborts := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, aborts %v", version, aborts), func(t *testing.T) {
				server := httpserve.NewServer(httpserve.ServerConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					_, _ = io.WriteString(w, part)
					_ = http.NewResponseController(w).Flush()
					if aborts {
						panic(http.ErrAbortHandler)
					}
				})})
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				go func() { _ = server.Serve(listener) }()
				t.Cleanup(func() { _ = server.Close() })
				connection, err := net.Dial("tcp", listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = connection.Close() }()
				if _, err := io.WriteString(connection, "GET / "+version+"\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				received, err := io.ReadAll(connection)
				end := "\r\n0\r\n\r\n"
				if version == "HTTP/1.0" {
					end = part
				}
				complete := err == nil && strings.HasSuffix(string(received), end)
				if complete == aborts {
					t.Errorf("received %q, %v", received, err)
				}
			})
		}
	}
}
