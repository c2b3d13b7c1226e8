package operatorapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/controlstate"
	"github.com/loomgrade/loomgrade/internal/core/registry"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

const testToken = "operator-token"

// stateBackend is a Backend with one state machine and no replication.
type stateBackend struct {
	mutex   sync.Mutex
	state   *controlstate.State
	index   uint64
	reports Reports
	failure *port.Error
	members []MemberChange
}

func newStateBackend() *stateBackend { return &stateBackend{state: controlstate.New()} }

func (b *stateBackend) Propose(_ context.Context, command port.Command) (port.Result, error) {
	if b.failure != nil {
		return port.Result{}, b.failure
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.index++
	command.Time = time.Now().UnixMilli()
	return b.state.Apply(b.index, 1, command), nil
}

// revision returns the configuration's revision.
func (b *stateBackend) revision() port.Revision {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state.Revision()
}

func (b *stateBackend) View(context.Context, bool) (*port.View, error) {
	if b.failure != nil {
		return nil, b.failure
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.state.View(), nil
}

func (b *stateBackend) History(context.Context) ([]registry.HistoryEntry, error) {
	return b.state.History(), nil
}

func (b *stateBackend) Ledger(_ context.Context, pool port.PoolName) (port.LedgerState, error) {
	return b.state.Ledger(pool), nil
}

func (b *stateBackend) Reports(context.Context) (Reports, error) { return b.reports, nil }

func (b *stateBackend) Status(context.Context) (Status, error) {
	return Status{Member: 1, QuorumActive: b.failure == nil}, nil
}

func (b *stateBackend) ChangeMember(_ context.Context, change MemberChange) error {
	b.members = append(b.members, change)
	return nil
}

func applicationPool(name port.PoolName) *port.Pool {
	return &port.Pool{
		Name: name, Kind: port.PoolApplication,
		Admission: port.Admission{MinInflight: 1, MaxInflight: 8, QueueLength: 8, DefaultDeadline: port.Duration(time.Second)},
		Retry:     port.Retry{MaxAttempts: 2, BudgetRatio: 0.1},
	}
}

func testReplica(id port.ReplicaID, pool port.PoolName) *port.Replica {
	return &port.Replica{ID: id, Pool: pool, Zone: "zone-a", Address: "127.0.0.1:9001", State: port.ReplicaActive}
}

// newSeededBackend returns a backend at revision 1, with a pool and a replica.
func newSeededBackend(t *testing.T) *stateBackend {
	t.Helper()
	backend := newStateBackend()
	result, _ := backend.Propose(context.Background(), port.Command{
		ChangeID: changeID(1),
		ChangeConfiguration: &port.ChangeConfiguration{Edits: []port.Edit{
			{PutPool: applicationPool("page-api")}, {PutReplica: testReplica("page-1", "page-api")},
		}},
	})
	if result.Error != nil {
		t.Fatal(result.Error)
	}
	return backend
}

func changeID(number byte) string {
	return registry.FormatChangeID(time.Now(), []byte{0, 0, 0, 0, 0, 0, 0, number})
}

func serveRequest(server *Server, method, path, token, body string) *httptest.ResponseRecorder {
	call := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		call.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, call)
	return recorder
}

func marshalChange(t *testing.T, change ConfigChange) string {
	t.Helper()
	body, err := json.Marshal(change)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func revision(number port.Revision) *port.Revision { return &number }

// TestContract runs each call, valid or faulty, on a new server.
func TestContract(t *testing.T) {
	machineList := "http://127.0.0.1:8000"
	edits := []port.Edit{{MachineList: &machineList}}
	validChange := marshalChange(t, ConfigChange{ExpectedRevision: revision(1), ChangeID: changeID(2), Edits: edits})
	drain := `{"expected_revision":1,"change_id":"` + changeID(3) + `"}`
	unavailable := port.NewError(port.NotRun, port.CodeUnavailable, "no leader")
	unavailable.RetryAfter = time.Second
	cases := []struct {
		name, method, path, body string
		token                    string
		failure                  *port.Error
		status                   int
		// contains lists substrings of the response.
		contains []string
	}{
		{name: "no token", method: "GET", path: PathConfig, token: "none", status: 401, contains: []string{`"unauthorized"`, `"not-run"`}},
		{name: "wrong token", method: "GET", path: PathStatus, token: testToken + "x", status: 401},
		{name: "health needs no token", method: "GET", path: "/healthz", token: "none", status: 200},
		{name: "ready", method: "GET", path: "/readyz", token: "none", status: 200},
		{name: "not ready without a quorum", method: "GET", path: "/readyz", token: "none", failure: unavailable, status: 503},
		{name: "configuration", method: "GET", path: PathConfig, status: 200, contains: []string{`"revision":1`, `"page-api"`}},
		{name: "no leader", method: "GET", path: PathConfig, failure: unavailable, status: 503, contains: []string{`"retry_after_ms":1000`}},
		{name: "change", method: "PUT", path: PathConfig, body: validChange, status: 200, contains: []string{`"revision":2`}},
		{name: "conflict includes the current configuration", method: "PUT", path: PathConfig, status: 409,
			body:     marshalChange(t, ConfigChange{ExpectedRevision: revision(0), ChangeID: changeID(2), Edits: edits}),
			contains: []string{`"conflict"`, `"current":{"revision":1`, `"page-api"`}},
		{name: "change without expected revision", method: "PUT", path: PathConfig, status: 400,
			body: marshalChange(t, ConfigChange{ChangeID: changeID(2), Edits: edits}), contains: []string{`"expected_revision"`}},
		{name: "change without change id", method: "PUT", path: PathConfig, status: 400,
			body: marshalChange(t, ConfigChange{ExpectedRevision: revision(1), Edits: edits}), contains: []string{`"change_id"`}},
		{name: "change without edits", method: "PUT", path: PathConfig, status: 400,
			body: marshalChange(t, ConfigChange{ExpectedRevision: revision(1), ChangeID: changeID(2)}), contains: []string{`"edits"`}},
		{name: "change of a field to an invalid value", method: "PUT", path: PathConfig, status: 400,
			body:     marshalChange(t, ConfigChange{ExpectedRevision: revision(1), ChangeID: changeID(2), Edits: []port.Edit{{PutPool: &port.Pool{Name: "x", Kind: "odd"}}}}),
			contains: []string{`"field":"pools[x].kind"`, `"value":"odd"`, `"allowed":"generation or application"`}},
		{name: "unknown field", method: "PUT", path: PathConfig, body: `{"expectedRevision":1}`, status: 400, contains: []string{"expectedRevision"}},
		{name: "wrong type", method: "PUT", path: PathConfig, body: `{"expected_revision":"one"}`, status: 400, contains: []string{`"field":"expected_revision"`}},
		{name: "cut off body", method: "PUT", path: PathConfig, body: validChange[:len(validChange)/2], status: 400},
		{name: "two bodies", method: "PUT", path: PathConfig, body: validChange + validChange, status: 400},
		{name: "oversize body", method: "PUT", path: PathConfig, body: `{"note":"` + strings.Repeat("x", MaxBodyBytes) + `"}`, status: 413},
		{name: "history", method: "GET", path: PathConfigHistory, status: 200, contains: []string{`"revision":1`, `"edits":2`}},
		{name: "pools", method: "GET", path: PathPools, status: 200, contains: []string{`"replicas":1`}},
		{name: "pool", method: "GET", path: "/v1/pools/page-api", status: 200, contains: []string{`"page-1"`}},
		{name: "no such pool", method: "GET", path: "/v1/pools/none", status: 404},
		{name: "drain", method: "POST", path: "/v1/replicas/page-1/drain", body: drain, status: 200, contains: []string{`"revision":2`}},
		{name: "no such replica", method: "POST", path: "/v1/replicas/none/drain", body: drain, status: 404},
		{name: "weights of a pool without a trainer", method: "POST", path: PathWeights, status: 400,
			body: `{"pool":"page-api","version":1,"bytes":1,"change_id":"` + changeID(4) + `"}`, contains: []string{`"field":"pool"`}},
		{name: "member without an address", method: "POST", path: PathMembers, body: `{"id":4,"address":"host"}`, status: 400, contains: []string{`"address"`}},
		{name: "non-numeric member id", method: "DELETE", path: "/v1/members/four", status: 400},
		{name: "unknown path", method: "GET", path: "/v1/none", status: 404},
		{name: "wrong method", method: "PATCH", path: PathConfig, status: 405},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			backend := newSeededBackend(t)
			backend.failure = test.failure
			token := test.token
			if token == "" {
				token = testToken
			}
			server := NewServer(ServerConfig{Backend: backend, Token: testToken})
			answer := serveRequest(server, test.method, test.path, token, test.body)
			if answer.Code != test.status {
				t.Fatalf("status %d, want %d: %s", answer.Code, test.status, answer.Body)
			}
			for _, want := range test.contains {
				if !strings.Contains(answer.Body.String(), want) {
					t.Errorf("%s is missing in %s", want, answer.Body)
				}
			}
		})
	}
}

