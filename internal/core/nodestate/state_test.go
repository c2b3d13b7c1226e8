package nodestate_test

import (
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/core/placement"
	"github.com/loomgrade/loomgrade/internal/port"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// recordingGate records the replicas of the last Configure call.
type recordingGate struct{ replicas []gate.Replica }

func (g *recordingGate) Configure(_ time.Time, _ gate.Settings, replicas []gate.Replica) {
	g.replicas = replicas
}
func (g *recordingGate) Tick(time.Time)                             {}
func (g *recordingGate) Loads() (map[port.ReplicaID]gate.Load, int) { return nil, 0 }
func (g *recordingGate) ResetCache(port.ReplicaID)                  {}

type noCounts struct{}

func (noCounts) Counts() placement.Counts { return placement.Counts{} }

// newState returns the state of node n1 with a recording gate.
func newState(recorder *recordingGate) *nodestate.State {
	return nodestate.New(nodestate.Config{
		Self: "n1", Zone: "z1", Region: "r", PeerAddress: "10.0.0.1:7000",
		Summary: time.Second, Aggregate: time.Second, Report: time.Second, Load: 200 * time.Millisecond,
		NewGate:        func(*port.Pool) nodestate.Gate { return recorder },
		ReplicaCounter: func(port.ReplicaID) nodestate.Counter { return noCounts{} },
		ZoneCounter:    func(nodestate.ZonePool) nodestate.Counter { return noCounts{} },
		MessageBytes:   func(membership.HomeSummary) int { return 100 },
	}, start)
}

// view returns a view with one node, one engine and, if list is set, a machine list.
func view(list string) *port.View {
	return &port.View{
		Position: 1, Revision: 1,
		Nodes: []port.NodeAddress{{ID: "n1", Zone: "z1", PeerAddress: "10.0.0.1:7000"}},
		Configuration: port.Configuration{
			MachineList: list,
			Pools:       []port.Pool{{Name: "lm", Kind: port.PoolGeneration}},
			Replicas:    []port.Replica{{ID: "e1", Pool: "lm", Zone: "z1", Address: "10.1.0.1:8000"}},
		},
	}
}

func update(state *nodestate.State, now time.Time, next *port.View) {
	_, _, err := state.ViewUpdate(now, port.ViewUpdate{Position: next.Position, Revision: next.Revision, Full: next, Confirmed: true})
	if err != nil {
		panic(err)
	}
	state.RebuildIfDue(now)
}

func TestNoRoutesBeforeMachineListReceived(t *testing.T) {
	cases := []struct {
		name     string
		list     string
		received bool
		waited   float64
		routes   bool
	}{
		{"no list configured", "", false, 0, true},
		{"just started", "http://list", false, 1, false},
		{"list received", "http://list", true, 1, true},
		{"list unavailable", "http://list", false, 3, true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			state := newState(&recordingGate{})
			update(state, at(0), view(testCase.list))
			if testCase.received {
				state.HandleMachines(at(0.5), nodestate.MachinesMessage{Node: "n2"})
			}
			state.Tick(at(testCase.waited), true)
			snapshot := state.Flush().Snapshot
			if routes := len(snapshot.Pools) > 0; routes != testCase.routes {
				t.Errorf("has routes: %v", routes)
			}
			if len(snapshot.Replicas) != 1 || snapshot.View.Position != 1 {
				t.Errorf("snapshot %+v", snapshot)
			}
		})
	}
}

func TestLeavingMachineUpdatesGateImmediately(t *testing.T) {
	recorder := &recordingGate{}
	state := newState(recorder)
	update(state, at(0), view("http://list"))
	state.HandleMachines(at(0.5), nodestate.MachinesMessage{Node: "n1"})
	state.RebuildIfDue(at(0.5))
	leaving := []port.Machine{{Address: "10.1.0.1", State: port.MachineLeaving}}
	state.SetRebuildCost(time.Second)
	state.HandleMachines(at(0.51), nodestate.MachinesMessage{Node: "n2", Leaving: leaving})
	state.RebuildIfDue(at(0.51))
	if len(recorder.replicas) != 1 || !recorder.replicas[0].Leaving {
		t.Errorf("gate configured with %+v", recorder.replicas)
	}
}

