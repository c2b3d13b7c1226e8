package httpapi_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/httpapi"
	"github.com/loomgrade/loomgrade/internal/adapter/metrics"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// reply is a response as the tests compare it.
type reply struct {
	status int
	header http.Header
	body   string
}

// send sends a request; header has lines of the form "Name: value".
func send(t *testing.T, address, method, path, body string, header ...string) reply {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatalf("request: %v", err)
	}
	for _, line := range header {
		if name, value, found := strings.Cut(line, ": "); found {
			request.Header.Add(name, value)
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("%s %s: read: %v", method, path, err)
	}
	return reply{response.StatusCode, response.Header, string(text)}
}

// expectRefusal checks the status, code and verdict of an error response.
func expectRefusal(t *testing.T, got reply, status int, code port.Code, verdict port.Verdict) {
	t.Helper()
	var body api.ErrorBody
	if err := json.Unmarshal([]byte(got.body), &body); err != nil {
		t.Fatalf("status %d, body %q: %v", got.status, got.body, err)
	}
	if got.status != status || body.Error.Code != string(code) {
		t.Errorf("status %d, code %s; want %d, %s", got.status, body.Error.Code, status, code)
	}
	if body.Error.Verdict != verdict.String() || got.header.Get(api.HeaderVerdict) != verdict.String() {
		t.Errorf("verdict %q, in the header %q; want %q", body.Error.Verdict, got.header.Get(api.HeaderVerdict), verdict)
	}
}

func TestApplicationPassesThrough(t *testing.T) {
	var seen port.ApplicationRequest
	backend := &fakeBackend{unconfirmed: true, application: func(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
		seen = request
		return echoApplication(ctx, request)
	}}
	_, address := newServer(t, backend, httpapi.Limits{})
	got := send(t, address, "POST", "/app/page-api/a%2Fb/../c?q=1", "body",
		"X-Deadline-Ms: 5000", "X-Priority: 7", "Idempotency-Key: k1", "X-Safe-To-Repeat: true", "X-Own: kept", "Authorization: Bearer theirs")
	if got.status != http.StatusAccepted || got.body != "POST /a%2Fb/../c?q=1 body" {
		t.Errorf("got %d %q", got.status, got.body)
	}
	for name, want := range map[string]string{"X-Back-End": "b1", api.HeaderRequestID: "r-n1-1", api.HeaderUnconfirmed: "true", "Content-Type": ""} {
		if got.header.Get(name) != want {
			t.Errorf("response header %s = %q, want %q", name, got.header.Get(name), want)
		}
	}
	if seen.ID != "r-n1-1" || seen.Pool != "page-api" || seen.Priority != 7 || seen.Key != "k1" || !seen.Safe || seen.Deadline.IsZero() {
		t.Errorf("request %+v", seen)
	}
	if text := fmt.Sprint(seen.Header); !strings.Contains(text, "{X-Own kept}") || !strings.Contains(text, "{Authorization Bearer theirs}") {
		t.Errorf("header %s", text)
	}
}

func TestSafeByMethod(t *testing.T) {
	var seen bool
	backend := &fakeBackend{application: func(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
		seen = request.Safe
		return echoApplication(ctx, request)
	}}
	_, address := newServer(t, backend, httpapi.Limits{})
	cases := []struct {
		method, header string
		want           bool
	}{
		{"GET", "", true}, {"PUT", "", true}, {"DELETE", "", true}, {"POST", "", false}, {"PATCH", "", false},
		{"GET", "X-Safe-To-Repeat: false", false}, {"POST", "X-Safe-To-Repeat: true", true},
	}
	for _, test := range cases {
		send(t, address, test.method, "/app/p/", "", test.header)
		if seen != test.want {
			t.Errorf("%s with %q: safe %v, want %v", test.method, test.header, seen, test.want)
		}
	}
}

