package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/loomgrade/loomgrade/internal/adapter/boottime"
	"github.com/loomgrade/loomgrade/internal/adapter/httpcall"
	"github.com/loomgrade/loomgrade/internal/app/replicacall"
	"github.com/loomgrade/loomgrade/internal/app/siteview"
	"github.com/loomgrade/loomgrade/internal/core/sitestate"
	"github.com/loomgrade/loomgrade/internal/dialect"
	"github.com/loomgrade/loomgrade/internal/port"
)

// testDialect has the headers that requests need.
type testDialect struct{ dialect.Dialect }

func (testDialect) Headers() dialect.Headers {
	return dialect.Headers{RequestID: "Id", Deadline: "Deadline", ExpectedInstance: "Instance", NotRun: "Not-Run", Signature: "Seal"}
}

// TestCrashIsDistinguishedFromOtherFailures checks which failures of a server count as a
// crash.
func TestCrashIsDistinguishedFromOtherFailures(t *testing.T) {
	for name, row := range map[string]struct {
		serve func(connection net.Conn)
		want  bool
	}{
		"it closes without an answer": {func(c net.Conn) { _ = c.Close() }, true},
		"it resets": {func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, true},
		"it does not respond": {func(net.Conn) { time.Sleep(time.Second) }, false},
		"it sends no HTTP":    {func(c net.Conn) { _, _ = c.Write([]byte("nonsense\r\n\r\n")) }, false},
		"it answers a 500":    {func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")) }, false},
		"its answer is cut off": {func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 500 No\r\nContent-Length: 9\r\n\r\nab"))
			_ = c.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				connection, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = connection.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					row.serve(connection)
				}
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			sender := New(Config{Dialect: testDialect{}, Connections: 1})
			run := &exchange{proxy: sender, ctx: ctx}
			res := run.send(sitestate.Replica{ID: "r", Address: listener.Addr().String()}, replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "1"})
			if got := res.class == classMayHaveRun && httpcall.IsConnectionClosed(res.reason); got != row.want {
				t.Errorf("counts as a crash: %v, want %v: class %d, %v", got, row.want, res.class, res.reason)
			}
		})
	}
}

// newTestProxy returns a Proxy whose service "s" has two replicas at one address. suspended
// is how long its machine was suspended, in nanoseconds.
func newTestProxy(address string, suspended *atomic.Int64) *Proxy {
	return newTestProxyOf(address, 1, suspended)
}

// newTestProxyOf returns the like of newTestProxy with a number of connections to the address.
func newTestProxyOf(address string, connections int, suspended *atomic.Int64) *Proxy {
	replicas := []sitestate.Replica{{ID: "a", Address: address}, {ID: "b", Address: address}}
	view := &siteview.View{View: &sitestate.View{ByService: map[string]sitestate.ReplicaList{"s": sitestate.ListOf(replicas...)}}}
	return New(Config{
		Dialect: testDialect{}, Connections: connections, View: func() *siteview.View { return view },
		Logger: &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}},
		Clock:  func() time.Duration { return boottime.Now() + time.Duration(suspended.Load()) },
	})
}

// TestNoRetryAfterDeadlinePassedInSuspension checks that a request is not retried if
// its deadline passed while the machine was suspended.
func TestNoRetryAfterDeadlinePassedInSuspension(t *testing.T) {
	var suspended atomic.Int64
	var sends atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				sends.Add(1)
				suspended.Store(int64(10 * time.Second))
			}
			_ = connection.Close()
		}
	}()
	sender := newTestProxy(listener.Addr().String(), &suspended)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, failure := sender.Do(ctx, Request{
		Request: replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "1"},
		Service: "s", Repeatable: true, MaxAttempts: 4,
	})
	if sends.Load() != 1 {
		t.Errorf("sent %d times", sends.Load())
	}
	if failure == nil || failure.Verdict != port.MayHaveRun || failure.Code != port.CodeDeadline {
		t.Errorf("failure %+v", failure)
	}
}

