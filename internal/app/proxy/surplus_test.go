package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/replicacall"
)

// repeatingReplica answers the first arrival of a request with a refusal or failure and runs the
// later ones. On the same connection it repeats that answer in the place of the next one.
type repeatingReplica struct {
	answer string
	mutex  sync.Mutex
	seen   map[string]bool
	runs   map[string]int
}

func startRepeatingReplica(t *testing.T, answer string) (*repeatingReplica, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &repeatingReplica{answer: answer, seen: map[string]bool{}, runs: map[string]int{}}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(connection)
		}
	}()
	return r, listener.Addr().String()
}

func (r *repeatingReplica) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	surplus := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get(testDialect{}.Headers().RequestID)
		if r.isFirst(id) {
			surplus = strings.ReplaceAll(r.answer, "ID", id)
			_, _ = io.WriteString(connection, surplus)
			continue
		}
		_, _ = io.WriteString(connection, surplus)
		surplus = ""
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nSeal: seal\r\nContent-Length: 0\r\n\r\n")
	}
}

// isFirst reports whether a request arrives for the first time. It counts the others as runs.
func (r *repeatingReplica) isFirst(id string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	first := !r.seen[id]
	r.seen[id] = true
	if !first {
		r.runs[id]++
	}
	return first
}

// TestSurplusRefusalDoesNotRepeatRequest guards against a request that runs twice, or is refused
// as not run while it runs, because a late copy of a replica's refusal is taken for the answer
// to its next send, which goes to the same address.
func TestSurplusRefusalDoesNotRepeatRequest(t *testing.T) {
	for name, row := range map[string]struct {
		answer     string
		repeatable bool
	}{
		"another instance":            {"HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nContent-Length: 0\r\n\r\n", false},
		"full":                        {"HTTP/1.1 503 Service Unavailable\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
		"failure, may be sent again":  {"HTTP/1.1 500 Internal Server Error\r\nId: ID\r\nContent-Length: 0\r\n\r\n", true},
		"instance, may be sent again": {"HTTP/1.1 421 Misdirected Request\r\nId: ID\r\nContent-Length: 0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			replica, address := startRepeatingReplica(t, row.answer)
			sender := newTestProxy(address, new(atomic.Int64))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			answer, failure := sender.Do(ctx, Request{
				Request: replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "1"},
				Service: "s", Repeatable: row.repeatable, MaxAttempts: 3,
			})
			if failure != nil || answer.Status != http.StatusOK {
				t.Errorf("answer %+v, failure %v", answer, failure)
			}
			replica.mutex.Lock()
			defer replica.mutex.Unlock()
			if replica.runs["1"] != 1 {
				t.Errorf("the request ran %d times", replica.runs["1"])
			}
		})
	}
}
