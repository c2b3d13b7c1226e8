package httpcall_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// surplusServer answers the first request of each id with a status and the later ones with 200.
// On each connection it repeats its first answer in the place of the second.
type surplusServer struct {
	listener    net.Listener
	status      int
	connections atomic.Int64
}

func startSurplusServer(t *testing.T, status int) *surplusServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &surplusServer{listener: listener, status: status}
	seen := map[string]bool{}
	var mutex sync.Mutex
	answer := func(id string) string {
		mutex.Lock()
		defer mutex.Unlock()
		status := http.StatusOK
		if !seen[id] {
			seen[id], status = true, s.status
		}
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: 1\r\n\r\n.", status, api.HeaderRequestID, id)
	}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go serveSurplus(connection, answer)
		}
	}()
	return s
}

func serveSurplus(connection net.Conn, answer func(id string) string) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	first := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		next := answer(request.Header.Get(api.HeaderRequestID))
		text := first + next
		if first == "" {
			first = next
		}
		if _, err := io.WriteString(connection, text); err != nil {
			return
		}
	}
}

// send sends a request and returns the status of its response.
func send(t *testing.T, client *httpcall.Client, s *surplusServer, id string) (status int, err error) {
	t.Helper()
	request, err := httpcall.NewRequest(t.Context(), http.MethodPost, "http://"+s.listener.Addr().String()+"/", id, nil, []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Send(request)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Body.Close()
}

// TestSurplusAnswerIsNotTakenForNextSend guards against a late copy of an answer that is taken
// for the answer to the next send of the same id, since both have that id.
func TestSurplusAnswerIsNotTakenForNextSend(t *testing.T) {
	for _, status := range []int{http.StatusMisdirectedRequest, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			server := startSurplusServer(t, status)
			client := httpcall.New(httpcall.Limits{Connections: 2, IdleConnections: 2})
			defer client.Close()
			if got, err := send(t, client, server, "1"); err != nil || got != status {
				t.Fatalf("first send: status %d, %v", got, err)
			}
			if got, err := send(t, client, server, "1"); err != nil || got != http.StatusOK {
				t.Errorf("second send: status %d, %v", got, err)
			}
		})
	}
}

// TestIDGoesOnAnotherConnectionEachTime guards against a request that fails because its id was
// carried by the connection that the transport picks.
func TestIDGoesOnAnotherConnectionEachTime(t *testing.T) {
	const limit = 3
	server := startSurplusServer(t, http.StatusServiceUnavailable)
	client := httpcall.New(httpcall.Limits{Connections: limit, IdleConnections: limit})
	defer client.Close()
	for i := range 2 * limit {
		if _, err := send(t, client, server, "1"); err != nil {
			t.Fatalf("send %d: %v", i, err)
		}
		if got := server.connections.Load(); got != int64(i)+1 {
			t.Fatalf("%d connections after %d sends", got, i+1)
		}
	}
}

// TestConnectionIsReplacedAfterManyIDs guards against a connection that forgets which ids it has
// carried, or whose memory for them grows for as long as it is used.
func TestConnectionIsReplacedAfterManyIDs(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		connections.Add(1)
		return ctx
	}
	server.Start()
	defer server.Close()
	client := httpcall.New(httpcall.Limits{})
	defer client.Close()
	const perConnection = 1024
	for i := range perConnection + 1 {
		request, err := httpcall.NewRequest(t.Context(), http.MethodPost, server.URL, fmt.Sprint(i), nil, []byte("body"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Send(request)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_ = response.Body.Close()
		if want := int64(1 + i/perConnection); connections.Load() != want {
			t.Fatalf("%d connections after %d requests", connections.Load(), i+1)
		}
	}
}
