package httpcall_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/port"
)

// TestAConnectionFromBeforeASuspensionIsNotUsed: the server has closed it long ago, and its
// closing may not have arrived yet. A request on it may have run, as far as its sender knows.
func TestConnectionIsNotReusedAfterSuspension(t *testing.T) {
	var slept, connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		connections.Add(1)
		return ctx
	}
	server.Start()
	defer server.Close()
	client := httpcall.New(httpcall.Limits{Clock: func() time.Duration { return boottime.Now() + time.Duration(slept.Load()) }})
	defer client.Close()
	call := func() error {
		request, err := httpcall.NewRequest(context.Background(), http.MethodGet, server.URL, "1", nil, nil)
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
	slept.Store(int64(10 * time.Second))
	for range 2 {
		if err := call(); err != nil && port.AsError(err).Verdict != port.NotRun {
			t.Errorf("a request on it may have run: %v", err)
		}
	}
	if connections.Load() != 2 {
		t.Errorf("%d connections after a suspension", connections.Load())
	}
}
