package httpcall_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TestConnectionIsNotReusedAfterSuspension checks that a request after a suspension
// uses a new connection: the server may have closed the old one.
func TestConnectionIsNotReusedAfterSuspension(t *testing.T) {
	var suspended, connections, calls atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		connections.Add(1)
		return ctx
	}
	server.Start()
	defer server.Close()
	client := httpcall.New(httpcall.Limits{Clock: func() time.Duration { return boottime.Now() + time.Duration(suspended.Load()) }})
	defer client.Close()
	call := func() error {
		request, err := httpcall.NewRequest(context.Background(), http.MethodGet, server.URL, strconv.FormatInt(calls.Add(1), 10), nil, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Send(request)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	for range 3 {
		if err := call(); err != nil {
			t.Fatal(err)
		}
	}
	if connections.Load() != 1 {
		t.Fatalf("%d connections", connections.Load())
	}
	suspended.Store(int64(10 * time.Second))
	for range 2 {
		if err := call(); err != nil && port.AsError(err).Verdict != port.NotRun {
			t.Errorf("a request on the old connection may have run: %v", err)
		}
	}
	if connections.Load() != 2 {
		t.Errorf("%d connections after a suspension", connections.Load())
	}
}
