package httpserve_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpserve"
	"github.com/loomgrade/loomgrade/internal/adapter/membudget"
)

// testTimeout limits waits for events that must happen.
const testTimeout = 20 * time.Second

// startServer starts a server whose handler answers with the length of the body, or with 408 if the
// body does not arrive in time.
func startServer(t *testing.T, config httpserve.ServerConfig) string {
	t.Helper()
	if config.Handler == nil {
		config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if errors.Is(err, os.ErrDeadlineExceeded) {
				w.WriteHeader(http.StatusRequestTimeout)
				return
			}
			_, _ = fmt.Fprint(w, len(body))
		})
	}
	listener := listenTCP(t)
	server := httpserve.NewServer(config)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// statusOf returns the status of the response on a connection, 0 if that closes without one.
func statusOf(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

const head = "POST / HTTP/1.1\r\nHost: h\r\n"

func TestLimitsOfRequests(t *testing.T) {
	const soon = 200 * time.Millisecond
	fields := strings.Repeat("a:\n", 1000)
	for name, row := range map[string]struct {
		limits httpserve.Limits
		memory int64
		parts  []string
		want   int
	}{
		"header below the limit":         {httpserve.Limits{HeaderBytes: 3200}, 0, []string{head + fields + "Content-Length: 1\r\n\r\nb"}, http.StatusOK},
		"header above the limit":         {httpserve.Limits{HeaderBytes: 1000}, 0, []string{head + fields + fields}, http.StatusRequestHeaderFieldsTooLarge},
		"line above the limit":           {httpserve.Limits{HeaderBytes: 1000}, 0, []string{head + "a: " + strings.Repeat("b", 5000)}, http.StatusRequestHeaderFieldsTooLarge},
		"body behind a short header":     {httpserve.Limits{HeaderBytes: 1000}, 0, []string{head + "Content-Length: 9000\r\n\r\n" + strings.Repeat("b", 9000)}, http.StatusOK},
		"no memory for the fields":       {httpserve.Limits{}, 100_000, []string{head + fields}, http.StatusServiceUnavailable},
		"memory for the fields":          {httpserve.Limits{}, 1_000_000, []string{head + fields + "\r\n"}, http.StatusOK},
		"header that stops":              {httpserve.Limits{HeaderTimeout: soon}, 0, []string{head}, 0},
		"nothing":                        {httpserve.Limits{HeaderTimeout: soon}, 0, nil, 0},
		"idle after a response":          {httpserve.Limits{IdleTimeout: soon}, 0, []string{head + "\r\n"}, http.StatusOK},
		"body that stops":                {httpserve.Limits{BodyTimeout: soon}, 0, []string{head + "Content-Length: 10\r\n\r\n1"}, http.StatusRequestTimeout},
		"body in chunks that stops":      {httpserve.Limits{BodyTimeout: soon}, 0, []string{head + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n"}, http.StatusRequestTimeout},
		"body that takes several pauses": {httpserve.Limits{BodyTimeout: 3 * soon}, 0, []string{head + "Content-Length: 4096\r\n\r\n", block(1500), block(1500), block(1096)}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := connect(t, startServer(t, httpserve.ServerConfig{Limits: row.limits, Memory: membudget.NewBudget(row.memory)}))
			for i, part := range row.parts {
				if i > 0 {
					time.Sleep(soon)
				}
				_, _ = io.WriteString(conn, part) // fails if the server refuses the request by then
			}
			if got := statusOf(conn); got != row.want {
				t.Errorf("status %d, want %d", got, row.want)
			}
			if row.limits.IdleTimeout > 0 {
				if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
					t.Errorf("the idle connection: %v, want EOF", err)
				}
			}
		})
	}
}

func block(bytes int) string { return strings.Repeat("b", bytes) }

// TestTrickledBodyIsCutOff sends single bytes, each in time.
func TestTrickledBodyIsCutOff(t *testing.T) {
	conn := connect(t, startServer(t, httpserve.ServerConfig{Limits: httpserve.Limits{BodyTimeout: 300 * time.Millisecond}}))
	_, _ = io.WriteString(conn, head+"Content-Length: 10000\r\n\r\n")
	go func() {
		for {
			if _, err := io.WriteString(conn, "b"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	if got := statusOf(conn); got != http.StatusRequestTimeout {
		t.Errorf("status %d", got)
	}
}

// TestUnwantedBodyDelaysNoOther guards against a response that waits for a body which no handler reads,
// and which does not arrive.
func TestUnwantedBodyDelaysNoOther(t *testing.T) {
	conn := connect(t, startServer(t, httpserve.ServerConfig{Handler: http.NotFoundHandler()}))
	_, _ = io.WriteString(conn, head+"Content-Length: 10\r\n\r\n1")
	if got := statusOf(conn); got != http.StatusNotFound {
		t.Errorf("status %d", got)
	}
}

// TestLongHandlerKeepsConnection guards against the deadline of a body that ends the wait for a slow
// handler.
func TestLongHandlerKeepsConnection(t *testing.T) {
	limits := httpserve.Limits{BodyTimeout: 100 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			w.WriteHeader(http.StatusInternalServerError)
		}
	})
	for _, request := range []string{head + "Content-Length: 3\r\n\r\nabc", head + "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n", head + "\r\n"} {
		conn := connect(t, startServer(t, httpserve.ServerConfig{Limits: limits, Handler: handler}))
		_, _ = io.WriteString(conn, request)
		if got := statusOf(conn); got != http.StatusOK {
			t.Errorf("%q: status %d", request, got)
		}
	}
}

// TestUnreadResponseIsCutOff checks that the handler of a response that nobody reads ends.
func TestUnreadResponseIsCutOff(t *testing.T) {
	ended := make(chan error, 1)
	address := startServer(t, httpserve.ServerConfig{Limits: httpserve.Limits{WriteTimeout: 200 * time.Millisecond}, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write(bytes.Repeat([]byte("x"), 64<<20))
		ended <- err
	})})
	conn := connect(t, address)
	_, _ = io.WriteString(conn, head+"\r\n")
	select {
	case err := <-ended:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%v", err)
		}
	case <-time.After(testTimeout):
		t.Error("the handler still writes")
	}
}

