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

// TestClientSkipsUnresponsiveMember covers a member that accepts connections but never
// answers.
func TestClientSkipsUnresponsiveMember(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	var connections atomic.Int64
	go func() {
		for {
			connection, err := unresponsive.Accept()
			if err != nil {
				return
			}
			defer connection.Close()
			connections.Add(1)
		}
	}()
	responsive := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"revision":7}`))
	}))
	defer responsive.Close()
	client, err := NewClient([]string{unresponsive.Addr().String(), strings.TrimPrefix(responsive.URL, "http://")}, "token")
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
		t.Errorf("the unresponsive member was tried %d times in three calls", tried)
	}
}
