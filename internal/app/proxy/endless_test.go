package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const (
	// endlessTimeout is the timeout of the route of requests whose replica does not end its
	// answer, and endlessMargin how much later they must be answered at the latest.
	endlessTimeout = time.Second
	endlessMargin  = 2 * time.Second
	// successHead is the head of a replica's success.
	successHead = "HTTP/1.1 200 OK\r\nId: {id}\r\nSeal: seal\r\n"
)

// doEndless sends a request whose timeout is endlessTimeout.
func doEndless(t *testing.T, sender *Proxy, request Request) (*Answer, *Failure) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), endlessTimeout)
	t.Cleanup(cancel)
	request.Method, request.Target, request.Host, request.Service, request.MaxAttempts = http.MethodPost, "/x", "h", "s", 3
	started := time.Now()
	answer, failure := sender.Do(ctx, request)
	if took := time.Since(started); took > endlessTimeout+endlessMargin {
		t.Errorf("answered after %v", took)
	}
	return answer, failure
}

// awaitFreeConnections fails the test unless all connections to replicas are released.
func awaitFreeConnections(t *testing.T, sender *Proxy) {
	t.Helper()
	for deadline := time.Now().Add(endlessMargin); ; time.Sleep(10 * time.Millisecond) {
		sender.mutex.Lock()
		used := len(sender.connections.inUse)
		sender.mutex.Unlock()
		if used == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Errorf("connections to %d addresses are in use", used)
			return
		}
	}
}

// TestEndlessAnswerFailsInTime guards against a request that outlives its timeout, or is answered
// as complete or as not run, and against a connection that stays in use, while a replica sends a
// head or a body without end.
func TestEndlessAnswerFailsInTime(t *testing.T) {
	rows := testkit.EndlessHeads()
	for name, answer := range testkit.EndlessBodies(successHead) {
		rows["success, "+name] = answer
	}
	for name, answer := range testkit.EndlessBodies("HTTP/1.1 500 No\r\nId: {id}\r\n") {
		rows["failure, "+name] = answer
	}
	rows["success without an id"] = testkit.EndlessAnswer{Start: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "b"}
	rows["switch of protocols"] = testkit.EndlessAnswer{Start: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\nId: {id}\r\nSeal: seal\r\n\r\n", Repeat: "b"}
	for name, answer := range testkit.Dripped(rows) {
		t.Run(name, func(t *testing.T) {
			if answer.Drip {
				t.Parallel() // floods one at a time: each may take maxBodyBytes
			}
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return answer })
			sender := newTestProxy(server.Address(), new(atomic.Int64))
			answer, failure := doEndless(t, sender, Request{Request: replicacall.Request{ID: "1"}})
			switch {
			case failure != nil:
				if failure.Verdict != port.MayHaveRun {
					t.Errorf("failed with %v", failure)
				}
			case answer.Stream == nil:
				t.Errorf("answered with status %d and %d bytes", answer.Status, len(answer.Body))
			default: // forwarded while it arrives
				if _, err := io.Copy(io.Discard, answer.Stream.Body); err == nil {
					t.Error("the forwarded answer looks complete")
				}
				_ = answer.Stream.Body.Close()
			}
			server.AwaitClosed(t, endlessMargin)
			awaitFreeConnections(t, sender)
			if server.Requests() != 1 {
				t.Errorf("sent %d times", server.Requests())
			}
		})
	}
}