// TestRefusals covers requests that must not reach the backend.
func TestRefusals(t *testing.T) {
	reached := func(context.Context, port.ApplicationRequest) (port.ApplicationResponse, error) {
		t.Error("the call reached the backend")
		return port.ApplicationResponse{Status: 200}, nil
	}
	_, address := newServer(t, &fakeBackend{application: reached}, httpapi.Limits{BodyBytes: 64, CommandBytes: 256})
	operator := "Authorization: Bearer " + operatorToken
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     port.Code
	}{
		{"no such path", "GET", "/nothing", "", nil, 404, port.CodeNotFound},
		{"no pool", "GET", "/app/", "", nil, 400, port.CodeInvalid},
		{"body too large", "POST", "/app/p/x", strings.Repeat("x", 65), nil, 413, port.CodeTooLarge},
		{"invalid priority", "GET", "/app/p/x", "", []string{"X-Priority: high"}, 400, port.CodeInvalid},
		{"invalid deadline", "GET", "/app/p/x", "", []string{"X-Deadline-Ms: 0"}, 400, port.CodeInvalid},
		{"invalid safe header", "GET", "/app/p/x", "", []string{"X-Safe-To-Repeat: perhaps"}, 400, port.CodeInvalid},
		{"key too long", "GET", "/app/p/x", "", []string{"Idempotency-Key: " + strings.Repeat("k", 129)}, 400, port.CodeInvalid},
		{"unsupported method", "TRACE", "/app/p/x", "", nil, 400, port.CodeInvalid},
		{"completion without a model", "POST", "/v1/completions", `{}`, nil, 400, port.CodeInvalid},
		{"completion with malformed JSON", "POST", "/v1/completions", `{"model"`, nil, 400, port.CodeInvalid},
		{"two completions", "POST", "/v1/completions", `{"model":"m","n":2}`, nil, 400, port.CodeInvalid},
		{"completion with a cache handle", "POST", "/v1/completions", `{"model":"m","kv_handle":"http://x"}`, nil, 400, port.CodeInvalid},
		{"completion with a key", "POST", "/v1/completions", `{"model":"m"}`, []string{"Idempotency-Key: k"}, 400, port.CodeInvalid},
		{"consumer without a name", "POST", "/v1/pools/p/consumers", `{}`, nil, 400, port.CodeInvalid},
		{"consumer with an unknown field", "POST", "/v1/pools/p/consumers", `{"consumer":"t","x":1}`, nil, 400, port.CodeInvalid},
		{"consumer with trailing data", "POST", "/v1/pools/p/consumers", `{"consumer":"t"} {}`, nil, 400, port.CodeInvalid},
		{"consumer body too large", "POST", "/v1/pools/p/consumers", `{"consumer":"` + strings.Repeat("x", 256) + `"}`, nil, 413, port.CodeTooLarge},
		{"rewind without the operator", "POST", "/v1/pools/p/consumers", `{"consumer":"t","rewind_to":3}`, nil, 401, port.CodeUnauthorized},
		{"batch 0", "GET", "/v1/pools/p/batches/0?consumer_epoch=1", "", nil, 400, port.CodeInvalid},
		{"batch without an epoch", "GET", "/v1/pools/p/batches/1", "", nil, 400, port.CodeInvalid},
		{"batch with too long a wait", "GET", "/v1/pools/p/batches/1?consumer_epoch=1&wait_ms=60001", "", nil, 400, port.CodeInvalid},
		{"weights without a version", "POST", "/v1/pools/p/weights", `{"change_id":"c"}`, []string{operator}, 400, port.CodeInvalid},
		{"weights with an overlong change id", "POST", "/v1/pools/p/weights", `{"version":1,"change_id":"` + strings.Repeat("c", 129) + `"}`, []string{operator}, 400, port.CodeInvalid},
		{"operator's weights without the token", "POST", "/v1/pools/p/weights", `{"version":1,"change_id":"c"}`, nil, 401, port.CodeUnauthorized},
		{"explain without the token", "GET", "/v1/explain/x", "", nil, 401, port.CodeUnauthorized},
		{"status with a wrong token", "GET", "/v1/status", "", []string{"Authorization: Bearer " + tenantToken}, 401, port.CodeUnauthorized},
		{"explain an unknown subject", "GET", "/v1/explain/x", "", []string{operator}, 404, port.CodeNotFound},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := send(t, address, test.method, test.path, test.body, test.header...)
			expectRefusal(t, got, test.status, test.code, port.NotRun)
		})
	}
}

