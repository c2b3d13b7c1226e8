package node_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/app/node"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/lab/standin"
	"github.com/loomgrade/loomgrade/internal/port"
)

// runs returns how often the back ends ran a call.
func runs(backEnds []*standin.Application, name string) int {
	count := 0
	for _, backEnd := range backEnds {
		for _, execution := range backEnd.Observations().Executions {
			if execution.Call == name {
				count++
			}
		}
	}
	return count
}

// applications starts one node and a pool of application back ends.
func applications(t *testing.T, count int) (*fleet, *node.Node, []*standin.Application) {
	t.Helper()
	f := newFleet(t)
	edits := []port.Edit{{PutPool: pool("pages", port.PoolApplication)}}
	var backEnds []*standin.Application
	for number := range count {
		backEnd := startApplication(t)
		backEnds = append(backEnds, backEnd)
		edits = append(edits, replica(port.ReplicaID(fmt.Sprintf("p%d", number)), "pages", "z1", backEnd.Addr()))
	}
	f.control.configure(t, edits...)
	started := f.start("n1", "z1")
	f.waitForNodes()
	return f, started, backEnds
}

func TestApplicationRetries(t *testing.T) {
	cases := []struct {
		name     string
		fault    standin.Fault
		safe     bool
		answered bool
		verdict  port.Verdict
		maxRuns  int
	}{
		{"refused as not run, unsafe", standin.Fault{Kind: standin.FaultRefuse, DurationMs: 200}, false, true, 0, 1},
		{"refused as not run, safe", standin.Fault{Kind: standin.FaultRefuse, DurationMs: 200}, true, true, 0, 1},
		{"cut off, unsafe", standin.Fault{Kind: standin.FaultCut, Count: 1}, false, false, port.MayHaveRun, 1},
		{"cut off, safe", standin.Fault{Kind: standin.FaultCut, Count: 1}, true, true, 0, 3},
		{"crashed, unsafe", standin.Fault{Kind: standin.FaultCrash, DurationMs: 200}, false, true, 0, 1},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			_, started, backEnds := applications(t, 2)
			for _, backEnd := range backEnds {
				if err := backEnd.Inject(testCase.fault); err != nil {
					t.Fatal(err)
				}
				if testCase.fault.Kind != standin.FaultCut {
					break
				}
			}
			// Enough calls to reach the faulty back end.
			for number := range 12 {
				name := fmt.Sprintf("call-%d", number)
				_, err := call(started, name, testCase.safe)
				if count := runs(backEnds, name); count > testCase.maxRuns {
					t.Fatalf("%s ran %d times", name, count)
				}
				if testCase.answered && err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				if !testCase.answered && err != nil {
					if verdict := port.AsError(err).Verdict; verdict != testCase.verdict {
						t.Fatalf("%s: %v", name, err)
					}
					return
				}
			}
			if !testCase.answered {
				t.Error("no call hit the fault")
			}
		})
	}
}

func TestRequestKeyRunsOnceAcrossNodes(t *testing.T) {
	f, _, backEnds := applications(t, 2)
	f.start("n2", "z1")
	f.start("n3", "z2")
	f.waitForNodes()
	var requests sync.WaitGroup
	for _, started := range f.nodes {
		for range 4 {
			requests.Go(func() {
				response, err := started.Application(context.Background(), port.ApplicationRequest{
					Pool: "pages", Method: "POST", Path: "/stitch?" + standin.QueryCall + "=keyed", Key: "key-1",
				})
				if err != nil || response.Status != 200 {
					t.Errorf("node %s: status %d, error %v", started.ID(), response.Status, err)
				}
			})
		}
	}
	requests.Wait()
	if count := runs(backEnds, "keyed"); count != 1 {
		t.Errorf("ran %d times", count)
	}
	_, err := f.nodes["n2"].Application(context.Background(), port.ApplicationRequest{
		Pool: "pages", Method: "POST", Path: "/other", Key: "key-1",
	})
	if failure := port.AsError(err); failure == nil || failure.Verdict != port.NotRun || failure.Code != port.CodeInvalid {
		t.Errorf("key reused for a different request: %v", err)
	}
}