// TestRefusalWithoutEndIsARefusal guards against a request that waits for the end of a refusal's
// body until its deadline instead of going to another replica.
func TestRefusalWithoutEndIsARefusal(t *testing.T) {
	rows := testkit.EndlessBodies("HTTP/1.1 503 No\r\nId: {id}\r\nNot-Run: 1\r\n")
	for name, answer := range testkit.EndlessBodies("HTTP/1.1 421 No\r\nId: {id}\r\n") {
		rows["another instance, "+name] = answer
	}
	for name, refusal := range testkit.Dripped(rows) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, "Id", func(request int) testkit.EndlessAnswer {
				if request == 0 {
					return refusal
				}
				return testkit.EndlessAnswer{Start: successHead + "Content-Length: 1\r\n\r\n."}
			})
			sender := newTestProxy(server.Address(), new(atomic.Int64))
			answer, failure := doEndless(t, sender, Request{Request: replicacall.Request{ID: "1"}})
			if failure != nil || answer.Status != http.StatusOK {
				t.Errorf("answered %v, failure %v", answer != nil, failure)
			}
			if sent := server.Sent(); sent > testkit.EndlessLimit {
				t.Errorf("the replica sent %d bytes", sent)
			}
		})
	}
}

// TestEndlessAnswerIsTriedElsewhere guards against an idempotent request that waits for a head
// without end although another replica has room.
func TestEndlessAnswerIsTriedElsewhere(t *testing.T) {
	for name, answer := range testkit.Dripped(testkit.EndlessHeads()) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, "Id", func(request int) testkit.EndlessAnswer {
				if request == 0 {
					return answer
				}
				return testkit.EndlessAnswer{Start: successHead + "Content-Length: 1\r\n\r\n."}
			})
			sender := newTestProxyOf(server.Address(), 2, new(atomic.Int64)) // both replicas have one address
			got, failure := doEndless(t, sender, Request{Request: replicacall.Request{ID: "1"}, Repeatable: true})
			if failure != nil || got.Status != http.StatusOK || string(got.Body) != "." {
				t.Errorf("answered %v, failure %v", got != nil, failure)
			}
		})
	}
}

// TestEndlessStreamEndsWithTheRequest guards against a stream that goes on after the timeout of its
// route, or looks complete when it ends there, and against one that is passed on though its head
// announces no end.
func TestEndlessStreamEndsWithTheRequest(t *testing.T) {
	for name, stream := range testkit.Dripped(testkit.EndlessBodies(successHead)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return stream })
			sender := newTestProxy(server.Address(), new(atomic.Int64))
			started := time.Now()
			answer, failure := doEndless(t, sender, Request{Request: replicacall.Request{ID: "1"}, Stream: true})
			switch hasEnd := strings.Contains(stream.Start, "Content-Length") || strings.Contains(stream.Start, "chunked"); {
			case !hasEnd:
				if failure == nil || failure.Verdict != port.MayHaveRun {
					t.Fatalf("answered %v, failure %v", answer != nil, failure)
				}
			case failure != nil:
				t.Fatal(failure)
			default:
				if _, err := io.Copy(io.Discard, answer.Stream.Body); err == nil || errors.Is(err, io.EOF) {
					t.Error("the stream looks complete")
				}
				_ = answer.Stream.Body.Close()
			}
			if took := time.Since(started); took > endlessTimeout+endlessMargin {
				t.Errorf("ended after %v", took)
			}
			server.AwaitClosed(t, endlessMargin)
			awaitFreeConnections(t, sender)
		})
	}
}

// endlessHeapBytes limits what is allocated for an answer whose body is discarded.
const endlessHeapBytes = 16 << 20

// TestDiscardedAnswerTakesNoMemory guards against an answer of which only the header is used and
// whose body fills the memory, or counts as complete although it did not end.
func TestDiscardedAnswerTakesNoMemory(t *testing.T) {
	for name, endless := range testkit.EndlessBodies(successHead) {
		t.Run(name, func(t *testing.T) {
			server := testkit.NewEndlessServer(t, "Id", func(int) testkit.EndlessAnswer { return endless })
			sender := newTestProxy(server.Address(), new(atomic.Int64))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			answer, failure := doEndless(t, sender, Request{Request: replicacall.Request{ID: "1"}, DiscardBody: true})
			runtime.ReadMemStats(&after)
			if failure == nil || failure.Verdict != port.MayHaveRun {
				t.Errorf("answered %v, failure %v", answer != nil, failure)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > endlessHeapBytes {
				t.Errorf("%d bytes allocated", allocated)
			}
		})
	}
}