func TestTenantTokens(t *testing.T) {
	var seen port.ApplicationRequest
	backend := &fakeBackend{application: func(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
		seen = request
		return echoApplication(ctx, request)
	}}
	backend.view.Configuration.Tenants = []port.Tenant{{Name: "pilots", TokenSHA256: strings.ToUpper(tenantDigest)}, {Name: "others"}}
	_, address := newServer(t, backend, httpapi.Limits{})
	for _, header := range []string{"", "Authorization: Bearer ", "Authorization: Bearer wrong", "Authorization: Basic " + tenantToken, "Authorization: Bearer " + tenantDigest} {
		expectRefusal(t, send(t, address, "GET", "/app/p/x", "", header), 401, port.CodeUnauthorized, port.NotRun)
	}
	if got := send(t, address, "GET", "/app/p/x", "", "Authorization: Bearer "+tenantToken); got.status != http.StatusAccepted {
		t.Fatalf("status %d: %s", got.status, got.body)
	}
	if seen.Tenant != "pilots" || strings.Contains(fmt.Sprint(seen.Header), tenantToken) {
		t.Errorf("tenant %q, header %v; want pilots and no token", seen.Tenant, seen.Header)
	}
	if got := send(t, address, "GET", "/app/p/x", "", "Authorization: Bearer "+operatorToken); got.status != http.StatusAccepted {
		t.Errorf("operator: status %d", got.status)
	}
}

func TestOperatorIsRefusedWithoutAToken(t *testing.T) {
	_, address := newServerWith(t, httpapi.Config{Backend: &fakeBackend{}})
	for _, header := range []string{"", "Authorization: Bearer "} {
		expectRefusal(t, send(t, address, "GET", "/v1/status", "", header), 401, port.CodeUnauthorized, port.NotRun)
	}
}

func TestErrorsKeepTheirVerdict(t *testing.T) {
	cases := []struct {
		failure error
		status  int
		code    port.Code
		verdict port.Verdict
		after   string
	}{
		{&port.Error{Verdict: port.NotRun, Code: port.CodeQueueFull, RetryAfter: 1200 * time.Millisecond}, 503, port.CodeQueueFull, port.NotRun, "2"},
		{port.NewError(port.MayHaveRun, port.CodeBackEnd, "cut"), 502, port.CodeBackEnd, port.MayHaveRun, ""},
		{port.NewError(port.Ran, port.CodeTooLarge, "long"), 413, port.CodeTooLarge, port.Ran, ""},
		{port.NewError(port.VerdictUnset, port.CodeDeadline, "late"), 504, port.CodeDeadline, port.MayHaveRun, ""},
		{io.ErrUnexpectedEOF, 500, port.CodeInternal, port.MayHaveRun, ""},
	}
	for _, test := range cases {
		backend := &fakeBackend{application: func(context.Context, port.ApplicationRequest) (port.ApplicationResponse, error) {
			return port.ApplicationResponse{}, test.failure
		}}
		_, address := newServer(t, backend, httpapi.Limits{})
		got := send(t, address, "GET", "/app/p/x", "")
		expectRefusal(t, got, test.status, test.code, test.verdict)
		if got.header.Get("Retry-After") != test.after {
			t.Errorf("Retry-After %q, want %q", got.header.Get("Retry-After"), test.after)
		}
	}
}

