package poolworker_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/coordinator"
	"github.com/loomgrade/loomgrade/internal/core/policy"
	"github.com/loomgrade/loomgrade/internal/core/poolworker"
	"github.com/loomgrade/loomgrade/internal/port"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func view() *port.View {
	return &port.View{
		Position: 1,
		Nodes:    []port.NodeAddress{{ID: "n1", Zone: "z"}, {ID: "n2", Zone: "z"}, {ID: "n3", Zone: "z"}},
		Configuration: port.Configuration{Pools: []port.Pool{{
			Name: "lm", Kind: port.PoolGeneration,
			Sampling: &port.Sampling{Policy: policy.Default, GroupSize: 1, BatchSamples: 1, MaxTokens: 9},
		}}},
	}
}

// harness runs one worker and answers its proposals.
type harness struct {
	t       *testing.T
	worker  *poolworker.Worker
	actions []poolworker.Action
}

func newHarness(t *testing.T) *harness {
	created := &harness{t: t}
	worker, actions := poolworker.New(poolworker.Config{
		Pool: "lm", Node: "n1", Seed: 1, Lease: 6 * time.Second, CallTimeout: time.Second,
	}, at(0), view())
	created.worker, created.actions = worker, actions
	return created
}

// proposal removes the newest proposal from the actions and returns it.
func (w *harness) proposal() poolworker.Propose {
	w.t.Helper()
	for index := len(w.actions) - 1; index >= 0; index-- {
		if proposed, ok := w.actions[index].(poolworker.Propose); ok {
			w.actions = append(w.actions[:index], w.actions[index+1:]...)
			return proposed
		}
	}
	w.t.Fatal("no proposal")
	return poolworker.Propose{}
}

func (w *harness) answer(now time.Time, proposed poolworker.Propose, result port.Result, failure *port.Error) {
	w.actions = append(w.actions, w.worker.ProposalAnswered(now, proposed.Token, result, failure)...)
}

// acquire grants the lease at a time and answers the read of the delivery state.
func (w *harness) acquire(now time.Time) {
	lease := &port.Lease{Name: "coordinator/lm", Holder: "n1", Epoch: 3}
	w.answer(now, w.proposal(), port.Result{Lease: lease}, nil)
	w.answer(now, w.proposal(), port.Result{Ledger: &port.LedgerState{Pool: "lm"}}, nil)
}

func (w *harness) tick(now time.Time) {
	w.actions = append(w.actions, w.worker.Tick(now, view())...)
}

func TestLeaseStartsWhenRequestIsSent(t *testing.T) {
	w := newHarness(t)
	w.acquire(at(2))
	if !w.worker.Running() || w.worker.Epoch() != 3 {
		t.Fatalf("running %v under epoch %d", w.worker.Running(), w.worker.Epoch())
	}
	// Renewals get no answer. The lease ends nine tenths of 6 s after the request was
	// sent, not after it was granted.
	w.tick(at(5.3))
	if w.worker.Ended() {
		t.Fatal("ended before its lease expired")
	}
	w.tick(at(5.4))
	if !w.worker.Ended() {
		t.Error("still coordinates after its lease expired")
	}
}

func TestWorkerStops(t *testing.T) {
	refused := port.NewError(port.NotRun, port.CodeFenced, "another holder")
	lost := port.NewError(port.MayHaveRun, port.CodeUnavailable, "no answer")
	cases := []struct {
		name  string
		act   func(w *harness)
		ended bool
	}{
		{"the lease is held by another node", func(w *harness) { w.answer(at(1), w.proposal(), port.Result{Error: refused}, nil) }, true},
		{"no answer to the lease request", func(w *harness) { w.answer(at(1), w.proposal(), port.Result{}, lost) }, true},
		{"a renewal is rejected", func(w *harness) {
			w.acquire(at(0))
			w.tick(at(2.1))
			w.answer(at(2.2), w.proposal(), port.Result{Error: refused}, nil)
		}, true},
		{"a renewal gets no answer", func(w *harness) {
			w.acquire(at(0))
			w.tick(at(2.1))
			w.answer(at(3), w.proposal(), port.Result{}, lost)
			w.tick(at(4))
		}, false},
		{"a renewal is granted", func(w *harness) {
			w.acquire(at(0))
			w.tick(at(2.1))
			w.answer(at(2.2), w.proposal(), port.Result{Lease: &port.Lease{Epoch: 3}}, nil)
			w.tick(at(7))
		}, false},
		{"drained with no pending commit", func(w *harness) {
			w.acquire(at(0))
			w.actions = append(w.actions, w.worker.Drain(at(1))...)
			if release := w.proposal().Command.ReleaseLease; release == nil || release.Epoch != 3 {
				w.t.Errorf("released %+v", release)
			}
		}, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			w := newHarness(t)
			testCase.act(w)
			if w.worker.Ended() != testCase.ended {
				t.Errorf("ended: %v", w.worker.Ended())
			}
		})
	}
}

func TestNodesWaitByRank(t *testing.T) {
	none := func(port.PoolName) bool { return false }
	requestedAfter := make(map[port.NodeID]time.Duration)
	for _, id := range []port.NodeID{"n1", "n2", "n3"} {
		selector := poolworker.NewLeaseSelector(id)
		for step := range 20 {
			after := time.Duration(step) * 100 * time.Millisecond
			if _, done := requestedAfter[id]; !done && len(selector.Acquirable(start.Add(after), view(), none)) > 0 {
				requestedAfter[id] = after
			}
		}
	}
	delays := map[time.Duration]bool{requestedAfter["n1"]: true, requestedAfter["n2"]: true, requestedAfter["n3"]: true}
	if !delays[0] || !delays[500*time.Millisecond] || !delays[time.Second] {
		t.Errorf("requested after %v", requestedAfter)
	}
}

func TestHeldLeaseIsNotRequested(t *testing.T) {
	leased := view()
	leased.Leases = []port.Lease{{Name: "coordinator/lm", Holder: "n2", Epoch: 1, Expires: at(5).UnixMilli()}}
	none := func(port.PoolName) bool { return false }
	selector := poolworker.NewLeaseSelector("n1")
	for step := range 49 {
		if acquirable := selector.Acquirable(at(float64(step)/10), leased, none); len(acquirable) > 0 {
			t.Fatalf("requests %v after %d ms", acquirable, 100*step)
		}
	}
}

// A batch request to a worker without a coordinator must be rejected: no other component
// answers it.
func TestBatchRequestWithoutCoordinatorIsRejected(t *testing.T) {
	request := coordinator.BatchRequested{Token: 7, Number: 1, ConsumerEpoch: 1, Deadline: at(9)}
	refused := func(actions []poolworker.Action) bool {
		for _, action := range actions {
			coordinate, ok := action.(poolworker.CoordinatorAction)
			if !ok {
				continue
			}
			refusal, ok := coordinate.Action.(coordinator.Refuse)
			if ok && refusal.Token == 7 && refusal.Err.Verdict == port.NotRun && refusal.Err.RetryAfter > 0 {
				return true
			}
		}
		return false
	}
	w := newHarness(t)
	if !refused(w.worker.Coordinator(at(1), request)) {
		t.Error("a request before the lease was granted is not answered")
	}
	w.acquire(at(2))
	if refused(w.worker.Coordinator(at(2), request)) {
		t.Error("a request to the coordinator is rejected")
	}
	w.actions = append(w.actions, w.worker.Stop(at(3))...)
	if !refused(w.worker.Coordinator(at(3), request)) {
		t.Error("a request after the worker ended is not answered")
	}
}