func TestRequestKeySurvivesNodeLoss(t *testing.T) {
	for _, closed := range []port.NodeID{"n1", "n2", "n3"} {
		t.Run("without "+string(closed), func(t *testing.T) {
			f, _, backEnds := applications(t, 1)
			f.start("n2", "z1")
			f.start("n3", "z1")
			f.waitForNodes()
			request := port.ApplicationRequest{
				Pool: "pages", Method: "POST", Path: "/stitch?" + standin.QueryCall + "=keyed", Key: "key-1",
			}
			if _, err := f.nodes["n1"].Application(context.Background(), request); err != nil {
				t.Fatal(err)
			}
			f.nodes[closed].Close()
			delete(f.nodes, closed)
			for _, n := range f.nodes {
				_, err := n.Application(context.Background(), request)
				if failure := port.AsError(err); failure != nil && failure.Verdict != port.MayHaveRun {
					t.Errorf("node %s: %v", n.ID(), err)
				}
			}
			if count := runs(backEnds, "keyed"); count != 1 {
				t.Errorf("ran %d times", count)
			}
		})
	}
}

// generations starts engines and nodes in one zone.
func generations(t *testing.T, engines, nodes int) (*fleet, []*standin.Engine) {
	t.Helper()
	f := newFleet(t)
	edits := []port.Edit{{PutPool: pool("lm", port.PoolGeneration)}}
	var started []*standin.Engine
	for number := range engines {
		started = append(started, startEngine(t))
		edits = append(edits, replica(port.ReplicaID(fmt.Sprintf("e%d", number)), "lm", "z1", started[number].Addr()))
	}
	f.control.configure(t, edits...)
	for number := range nodes {
		f.start(port.NodeID(fmt.Sprintf("n%d", number)), "z1")
	}
	f.waitForNodes()
	for _, n := range f.nodes {
		eventually(t, "the first completion", func() bool {
			_, _, err := complete(n, "first of "+string(n.ID()), true)
			return err == nil
		})
	}
	return f, started
}

func TestEngineCutMidStream(t *testing.T) {
	for _, safe := range []bool{true, false} {
		t.Run(fmt.Sprintf("safe %v", safe), func(t *testing.T) {
			f, engines := generations(t, 2, 2)
			failures, last := 0, error(nil)
			for number := range 8 {
				if err := engines[number%2].Inject(standin.Fault{Kind: standin.FaultCut, Count: 1}); err != nil {
					t.Fatal(err)
				}
				prompt := fmt.Sprintf("a prompt that is cut, number %d", number)
				text, tokens, err := complete(f.nodes["n0"], prompt, safe)
				if err != nil {
					failures++
					last = err
					if verdict := port.AsError(err).Verdict; verdict != port.MayHaveRun && verdict != port.Ran {
						t.Fatalf("%s: %v", prompt, err)
					}
					continue
				}
				if len(text) != tokens*4 {
					t.Fatalf("%d bytes of text for %d tokens", len(text), tokens)
				}
			}
			if safe && failures > 0 {
				t.Errorf("%d safe completions failed, last error: %v", failures, last)
			}
			if !safe && failures == 0 {
				t.Error("no completion was cut off")
			}
		})
	}
}

func TestLeavingReplicaGetsNoNewWork(t *testing.T) {
	f, engines := generations(t, 3, 2)
	addresses := make([]string, 0, len(engines))
	for _, started := range engines {
		addresses = append(addresses, started.Addr())
	}
	list, err := standin.StartMachineList(context.Background(), standin.MachineListConfig{Live: addresses})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	base := list.URL()
	f.control.configure(t, port.Edit{MachineList: &base})
	list.Set(engines[0].Addr(), port.MachineLeaving)
	deadline := time.Now().Add(3 * time.Second)
	for time.Now().Before(deadline) {
		time.Sleep(50 * time.Millisecond)
	}
	before := len(engines[0].Observations().Generations)
	for number := range 30 {
		for _, n := range f.nodes {
			if _, _, err := complete(n, fmt.Sprintf("after leaving %d", number), true); err != nil {
				t.Fatal(err)
			}
		}
	}
	if after := len(engines[0].Observations().Generations); after != before {
		t.Errorf("the leaving engine received %d requests", after-before)
	}
}

func TestReplicasReassignedAfterHomeLoss(t *testing.T) {
	f, engines := generations(t, 4, 3)
	f.nodes["n1"].Close()
	delete(f.nodes, "n1")
	seen := make(map[string]bool)
	eventually(t, "every engine to be used again", func() bool {
		for number := range 8 {
			_, _, _ = complete(f.nodes["n0"], fmt.Sprintf("after the loss %d", number), true)
		}
		for _, started := range engines {
			for _, generation := range started.Observations().Generations {
				if strings.HasPrefix(generation.RequestID, "r-n0-") && generation.End == audit.EndFinished {
					seen[started.Addr()] = true
				}
			}
		}
		return len(seen) == len(engines)
	})
}

