package httpserve_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
)

// TestResponseDuringStopAnnouncesClose guards against a response that promises a keep-alive
// time to a client although the server began to stop while the request was served.
func TestResponseDuringStopAnnouncesClose(t *testing.T) {
	servers := map[string]func() *httpserve.IdleConnections{
		"announced":   func() *httpserve.IdleConnections { return httpserve.NewIdleConnections(time.Second) },
		"unannounced": func() *httpserve.IdleConnections { return httpserve.NewUnannouncedConnections(time.Second) },
	}
	responses := map[string]func(w http.ResponseWriter){
		"nothing written": func(http.ResponseWriter) {},
		"header":          func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) },
		"body":            func(w http.ResponseWriter) { _, _ = io.WriteString(w, "body") },
		"flush":           func(w http.ResponseWriter) { _ = http.NewResponseController(w).Flush() },
		"informational": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusEarlyHints)
			w.WriteHeader(http.StatusOK)
		},
	}
	for server, connections := range servers {
		for response, respond := range responses {
			t.Run(server+"/"+response, func(t *testing.T) {
				idle, entered, release := connections(), make(chan struct{}), make(chan struct{})
				served := httpserve.NewServer(httpserve.ServerConfig{Idle: idle, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					close(entered)
					<-release
					respond(w)
				})})
				defer func() { _ = served.Close() }()
				listener := listenTCP(t)
				go func() { _ = served.Serve(listener) }()
				connection := dialIdle(t, listener.Addr().String())
				writeRequest(t, connection, requestStart+requestEnd)
				<-entered
				stopped := make(chan struct{})
				go func() {
					defer close(stopped)
					idle.Stop(t.Context())
				}()
				time.Sleep(stopDelay)
				close(release)
				answer := readFinalResponse(t, connection)
				if keep := answer.Header.Get("Keep-Alive"); !answer.Close || keep != "" {
					t.Errorf("close %v, Keep-Alive %q", answer.Close, keep)
				}
				<-stopped
			})
		}
	}
}

// readFinalResponse reads a response and skips the informational ones before it.
func readFinalResponse(t *testing.T, connection net.Conn) *http.Response {
	t.Helper()
	reader := bufio.NewReader(connection)
	for {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		if answer.StatusCode >= http.StatusOK {
			return answer
		}
	}
}