// TestConnectionsAreLimited fills a server with clients that make no progress.
func TestConnectionsAreLimited(t *testing.T) {
	const connections = 4
	for name, start := range map[string]string{
		"silent": "", "half a header": head, "body that stops": head + "Content-Length: 10\r\n\r\n1", "idle": head + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startServer(t, httpserve.ServerConfig{Limits: httpserve.Limits{Connections: connections}})
			for range 2 * connections {
				conn := connect(t, address)
				_, _ = io.WriteString(conn, start)
				if name == "idle" && statusOf(conn) != http.StatusOK {
					t.Error("an idle client was not served before")
				}
			}
			conn := connect(t, address)
			_, _ = io.WriteString(conn, head+"\r\n")
			if got := statusOf(conn); got != http.StatusOK {
				t.Errorf("status %d", got)
			}
		})
	}
}

// TestFullServerKeepsIdleConnections guards against a server that evicts clients while no other waits.
func TestFullServerKeepsIdleConnections(t *testing.T) {
	conn := connect(t, startServer(t, httpserve.ServerConfig{Limits: httpserve.Limits{Connections: 1}}))
	for range 3 {
		_, _ = io.WriteString(conn, head+"\r\n")
		if got := statusOf(conn); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// TestServedConnectionsAreNotEvicted fills a server with requests that its handler works on.
func TestServedConnectionsAreNotEvicted(t *testing.T) {
	const connections = 2
	finish := make(chan struct{})
	address := startServer(t, httpserve.ServerConfig{Limits: httpserve.Limits{Connections: connections}, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-finish })})
	var conns []net.Conn
	for range connections + 1 {
		conn := connect(t, address)
		_, _ = io.WriteString(conn, head+"\r\n")
		conns = append(conns, conn)
	}
	time.Sleep(2 * time.Second) // longer than any stall after which a client may be evicted
	close(finish)
	for i, conn := range conns {
		if got := statusOf(conn); got != http.StatusOK {
			t.Errorf("connection %d: status %d", i, got)
		}
	}
}

// TestMemoryOfStalledClientsIsFreed exhausts the memory by clients that stop, and then sends a request that
// needs some.
func TestMemoryOfStalledClientsIsFreed(t *testing.T) {
	const limit = 100_000
	budget := membudget.NewBudget(limit)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reservation := budget.NewReservation()
		defer reservation.Close()
		if _, _, complete, err := membudget.Read(r.Body, r.ContentLength, reservation); !complete || err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	address := startServer(t, httpserve.ServerConfig{Handler: handler, Memory: budget})
	for range 4 {
		conn := connect(t, address)
		_, _ = io.WriteString(conn, head+"Content-Length: 40000\r\n\r\n"+block(39_999))
	}
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		conn := connect(t, address)
		_, _ = io.WriteString(conn, head+"Content-Length: 40000\r\n\r\n"+block(40_000))
		if statusOf(conn) == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no request is served; %d of %d bytes are reserved", budget.Used(), limit)
		}
	}
}

// TestRequestsAheadAreLimitedInMemory sends requests whose headers the server reads ahead, and checks
// that all memory is released.
func TestRequestsAheadAreLimitedInMemory(t *testing.T) {
	budget := membudget.NewBudget(10 << 20)
	conn := connect(t, startServer(t, httpserve.ServerConfig{Memory: budget}))
	request := head + strings.Repeat("a:\n", 300) + "\r\n"
	_, _ = io.WriteString(conn, strings.Repeat(request, 50))
	reader := bufio.NewReader(conn)
	for i := range 50 {
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	_ = conn.Close()
	for deadline := time.Now().Add(testTimeout); budget.Used() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes stay reserved", budget.Used())
		}
	}
}

// TestCloseWhileFull closes a server that waits for room for a further connection.
func TestCloseWhileFull(t *testing.T) {
	entered := make(chan struct{}, 1)
	release := make(chan struct{})
	listener := listenTCP(t)
	server := httpserve.NewServer(httpserve.ServerConfig{Limits: httpserve.Limits{Connections: 1}, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn := connect(t, listener.Addr().String())
	_, _ = io.WriteString(conn, head+"\r\n")
	<-entered
	_ = connect(t, listener.Addr().String())
	_ = server.Close()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("%v", err)
	}
	close(release)
}
