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

// world answers the proposals of one worker.
type world struct {
	t       *testing.T
	worker  *poolworker.Worker
	actions []poolworker.Action
}

func newWorld(t *testing.T) *world {
	made := &world{t: t}
	worker, actions := poolworker.New(poolworker.Config{
		Pool: "lm", Node: "n1", Seed: 1, Lease: 6 * time.Second, CallTimeout: time.Second,
	}, at(0), view())
	made.worker, made.actions = worker, actions
	return made
}

// proposal takes the newest proposal out of the actions.
func (w *world) proposal() poolworker.Propose {
	w.t.Helper()
	for index := len(w.actions) - 1; index >= 0; index-- {
		if proposed, is := w.actions[index].(poolworker.Propose); is {
			w.actions = append(w.actions[:index], w.actions[index+1:]...)
			return proposed
		}
	}
	w.t.Fatal("no proposal")
	return poolworker.Propose{}
}

func (w *world) answer(now time.Time, proposed poolworker.Propose, result port.Result, failure *port.Error) {
	w.actions = append(w.actions, w.worker.Answered(now, proposed.Token, result, failure)...)
}

// lead lets the worker get its lease at a time, and begin.
func (w *world) lead(now time.Time) {
	lease := &port.Lease{Name: "coordinator/lm", Holder: "n1", Epoch: 3}
	w.answer(now, w.proposal(), port.Result{Lease: lease}, nil)
	w.answer(now, w.proposal(), port.Result{Ledger: &port.LedgerState{Pool: "lm"}}, nil)
}

func (w *world) tick(now time.Time) {
	w.actions = append(w.actions, w.worker.Tick(now, view())...)
}

func TestLeaseCountsFromBeforeItWasAskedFor(t *testing.T) {
	w := newWorld(t)
	w.lead(at(2))
	if !w.worker.Running() || w.worker.Epoch() != 3 {
		t.Fatalf("running %v under epoch %d", w.worker.Running(), w.worker.Epoch())
	}
	// Renewals get no answer. Nine tenths of six seconds after the question was
	// sent, not after it was answered, the worker stops.
	w.tick(at(5.3))
	if w.worker.Ended() {
		t.Fatal("ended before its lease")
	}
	w.tick(at(5.4))
	if !w.worker.Ended() {
		t.Error("coordinates beyond its lease")
	}
}

func TestWorkerStops(t *testing.T) {
	refused := port.NewError(port.NotRun, port.CodeFenced, "another holder")
	lost := port.NewError(port.MayHaveRun, port.CodeUnavailable, "no answer")
	cases := []struct {
		name  string
		act   func(w *world)
		ended bool
	}{
		{"the lease is held by another", func(w *world) { w.answer(at(1), w.proposal(), port.Result{Error: refused}, nil) }, true},
		{"no answer to the question for the lease", func(w *world) { w.answer(at(1), w.proposal(), port.Result{}, lost) }, true},
		{"a renewal is refused", func(w *world) {
			w.lead(at(0))
			w.tick(at(2.1))
			w.answer(at(2.2), w.proposal(), port.Result{Error: refused}, nil)
		}, true},
		{"a renewal has no answer", func(w *world) {
			w.lead(at(0))
			w.tick(at(2.1))
			w.answer(at(3), w.proposal(), port.Result{}, lost)
			w.tick(at(4))
		}, false},
		{"a renewal is granted", func(w *world) {
			w.lead(at(0))
			w.tick(at(2.1))
			w.answer(at(2.2), w.proposal(), port.Result{Lease: &port.Lease{Epoch: 3}}, nil)
			w.tick(at(7))
		}, false},
		{"drained with nothing in doubt", func(w *world) {
			w.lead(at(0))
			w.actions = append(w.actions, w.worker.Drain(at(1))...)
			if given := w.proposal().Command.ReleaseLease; given == nil || given.Epoch != 3 {
				w.t.Errorf("released %+v", given)
			}
		}, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			w := newWorld(t)
			testCase.act(w)
			if w.worker.Ended() != testCase.ended {
				t.Errorf("ended: %v", w.worker.Ended())
			}
		})
	}
}

func TestSeekersTakeTurns(t *testing.T) {
	none := func(port.PoolName) bool { return false }
	asked := make(map[port.NodeID]time.Duration)
	for _, id := range []port.NodeID{"n1", "n2", "n3"} {
		seeker := poolworker.NewSeeker(id)
		for step := range 20 {
			after := time.Duration(step) * 100 * time.Millisecond
			if _, done := asked[id]; !done && len(seeker.Wanted(start.Add(after), view(), none)) > 0 {
				asked[id] = after
			}
		}
	}
	turns := map[time.Duration]bool{asked["n1"]: true, asked["n2"]: true, asked["n3"]: true}
	if !turns[0] || !turns[500*time.Millisecond] || !turns[time.Second] {
		t.Errorf("asked after %v", asked)
	}
}

func TestNobodyAsksForALeaseThatIsHeld(t *testing.T) {
	held := view()
	held.Leases = []port.Lease{{Name: "coordinator/lm", Holder: "n2", Epoch: 1, Expires: at(5).UnixMilli()}}
	none := func(port.PoolName) bool { return false }
	seeker := poolworker.NewSeeker("n1")
	for step := range 49 {
		if wanted := seeker.Wanted(at(float64(step)/10), held, none); len(wanted) > 0 {
			t.Fatalf("asks for %v after %d ms", wanted, 100*step)
		}
	}
}

// A question that comes while the lease is asked for, or to the holder of a pool
// of engines that feeds no trainer, gets an answer: nobody else gives one.
func TestQuestionWithoutCoordinatorIsRefused(t *testing.T) {
	question := coordinator.BatchRequested{Token: 7, Number: 1, ConsumerEpoch: 1, Deadline: at(9)}
	refused := func(actions []poolworker.Action) bool {
		for _, action := range actions {
			coordinate, is := action.(poolworker.Coordinate)
			if !is {
				continue
			}
			refusal, is := coordinate.Action.(coordinator.Refuse)
			if is && refusal.Token == 7 && refusal.Err.Verdict == port.NotRun && refusal.Err.RetryAfter > 0 {
				return true
			}
		}
		return false
	}
	w := newWorld(t)
	if !refused(w.worker.Coordinator(at(1), question)) {
		t.Error("a question before the lease was acquired is not answered")
	}
	w.lead(at(2))
	if refused(w.worker.Coordinator(at(2), question)) {
		t.Error("a question to the coordinator is refused")
	}
	w.actions = append(w.actions, w.worker.Stop(at(3))...)
	if !refused(w.worker.Coordinator(at(3), question)) {
		t.Error("a question after the worker stopped is not answered")
	}
}