func TestShouldPollMachines(t *testing.T) {
	zone := []port.NodeID{"a", "b", "c", "d", "e", "f", "g", "h"}
	pollers := 0
	for _, node := range zone {
		if nodestate.ShouldPollMachines(at(10), time.Second, zone, node, at(9), at(9.9)) {
			pollers++
		}
	}
	if pollers != 2 {
		t.Errorf("%d of 8 nodes poll", pollers)
	}
	cases := []struct {
		name               string
		polledAt, received time.Time
		want               bool
	}{
		{"polled recently", at(9.5), at(0), false},
		{"recent list", at(0), at(9), false},
		{"list too old", at(0), at(8.7), true},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			polls := 0
			for _, node := range zone {
				if nodestate.ShouldPollMachines(at(10), time.Second, zone, node, testCase.polledAt, testCase.received) {
					polls++
				}
			}
			if all := polls > 2; all != testCase.want {
				t.Errorf("%d of 8 nodes poll", polls)
			}
		})
	}
}

func TestHomeFollowsItsReplicas(t *testing.T) {
	state := newState(&recordingGate{})
	update(state, at(0), view(""))
	started := state.Flush().Started
	if len(started) != 1 || started[0].Replica.ID != "e1" {
		t.Fatalf("polls %+v", started)
	}
	state.HandleLoadReport(at(1), at(1), "e1", port.LoadReport{Version: 7, Incarnation: 1}, nil)
	answer := state.PoolState(at(1), nodestate.PoolStateCall{Pool: "lm", Fence: 4, Excluded: []port.ReplicaID{"e1"}})
	if len(answer.Replicas) != 1 || answer.Replicas[0].Routable || answer.Replicas[0].Report.Version != 7 {
		t.Errorf("answer %+v", answer)
	}
	// A call with the fence of an earlier lease holder is ignored.
	answer = state.PoolState(at(2), nodestate.PoolStateCall{Pool: "lm", Fence: 3})
	if answer.Replicas[0].Routable {
		t.Error("a lower fence was accepted")
	}
	empty := view("")
	empty.Position, empty.Revision, empty.Configuration.Replicas = 2, 2, nil
	update(state, at(3), empty)
	if stopped := state.Flush().Stopped; len(stopped) != 1 || stopped[0] != "e1" {
		t.Errorf("stopped %v", stopped)
	}
}

func TestPollsOfAnEngineFollowItsState(t *testing.T) {
	state := newState(&recordingGate{})
	next := view("")
	next.Configuration.Pools[0].Ejection = port.Ejection{ConsecutiveFailures: 3, MaxShare: 0.5, BaseDuration: port.Duration(time.Minute)}
	// The only replica of a pool would not be ejected.
	for _, id := range []port.ReplicaID{"e2", "e3", "e4"} {
		next.Configuration.Replicas = append(next.Configuration.Replicas, port.Replica{ID: id, Pool: "lm", Zone: "z1", Address: string(id)})
	}
	update(state, at(0), next)
	const minimum, paced = 200 * time.Millisecond, 4 * 240 * time.Millisecond
	steps := []struct {
		name string
		act  func()
		want time.Duration
	}{
		{"unknown", func() {}, minimum},
		{"serving", func() { state.HandleLoadReport(at(1), at(1), "e1", port.LoadReport{Version: 7}, nil) }, paced},
		{"a poll failed", func() {
			state.HandleLoadReport(at(2), at(2), "e1", port.LoadReport{}, port.NewError(port.NotRun, port.CodeUnavailable, "down"))
		}, minimum},
		{"answers again", func() { state.HandleLoadReport(at(3), at(3), "e1", port.LoadReport{Version: 7}, nil) }, paced},
		{"ejected", func() {
			for range 50 {
				state.HandleOutcomes(at(3), []nodestate.CallOutcome{{Replica: "e1", Failed: true}})
			}
		}, minimum},
	}
	for _, step := range steps {
		step.act()
		if got := state.PollInterval(at(3), "e1"); got != step.want {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
	}
}