func TestUnconfirmedConfiguration(t *testing.T) {
	f, _, _ := applications(t, 1)
	strict := pool("strict", port.PoolApplication)
	strict.RefuseUnconfirmed = true
	f.control.configure(t, port.Edit{PutPool: strict}, replica("s1", "strict", "z1", startApplication(t).Addr()))
	f.waitForNodes()
	n := f.nodes["n1"]
	callPool := func(pool port.PoolName) error {
		_, err := n.Application(context.Background(), port.ApplicationRequest{Pool: pool, Method: "GET", Path: "/", Safe: true})
		return err
	}
	eventually(t, "confirmed service", func() bool { return callPool("strict") == nil && !n.Unconfirmed() })
	f.handles["n1"].disconnected.Store(true)
	eventually(t, "the configuration lease to run out", n.Unconfirmed)
	if err := callPool("pages"); err != nil {
		t.Errorf("call to a pool that allows unconfirmed service: %v", err)
	}
	if failure := port.AsError(callPool("strict")); failure == nil || failure.Code != port.CodeUnconfirmed || failure.Verdict != port.NotRun {
		t.Errorf("call to a pool that requires confirmation: %v", failure)
	}
	f.handles["n1"].disconnected.Store(false)
	eventually(t, "confirmed service again", func() bool { return callPool("strict") == nil })
}

func TestDrainFinishesRequestsInFlight(t *testing.T) {
	f, engines := generations(t, 2, 2)
	var requests sync.WaitGroup
	for _, n := range f.nodes {
		for number := range 10 {
			requests.Go(func() {
				text, tokens, err := complete(n, fmt.Sprintf("during the drain %d of %s", number, n.ID()), false)
				if err != nil && port.AsError(err).Verdict != port.NotRun {
					t.Errorf("node %s: %v", n.ID(), err)
				}
				if err == nil && len(text) != tokens*4 {
					t.Errorf("node %s: %d bytes for %d tokens", n.ID(), len(text), tokens)
				}
			})
		}
	}
	eventually(t, "work on the engines", func() bool {
		running := 0
		for _, started := range engines {
			for _, generation := range started.Observations().Generations {
				if generation.End == "" {
					running++
				}
			}
		}
		return running > 0
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := f.nodes["n1"].Drain(ctx); err != nil {
		t.Errorf("drain: %v", err)
	}
	requests.Wait()
	_, _, err := complete(f.nodes["n1"], "after the drain", true)
	if failure := port.AsError(err); failure == nil || failure.Verdict != port.NotRun || failure.Code != port.CodeDraining {
		t.Errorf("call to a drained node: %v", err)
	}
	for _, started := range engines {
		for _, generation := range started.Observations().Generations {
			if generation.End != audit.EndFinished {
				t.Errorf("generation %s ended as %q", generation.RequestID, generation.End)
			}
		}
	}
}

func TestExplainAcrossNodesAndRestart(t *testing.T) {
	f, n, _ := applications(t, 1)
	f.start("n2", "z1")
	f.waitForNodes()
	id := n.NewRequestID()
	if _, err := n.Application(context.Background(), port.ApplicationRequest{ID: id, Pool: "pages", Method: "GET", Path: "/", Safe: true}); err != nil {
		t.Fatal(err)
	}
	explained := func(by *node.Node) bool {
		lines, decisions, err := by.Explain(context.Background(), string(id))
		return err == nil && len(decisions) == 2 && len(lines) == 2 && strings.Contains(lines[0], "placed on p0")
	}
	eventually(t, "an explanation from another node", func() bool { return explained(f.nodes["n2"]) })
	n.Close()
	restarted := f.start("n1", "z1")
	if !explained(restarted) {
		t.Error("the decision was lost in the restart")
	}
	eventually(t, "an explanation from another node after the restart", func() bool { return explained(f.nodes["n2"]) })
}

func TestFailingReplicaIsEjectedAndReturns(t *testing.T) {
	f, n, backEnds := applications(t, 2)
	if err := backEnds[0].Inject(standin.Fault{Kind: standin.FaultCrash, DurationMs: 1500}); err != nil {
		t.Fatal(err)
	}
	number := 0
	recorded := func(kind port.DecisionKind) bool {
		for range 10 {
			number++
			if _, err := call(n, fmt.Sprintf("call-%d", number), true); err != nil {
				t.Fatalf("call %d: %v", number, err)
			}
		}
		_, decisions, _ := f.nodes["n1"].Explain(context.Background(), "p0")
		return slices.ContainsFunc(decisions, func(d port.Decision) bool { return d.Kind == kind })
	}
	eventually(t, "the ejection", func() bool { return recorded(port.DecisionEjected) })
	eventually(t, "the return", func() bool { return recorded(port.DecisionReturned) })
}
