package gate_test

import (
	"context"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node/gate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
)

func newGate(replicas ...gate.Replica) *gate.Gate {
	g := gate.New(scheduling.Application(), 1)
	g.Configure(time.Now(), gate.Settings{MinInflight: 1, MaxInflight: 1, QueueLength: 4}, replicas)
	return g
}

func acquire(t *testing.T, g *gate.Gate, id port.RequestID) *gate.Grant {
	t.Helper()
	grant, refusal := g.Acquire(context.Background(), gate.Request{ID: id}, nil)
	if refusal != nil {
		t.Fatalf("request %s: %v", id, refusal)
	}
	return grant
}

func TestWaitingRequestIsServedByPriority(t *testing.T) {
	g := newGate(gate.Replica{ID: "a"})
	first := acquire(t, g, "first")
	order := make(chan string, 2)
	for _, entry := range []struct {
		id       port.RequestID
		priority port.Priority
	}{{"low", 0}, {"high", 5}} {
		queued := make(chan struct{})
		go func() {
			request := gate.Request{ID: entry.id, Scheduling: scheduling.Request{Priority: entry.priority}}
			grant, refusal := g.Acquire(context.Background(), request, func(int) { close(queued) })
			if refusal != nil {
				order <- refusal.Error()
				return
			}
			order <- string(entry.id)
			grant.Release(gate.Outcome{})
		}()
		<-queued
	}
	first.Release(gate.Outcome{})
	if got := <-order; got != "high" {
		t.Errorf("first request served is %s", got)
	}
	if got := <-order; got != "low" {
		t.Errorf("second request served is %s", got)
	}
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		replica gate.Replica
		request gate.Request
		code    port.Code
	}{
		{"leaving", gate.Replica{ID: "a", Leaving: true}, gate.Request{}, port.CodeNoBackEnd},
		{"draining", gate.Replica{ID: "a", Draining: true}, gate.Request{}, port.CodeNoBackEnd},
		{"ejected", gate.Replica{ID: "a", Ejected: true}, gate.Request{}, port.CodeNoBackEnd},
		{"version unknown", gate.Replica{ID: "a", VersionUnknown: true}, gate.Request{}, port.CodeNoBackEnd},
		{"older version", gate.Replica{ID: "a", Report: port.LoadReport{Version: 3}},
			gate.Request{Scheduling: scheduling.Request{MinVersion: 4}}, port.CodeNoBackEnd},
		{"excluded", gate.Replica{ID: "a"},
			gate.Request{Scheduling: scheduling.Request{Exclude: []port.ReplicaID{"a"}}}, port.CodeNoBackEnd},
		{"deadline passed", gate.Replica{ID: "a"}, gate.Request{Deadline: time.Unix(1, 0)}, port.CodeDeadline},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			g := newGate(testCase.replica)
			if testCase.code == port.CodeDeadline {
				acquire(t, g, "running")
			}
			_, refusal := g.Acquire(context.Background(), testCase.request, nil)
			if refusal == nil || refusal.Code != testCase.code || refusal.Verdict != port.NotRun {
				t.Errorf("refusal %v", refusal)
			}
		})
	}
}

func TestQueuedRequestEndsWithoutRunning(t *testing.T) {
	leaving := []gate.Replica{{ID: "a", Leaving: true}}
	cases := []struct {
		name string
		act  func(g *gate.Gate, cancel context.CancelFunc)
		code port.Code
	}{
		{"cancelled", func(_ *gate.Gate, cancel context.CancelFunc) { cancel() }, port.CodeCancelled},
		{"drained", func(g *gate.Gate, _ context.CancelFunc) { g.Drain() }, port.CodeDraining},
		{"back end leaves", func(g *gate.Gate, _ context.CancelFunc) {
			g.Configure(time.Now(), gate.Settings{MaxInflight: 1, QueueLength: 4}, leaving)
		}, port.CodeNoBackEnd},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			g := newGate(gate.Replica{ID: "a"})
			running := acquire(t, g, "running")
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			queued := make(chan struct{})
			ended := make(chan *port.Error, 1)
			go func() {
				_, refusal := g.Acquire(ctx, gate.Request{ID: "waiting"}, func(int) { close(queued) })
				ended <- refusal
			}()
			<-queued
			testCase.act(g, cancel)
			if refusal := <-ended; refusal == nil || refusal.Code != testCase.code || refusal.Verdict != port.NotRun {
				t.Errorf("refusal %v", refusal)
			}
			running.Release(gate.Outcome{})
			if loads, waiting := g.Loads(); loads["a"].Inflight != 0 || waiting != 0 {
				t.Errorf("loads %v, waiting %d", loads, waiting)
			}
		})
	}
}

func TestPreferredAndAvoidedReplica(t *testing.T) {
	g := newGate(gate.Replica{ID: "a"}, gate.Replica{ID: "b"})
	grant, _ := g.Acquire(context.Background(), gate.Request{ID: "1", Preferred: "b"}, nil)
	if grant.Replica != "b" {
		t.Errorf("preferred b, got %s", grant.Replica)
	}
	grant.Release(gate.Outcome{})
	grant.Release(gate.Outcome{})
	for range 10 {
		grant, _ = g.Acquire(context.Background(), gate.Request{ID: "2", Avoid: "b"}, nil)
		if grant.Replica != "a" {
			t.Fatalf("the replica to avoid was chosen")
		}
		grant.Release(gate.Outcome{})
	}
	if loads, _ := g.Loads(); loads["b"].Inflight != 0 {
		t.Errorf("released more than once: %v", loads)
	}
}