func TestEmptyTokenRejectsCalls(t *testing.T) {
	server := NewServer(ServerConfig{Backend: newSeededBackend(t)})
	call := httptest.NewRequest("GET", PathConfig, nil)
	call.Header.Set("Authorization", "Bearer ")
	recorder := httptest.NewRecorder()
	server.Handler().ServeHTTP(recorder, call)
	if recorder.Code != http.StatusUnauthorized {
		t.Fatalf("status %d", recorder.Code)
	}
}

func TestFailedCheckRejectsChange(t *testing.T) {
	backend := newSeededBackend(t)
	check := func(port.Configuration) error { return port.InvalidField("policy", "", "a program that compiles") }
	server := NewServer(ServerConfig{Backend: backend, Token: testToken, CheckConfiguration: check})
	address := "http://127.0.0.1:8000"
	change := ConfigChange{ExpectedRevision: revision(1), ChangeID: changeID(2), Edits: []port.Edit{{MachineList: &address}}}
	answer := serveRequest(server, "PUT", PathConfig, testToken, marshalChange(t, change))
	if answer.Code != http.StatusBadRequest || backend.revision() != 1 {
		t.Fatalf("status %d, revision %d", answer.Code, backend.revision())
	}
}

func TestConfigStatusStates(t *testing.T) {
	view := &port.View{Revision: 5, Nodes: []port.NodeAddress{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}}}
	report := func(id port.NodeID, revision port.Revision, age int64) NodeReport {
		return NodeReport{Report: port.NodeReport{Node: port.NodeAddress{ID: id}, Revision: revision}, AgeMillis: age, RevisionSince: 77}
	}
	status := configStatus(view, Reports{
		Nodes:       []NodeReport{report("a", 5, 100), report("b", 4, 100), report("c", 5, silentAfterMillis+1)},
		Unreachable: []uint64{3},
	})
	want := []string{StateInForce, StateBehind, StateSilent, StateSilent}
	for index, line := range status.Nodes {
		if line.State != want[index] {
			t.Errorf("node %s is %s, want %s", line.Node, line.State, want[index])
		}
	}
	if status.InForce != 1 || status.Behind != 1 || status.Silent != 2 || status.Nodes[0].Since != 77 || len(status.UnreachableMembers) != 1 {
		t.Errorf("%+v", status)
	}
}