// TestDeadlineEndsHungRequest checks that the deadline ends a request while the backend
// hangs.
func TestDeadlineEndsHungRequest(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	backend := &fakeBackend{
		application: func(context.Context, port.ApplicationRequest) (port.ApplicationResponse, error) {
			<-release
			return port.ApplicationResponse{Status: 200}, nil
		},
		generate: func(context.Context, port.GenerateRequest, func(port.GenerateChunk) error) error {
			<-release
			return nil
		},
	}
	_, address := newServer(t, backend, httpapi.Limits{})
	got := send(t, address, "POST", "/app/p/x", "", "X-Deadline-Ms: 20")
	expectRefusal(t, got, 504, port.CodeDeadline, port.MayHaveRun)
	got = send(t, address, "POST", "/v1/completions", `{"model":"m","stream":true}`, "X-Deadline-Ms: 20")
	expectRefusal(t, got, 504, port.CodeDeadline, port.MayHaveRun)
}

func TestPanicIsAnswered(t *testing.T) {
	panics := make(chan any, 1)
	backend := &fakeBackend{application: func(context.Context, port.ApplicationRequest) (port.ApplicationResponse, error) { panic("fault") }}
	_, address := newServerWith(t, httpapi.Config{Backend: backend, OnPanic: func(recovered any, _ []byte) { panics <- recovered }})
	expectRefusal(t, send(t, address, "GET", "/app/p/x", ""), 500, port.CodeInternal, port.MayHaveRun)
	if recovered := <-panics; recovered != "fault" {
		t.Errorf("Panicked received %v", recovered)
	}
}

func TestCallsAndStreamsAreBounded(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	backend := &fakeBackend{
		application: func(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
			entered <- struct{}{}
			<-release
			return echoApplication(ctx, request)
		},
		generate: func(ctx context.Context, request port.GenerateRequest, receive func(port.GenerateChunk) error) error {
			entered <- struct{}{}
			<-release
			return generateThreeChunks(ctx, request, receive)
		},
	}
	_, address := newServer(t, backend, httpapi.Limits{Calls: 1, Streams: 1})
	for path, body := range map[string]string{"/app/p/x": "", "/v1/completions": `{"model":"m"}`} {
		first := make(chan reply, 1)
		go func() { first <- send(t, address, "POST", path, body) }()
		<-entered
		expectRefusal(t, send(t, address, "POST", path, body), 503, port.CodeQueueFull, port.NotRun)
		release <- struct{}{}
		if got := <-first; got.status >= 300 {
			t.Errorf("first %s: status %d", path, got.status)
		}
	}
}

// TestConnectionsAreBounded checks that a connection beyond the limit waits while the other one has a
// request in flight, and that the other one gives way once it is idle.
func TestConnectionsAreBounded(t *testing.T) {
	entered, finish := make(chan struct{}, 2), make(chan struct{})
	backend := &fakeBackend{application: func(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
		entered <- struct{}{}
		<-finish
		return echoApplication(ctx, request)
	}}
	_, address := newServer(t, backend, httpapi.Limits{Connections: 1})
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Close() }()
	_, _ = io.WriteString(first, "GET /app/p/x HTTP/1.1\r\nHost: x\r\n\r\n")
	<-entered
	second, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	_, _ = io.WriteString(second, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	_ = second.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if _, err := second.Read(make([]byte, 1)); err == nil {
		t.Fatal("the second connection was served while the first had a request in flight")
	}
	close(finish)
	reader := bufio.NewReader(first)
	if _, err := http.ReadResponse(reader, nil); err != nil {
		t.Fatalf("first connection: %v", err)
	}
	_ = second.SetReadDeadline(time.Time{})
	if _, err := http.ReadResponse(bufio.NewReader(second), nil); err != nil {
		t.Fatalf("second connection after the first became idle: %v", err)
	}
	if _, err := io.Copy(io.Discard, reader); err != nil {
		t.Errorf("the idle connection: %v, want its end", err)
	}
}