// TestSentDeadlineExcludesSuspension checks that the deadline sent to a replica excludes
// time that the machine spent suspended.
func TestSentDeadlineExcludesSuspension(t *testing.T) {
	var suspended atomic.Int64
	// On a busy machine a second send may start before the first is answered.
	var mutex sync.Mutex
	var received []int
	record := func(millis int) (count int) {
		mutex.Lock()
		defer mutex.Unlock()
		received = append(received, millis)
		return len(received)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		millis, _ := strconv.Atoi(r.Header.Get(testDialect{}.Headers().Deadline))
		count := record(millis)
		suspended.Store(int64(10 * time.Second))
		if count == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(testDialect{}.Headers().RequestID, "1")
		w.Header().Set(testDialect{}.Headers().Signature, "seal")
	}))
	defer server.Close()
	sender := newTestProxy(server.Listener.Addr().String(), &suspended)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	answer, failure := sender.Do(ctx, Request{
		Request: replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "1"},
		Service: "s", Repeatable: true, MaxAttempts: 4,
	})
	if failure != nil || answer.Status != http.StatusOK {
		t.Fatalf("%+v", failure)
	}
	mutex.Lock()
	defer mutex.Unlock()
	if len(received) != 2 || received[0] <= 10_000 || received[1] > 10_000 {
		t.Errorf("deadlines received: %v ms", received)
	}
}

// TestRequestThatWaitedForConnectionHasNotRun guards against a request that counts as one that
// may have run although its context ended while it waited for a connection to the replica.
func TestRequestThatWaitedForConnectionHasNotRun(t *testing.T) {
	for name, row := range map[string]struct {
		end  func(context.Context) (context.Context, context.CancelFunc)
		code port.Code
	}{
		"deadline": {func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 100*time.Millisecond)
		}, port.CodeDeadline},
		"the process stops": {func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancelCause(ctx)
			stop := time.AfterFunc(100*time.Millisecond, func() { cancel(ErrStopping) })
			return ctx, func() { stop.Stop(); cancel(nil) }
		}, port.CodeDraining},
	} {
		t.Run(name, func(t *testing.T) {
			arrived, release := make(chan struct{}, 2), make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				arrived <- struct{}{}
				<-release
			}))
			defer server.Close()
			defer close(release)
			sender := newTestProxy(server.Listener.Addr().String(), new(atomic.Int64))
			request := Request{Request: replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "first"}, Service: "s", MaxAttempts: 2}
			first, cancelFirst := context.WithCancel(t.Context())
			defer cancelFirst()
			go func() { _, _ = sender.Do(first, request) }()
			<-arrived
			ctx, cancel := row.end(t.Context())
			defer cancel()
			request.ID = "second"
			if _, failure := sender.Do(ctx, request); failure == nil || failure.Verdict != port.NotRun || failure.Code != row.code {
				t.Errorf("failure %+v", failure)
			}
			if len(arrived) > 0 {
				t.Error("the request was sent")
			}
		})
	}
}

// TestLongAnswerIsForwardedWhole guards against an answer that is cut off at maxBodyBytes and
// looks complete.
func TestLongAnswerIsForwardedWhole(t *testing.T) {
	const chunk, length = 1 << 20, maxBodyBytes + 3<<20
	for name, sized := range map[string]bool{"chunked": false, "of known length": true} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testDialect{}.Headers().RequestID, "1")
				w.Header().Set(testDialect{}.Headers().Signature, "seal")
				if sized {
					w.Header().Set("Content-Length", strconv.Itoa(length))
				}
				for range length / chunk {
					_, _ = w.Write(make([]byte, chunk))
				}
			}))
			defer server.Close()
			sender := newTestProxy(server.Listener.Addr().String(), new(atomic.Int64))
			answer, failure := sender.Do(t.Context(), Request{
				Request: replicacall.Request{Method: http.MethodPost, Target: "/x", Host: "h", ID: "1"}, Service: "s", MaxAttempts: 1,
			})
			if failure != nil {
				t.Fatal(failure)
			}
			got := int64(len(answer.Body))
			if answer.Stream != nil {
				var err error
				if got, err = io.Copy(io.Discard, answer.Stream.Body); err != nil {
					t.Error(err)
				}
				_ = answer.Stream.Body.Close()
			}
			if got != length {
				t.Errorf("%d bytes of %d", got, length)
			}
		})
	}
}
