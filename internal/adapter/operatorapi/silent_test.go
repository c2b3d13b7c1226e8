package operatorapi

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A member that is cut off in silence takes connections, as its kernel does, and
// answers nothing.
func TestClientSkipsUnresponsiveMember(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	var connections atomic.Int64
	go func() {
		for {
			connection, err := silent.Accept()
			if err != nil {
				return
			}
			defer connection.Close()
			connections.Add(1)
		}
	}()
	good := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":7}`))
	}))
	defer good.Close()
	client, err := NewClient([]string{silent.Addr().String(), strings.TrimPrefix(good.URL, "http://")}, "token")
	if err != nil {
		t.Fatal(err)
	}
	client.http.Timeout = 100 * time.Millisecond
	for range 3 {
		accepted, err := client.ChangeConfig(context.Background(), ConfigChange{})
		if err != nil || accepted.Revision != 7 {
			t.Fatalf("%+v, %v", accepted, err)
		}
	}
	if tried := connections.Load(); tried != 1 {
		t.Errorf("the silent member was tried %d times in three calls", tried)
	}
}