// TestSlowClients checks the timeouts for incomplete requests.
func TestSlowClients(t *testing.T) {
	limits := httpapi.Limits{HeaderTimeout: 30 * time.Millisecond, BodyTimeout: 30 * time.Millisecond}
	_, address := newServer(t, &fakeBackend{application: echoApplication}, limits)
	cases := map[string]struct {
		sent   string
		status int
	}{
		"header":       {"GET /app/p/x HTTP/1.1\r\nHost: x\r\n", 0},
		"body":         {"POST /app/p/x HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf", 400},
		"refused body": {"POST /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nhalf", 404},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			connection, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			_, _ = io.WriteString(connection, test.sent)
			answer, err := io.ReadAll(connection)
			if err != nil {
				t.Fatalf("the connection was not closed cleanly: %v", err)
			}
			if test.status != 0 && !strings.HasPrefix(string(answer), fmt.Sprintf("HTTP/1.1 %d ", test.status)) {
				t.Errorf("response %q, want status %d", answer, test.status)
			}
		})
	}
}

// TestHeaderIsBounded checks only that the backend is not called: closing the
// connection while the client sends may lose the response.
func TestHeaderIsBounded(t *testing.T) {
	reached := make(chan struct{}, 1)
	backend := &fakeBackend{application: func(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
		reached <- struct{}{}
		return echoApplication(ctx, request)
	}}
	_, address := newServer(t, backend, httpapi.Limits{HeaderBytes: 1024})
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "GET /app/p/x HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("x", 64<<10)+"\r\n\r\n")
	answer, _ := io.ReadAll(connection)
	if len(reached) > 0 || len(answer) > 0 && !strings.HasPrefix(string(answer), "HTTP/1.1 431 ") {
		t.Errorf("reached the backend %d times, response %q", len(reached), answer)
	}
}