func TestLoadToken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	for content, want := range map[string]string{" secret\n": "secret", "\n": "", strings.Repeat("x", maxTokenBytes+1): ""} {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if token, err := LoadToken(path); token != want || (err == nil) != (want != "") {
			t.Errorf("%d bytes: token %q, %v", len(content), token, err)
		}
	}
}

// TestClientRetriesWithSameChangeID checks that a retry takes effect once: the first
// member accepts the change but its response is cut off.
func TestClientRetriesWithSameChangeID(t *testing.T) {
	backend := newSeededBackend(t)
	server := NewServer(ServerConfig{Backend: backend, Token: testToken})
	cutOff := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, call *http.Request) {
		server.Handler().ServeHTTP(httptest.NewRecorder(), call)
		panic(http.ErrAbortHandler)
	}))
	defer cutOff.Close()
	healthy := httptest.NewServer(server.Handler())
	defer healthy.Close()
	client, err := NewClient([]string{testkit.RefusingAddress(t), cutOff.Listener.Addr().String(), healthy.Listener.Addr().String()}, testToken)
	if err != nil {
		t.Fatal(err)
	}
	address := "http://127.0.0.1:8000"
	change := ConfigChange{ExpectedRevision: revision(1), ChangeID: changeID(2), Edits: []port.Edit{{MachineList: &address}}}
	accepted, err := client.ChangeConfig(context.Background(), change)
	if err != nil || accepted.Revision != 2 || backend.revision() != 2 {
		t.Fatalf("%+v, %v, revision %d", accepted, err, backend.revision())
	}
}

// TestClientVerdicts covers the client's errors if no member sends a valid response.
func TestClientVerdicts(t *testing.T) {
	serve := func(handler http.HandlerFunc) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	cases := []struct {
		name    string
		server  string
		verdict port.Verdict
		code    port.Code
	}{
		{"connection refused", testkit.RefusingAddress(t), port.NotRun, port.CodeUnavailable},
		{"cut off", serve(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), port.MayHaveRun, port.CodeUnavailable},
		{"not an error body", serve(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(502) }), port.MayHaveRun, port.CodeInternal},
		{"wrong content", serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("[]")) }), port.MayHaveRun, port.CodeInternal},
		{"oversize", serve(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(bytes.Repeat([]byte(" "), maxAnswerBytes+1))
		}), port.MayHaveRun, port.CodeTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client, err := NewClient([]string{test.server}, testToken)
			if err != nil {
				t.Fatal(err)
			}
			// Retriable failures are retried until ctx ends.
			allowed := testTimeout
			if test.code == port.CodeUnavailable {
				allowed = time.Second
			}
			ctx, cancel := context.WithTimeout(context.Background(), allowed)
			defer cancel()
			_, err = client.Config(ctx)
			var refusal *port.Error
			if !errors.As(err, &refusal) || refusal.Verdict != test.verdict || refusal.Code != test.code {
				t.Fatalf("got %v, want %s with verdict %s", err, test.code, test.verdict)
			}
		})
	}
}

// TestDeadlineBeforeConnectionIsNotRun guards against a call that is said to have run,
// perhaps, though its deadline ended its only dial before there was a connection.
func TestDeadlineBeforeConnectionIsNotRun(t *testing.T) {
	client, err := NewClient([]string{"127.0.0.1:1"}, testToken)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	client.http.Transport = &http.Transport{DialContext: func(dial context.Context, _, _ string) (net.Conn, error) {
		cancel()
		<-dial.Done()
		return nil, dial.Err()
	}}
	_, err = client.Config(ctx)
	var refusal *port.Error
	if !errors.As(err, &refusal) || refusal.Verdict != port.NotRun || refusal.Code != port.CodeUnavailable {
		t.Fatalf("got %v, want %s with verdict %s", err, port.CodeUnavailable, port.NotRun)
	}
}
