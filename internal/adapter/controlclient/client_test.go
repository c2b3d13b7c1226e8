package controlclient

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/wire"
	"github.com/loomgrade/loomgrade/internal/port"
)

const testTimeout = 10 * time.Second

// fakeMember is a scripted control member that records its requests.
type fakeMember struct {
	address string
	mutex   sync.Mutex
	changes []string
	watches []uint64
	reports int
}

// behaviour scripts a fakeMember; nil fields answer with CodeUnavailable.
type behaviour struct {
	propose func(ctx context.Context, command port.Command) (port.Result, error)
	// updates are sent on each watch, which then sends no more.
	updates []port.ViewUpdate
	report  error
}

func startFakeMember(t *testing.T, script behaviour) *fakeMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	member := &fakeMember{address: listener.Addr().String()}
	server := wire.NewServer(wire.Options{ClusterID: "test"})
	server.Handle(MethodPropose, func(ctx context.Context, call *wire.Call) error { return member.propose(ctx, call, script) })
	server.Handle(MethodWatch, func(ctx context.Context, call *wire.Call) error { return member.watch(ctx, call, script) })
	server.Handle(MethodReport, func(context.Context, *wire.Call) error {
		member.mutex.Lock()
		defer member.mutex.Unlock()
		member.reports++
		return script.report
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	return member
}

func (m *fakeMember) propose(ctx context.Context, call *wire.Call, script behaviour) error {
	var command port.Command
	if err := call.Decode(&command); err != nil {
		return err
	}
	m.mutex.Lock()
	m.changes = append(m.changes, command.ChangeID)
	m.mutex.Unlock()
	if script.propose == nil {
		return port.NewError(port.NotRun, port.CodeUnavailable, "no leader")
	}
	result, err := script.propose(ctx, command)
	if err != nil {
		return err
	}
	return call.Send(result)
}

func (m *fakeMember) watch(ctx context.Context, call *wire.Call, script behaviour) error {
	var request WatchRequest
	if err := call.Decode(&request); err != nil {
		return err
	}
	m.mutex.Lock()
	m.watches = append(m.watches, request.After)
	m.mutex.Unlock()
	for _, update := range script.updates {
		if err := call.Send(update); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (m *fakeMember) requests() (changes []string, watches []uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Clone(m.changes), slices.Clone(m.watches)
}

func newTestClient(t *testing.T, members ...*fakeMember) *Client {
	t.Helper()
	var addresses []string
	for _, member := range members {
		addresses = append(addresses, member.address)
	}
	client, err := New(Config{
		Addresses: addresses, Wire: wire.Options{ClusterID: "test"}, Node: "tester",
		AttemptTimeout: 200 * time.Millisecond, WatchTimeout: 200 * time.Millisecond,
		RetryBase: time.Millisecond, RetryMax: 5 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func accept(context.Context, port.Command) (port.Result, error) { return port.Result{Index: 7}, nil }

func hang(ctx context.Context, _ port.Command) (port.Result, error) {
	<-ctx.Done()
	return port.Result{}, ctx.Err()
}

func refuse(verdict port.Verdict, code port.Code) func(context.Context, port.Command) (port.Result, error) {
	return func(context.Context, port.Command) (port.Result, error) {
		return port.Result{}, port.NewError(verdict, code, "refused")
	}
}

// TestProposeRetriesWithSameChangeID checks that after a fault of the first member the
// second one receives the same change id.
func TestProposeRetriesWithSameChangeID(t *testing.T) {
	cases := map[string]func(context.Context, port.Command) (port.Result, error){
		"no leader":                      nil,
		"no answer":                      hang,
		"leadership lost meanwhile":      refuse(port.MayHaveRun, port.CodeUnavailable),
		"member stopping":                refuse(port.NotRun, port.CodeDraining),
		"too many proposals in progress": refuse(port.NotRun, port.CodeQueueFull),
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			first, second := startFakeMember(t, behaviour{propose: fault}), startFakeMember(t, behaviour{propose: accept})
			result, err := newTestClient(t, first, second).Propose(context.Background(), port.Command{})
			if err != nil || result.Index != 7 {
				t.Fatalf("%+v, %v", result, err)
			}
			before, _ := first.requests()
			after, _ := second.requests()
			if len(before) == 0 || before[0] == "" || len(after) != 1 || after[0] != before[0] {
				t.Fatalf("change ids %v, then %v", before, after)
			}
		})
	}
}

// TestProposeVerdictCoversAllAttempts covers attempts with different verdicts.
func TestProposeVerdictCoversAllAttempts(t *testing.T) {
	cases := []struct {
		name          string
		first, second func(context.Context, port.Command) (port.Result, error)
		verdict       port.Verdict
	}{
		{"none ran", nil, refuse(port.NotRun, port.CodeInvalid), port.NotRun},
		{"one may have run", refuse(port.MayHaveRun, port.CodeUnavailable), nil, port.MayHaveRun},
		{"one did not answer", hang, nil, port.MayHaveRun},
		{"final after one that may have run", hang, refuse(port.NotRun, port.CodeInvalid), port.MayHaveRun},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := newTestClient(t, startFakeMember(t, behaviour{propose: test.first}), startFakeMember(t, behaviour{propose: test.second}))
			ctx, cancel := context.WithTimeout(context.Background(), 600*time.Millisecond)
			defer cancel()
			if _, err := client.Propose(ctx, port.Command{}); port.AsError(err).Verdict != test.verdict {
				t.Fatalf("got %v, want verdict %s", err, test.verdict)
			}
		})
	}
}

// TestCancelBetweenAttemptsIsNotRun cancels during the backoff, when no attempt is in
// flight.
func TestCancelBetweenAttemptsIsNotRun(t *testing.T) {
	member := startFakeMember(t, behaviour{})
	client, err := New(Config{
		Addresses: []string{member.address}, Wire: wire.Options{ClusterID: "test"}, Node: "tester",
		RetryBase: 1000 * time.Hour, RetryMax: 1000 * time.Hour,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		for attempts := 0; attempts == 0; time.Sleep(10 * time.Millisecond) {
			ids, _ := member.requests()
			attempts = len(ids)
		}
		time.Sleep(time.Second) // lets the response arrive
		cancel()
	}()
	if _, err := client.Propose(ctx, port.Command{}); port.AsError(err).Verdict != port.NotRun {
		t.Fatalf("got %v, want verdict %s", err, port.NotRun)
	}
}

// receiveUpdates watches until it has received count updates.
func receiveUpdates(t *testing.T, client *Client, after uint64, count int) []port.ViewUpdate {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var updates []port.ViewUpdate
	err := client.Watch(ctx, after, func(update port.ViewUpdate) {
		if updates = append(updates, update); len(updates) == count {
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) || len(updates) < count {
		t.Fatalf("%d updates: %v", len(updates), err)
	}
	return updates
}

func positions(updates []port.ViewUpdate) []uint64 {
	var list []uint64
	for _, update := range updates {
		list = append(list, update.Position)
	}
	return list
}

func update(after, position, term uint64) port.ViewUpdate {
	return port.ViewUpdate{After: after, Position: position, Term: term, Confirmed: true}
}

// TestWatchNeverGoesBack sends updates with an old position, an old term or a gap.
func TestWatchNeverGoesBack(t *testing.T) {
	full := update(0, 8, 3)
	full.Full = &port.View{Position: 8}
	member := startFakeMember(t, behaviour{updates: []port.ViewUpdate{
		update(5, 6, 3),
		update(2, 4, 3),  // old position
		update(6, 7, 2),  // old term
		full,             // full view
		update(8, 8, 3),  // no change
		update(8, 10, 3), // change
	}})
	client := newTestClient(t, member)
	if got := positions(receiveUpdates(t, client, 5, 4)); !slices.Equal(got, []uint64{6, 8, 8, 10}) {
		t.Fatalf("positions %v", got)
	}
	if client.Stats().Ignored != 2 {
		t.Fatalf("%d updates ignored", client.Stats().Ignored)
	}
}

// TestWatchRestartsAfterPositionMismatch sends a delta that starts at another position.
func TestWatchRestartsAfterPositionMismatch(t *testing.T) {
	first := startFakeMember(t, behaviour{updates: []port.ViewUpdate{update(5, 6, 1), update(9, 12, 1)}})
	second := startFakeMember(t, behaviour{updates: []port.ViewUpdate{update(6, 7, 1)}})
	if got := positions(receiveUpdates(t, newTestClient(t, first, second), 5, 2)); !slices.Equal(got, []uint64{6, 7}) {
		t.Fatalf("positions %v", got)
	}
	if _, watches := second.requests(); watches[0] != 6 {
		t.Fatalf("the second member received watches from %v", watches)
	}
}

// TestWatchFailsOver covers members from which a watch must fail over.
func TestWatchFailsOver(t *testing.T) {
	unconfirmed := update(0, 0, 0)
	unconfirmed.Confirmed = false
	cases := map[string]behaviour{
		"unresponsive":                  {},
		"no quorum":                     {updates: []port.ViewUpdate{unconfirmed, unconfirmed}},
		"unresponsive after one update": {updates: []port.ViewUpdate{update(0, 0, 0)}},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			first := startFakeMember(t, fault)
			second := startFakeMember(t, behaviour{updates: []port.ViewUpdate{update(0, 3, 1)}})
			updates := receiveUpdates(t, newTestClient(t, first, second), 0, len(fault.updates)+1)
			if updates[len(updates)-1].Position != 3 {
				t.Fatalf("positions %v", positions(updates))
			}
		})
	}
}

func TestReportFailsOver(t *testing.T) {
	rejecting := startFakeMember(t, behaviour{report: port.NewError(port.NotRun, port.CodeUnavailable, "starting")})
	accepting := startFakeMember(t, behaviour{})
	client := newTestClient(t, rejecting, accepting)
	for range 2 {
		if err := client.Report(context.Background(), port.NodeReport{}); err != nil {
			t.Fatal(err)
		}
	}
	if rejecting.reports != 1 || accepting.reports != 2 {
		t.Fatalf("%d reports rejected, %d accepted", rejecting.reports, accepting.reports)
	}
}

func TestNewNeedsAddresses(t *testing.T) {
	if _, err := New(Config{}); !errors.Is(err, ErrNoMembers) {
		t.Fatal(err)
	}
}