func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	backend := &fakeBackend{application: func(ctx context.Context, request port.ApplicationRequest) (port.ApplicationResponse, error) {
		entered <- struct{}{}
		<-release
		return echoApplication(ctx, request)
	}}
	server, address := newServer(t, backend, httpapi.Limits{})
	first := make(chan reply, 1)
	go func() { first <- send(t, address, "POST", "/app/p/x", "whole") }()
	<-entered
	server.Drain()
	refused := send(t, address, "POST", "/app/p/y", "")
	expectRefusal(t, refused, 503, port.CodeDraining, port.NotRun)
	if got := send(t, address, "GET", "/readyz", ""); got.status != 503 {
		t.Errorf("readyz while draining: %d", got.status)
	}
	if got := send(t, address, "GET", "/healthz", ""); got.status != 200 {
		t.Errorf("healthz while draining: %d", got.status)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	close(release)
	if got := <-first; got.body != "POST /x whole" {
		t.Errorf("in flight: %d %q", got.status, got.body)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

// TestShutdownHonorsAnnouncedKeepAlive sends on an idle connection during
// the announced keep-alive of a stopping server.
func TestShutdownHonorsAnnouncedKeepAlive(t *testing.T) {
	server, address := newServer(t, &fakeBackend{application: echoApplication}, httpapi.Limits{KeepAlive: time.Hour})
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	answers := bufio.NewReader(connection)
	call := func() (*http.Response, error) {
		_, _ = io.WriteString(connection, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
		answer, err := http.ReadResponse(answers, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		return answer, err
	}
	if answer, err := call(); err != nil || answer.Header.Get("Keep-Alive") != "timeout=3600" {
		t.Fatalf("%v, %v", answer, err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	// Allows time for a server to close idle connections by mistake.
	time.Sleep(50 * time.Millisecond)
	if answer, err := call(); err != nil || !answer.Close {
		t.Errorf("%v, %v", answer, err)
	}
	if err := <-stopped; err != nil {
		t.Errorf("shutdown: %v", err)
	}
}

func TestTrainerEndpoints(t *testing.T) {
	backend := &fakeBackend{
		register: func(register port.RegisterConsumer) (port.Consumer, error) {
			return port.Consumer{Name: register.Consumer, Epoch: 2, Next: max(1, register.RewindTo)}, nil
		},
		batch: func(pool port.PoolName, number port.BatchNumber, consumer port.Epoch, waitMillis int64) (api.Batch, error) {
			return api.Batch{Pool: string(pool), Number: uint64(number), Attempt: uint32(consumer), TrainerVersion: uint64(waitMillis), Samples: []api.Sample{}}, nil
		},
		publish: func(changeID string, publish port.PublishWeights) (port.Result, error) {
			if changeID != "c1" && changeID != "" {
				return port.Result{}, port.NewError(port.NotRun, port.CodeConflict, "other change")
			}
			return port.Result{Revision: port.Revision(publish.Version + 10)}, nil
		},
		decisions: []port.Decision{{Kind: port.DecisionEjected, Subject: "replica/r1", Verdict: port.NotRun}},
	}
	backend.view.Configuration.Pools = []port.Pool{{Name: "lm"}}
	measured := metrics.NewNode()
	_, address := newServerWith(t, httpapi.Config{Backend: backend, OperatorToken: operatorToken, Recorder: measured, Metrics: measured.Handler()})
	operator := "Authorization: Bearer " + operatorToken
	cases := []struct {
		method, path, body, header, want string
	}{
		{"POST", "/v1/pools/lm/consumers", `{"consumer":"t"}`, "", `{"name":"t","epoch":2,"next_batch":1}`},
		{"POST", "/v1/pools/lm/consumers", `{"consumer":"t","rewind_to":5}`, operator, `{"name":"t","epoch":2,"next_batch":5}`},
		{"GET", "/v1/pools/lm/batches/7?consumer_epoch=3&wait_ms=250", "", "", `{"pool":"lm","number":7,"attempt":3,"trainer_version":250,"samples":[]}`},
		{"POST", "/v1/pools/lm/weights", `{"version":4,"bytes":9,"consumer_epoch":2,"change_id":"c1"}`, "", `{"version":4,"revision":14}`},
		{"POST", "/v1/pools/lm/weights", `{"version":5,"consumer_epoch":2}`, "", `{"version":5,"revision":15}`},
		{"GET", "/v1/explain/replica/r1", "", operator, `{"subject":"replica/r1","text":["about replica/r1"],"decisions":[{"kind":"ejected","subject":"replica/r1","time_ms":0,"node":"","verdict":"not-run"}]}`},
		{"GET", "/readyz", "", "", `{"status":"ready"}`},
		{"GET", "/healthz", "", "", `{"status":"alive"}`},
	}
	for _, test := range cases {
		if got := send(t, address, test.method, test.path, test.body, test.header); got.status != 200 || got.body != test.want {
			t.Errorf("%s %s: %d %s, want %s", test.method, test.path, got.status, got.body, test.want)
		}
	}
	status := send(t, address, "GET", "/v1/status", "", operator)
	if !strings.Contains(status.body, `"node":"n1","ready":true,"draining":false`) {
		t.Errorf("status %s", status.body)
	}
	if got := send(t, address, "GET", "/metrics", ""); !strings.Contains(got.body, `loomgrade_trainer_wait_seconds_count{pool="lm"} 1`) {
		t.Error("the trainer's wait was not recorded")
	}
	send(t, address, "GET", "/v1/pools/unknown/batches/7?consumer_epoch=3", "")
	if got := send(t, address, "GET", "/metrics", ""); strings.Contains(got.body, `pool="unknown"`) {
		t.Error("a pool name from a request became a label")
	}
}

// TestRequestForOtherClusterIsRejected guards against answers of another cluster, whose node
// has an address that callers still use.
func TestRequestForOtherClusterIsRejected(t *testing.T) {
	_, address := newServerWith(t, httpapi.Config{Backend: &fakeBackend{application: echoApplication}, Cluster: "ours"})
	for _, path := range []string{"/app/page-api/x", api.PathCompletions, "/nowhere"} {
		got := send(t, address, "POST", path, "", api.HeaderCluster+": theirs")
		expectRefusal(t, got, http.StatusMisdirectedRequest, port.CodeMisdirected, port.NotRun)
	}
	for _, header := range []string{"", api.HeaderCluster + ": ours"} {
		got := send(t, address, "POST", "/app/page-api/x", "", header)
		if got.status != http.StatusAccepted || got.header.Get(api.HeaderCluster) != "ours" {
			t.Errorf("header %q: status %d, cluster %q", header, got.status, got.header.Get(api.HeaderCluster))
		}
	}
}
