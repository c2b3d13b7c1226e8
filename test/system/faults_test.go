package system

import (
	"bytes"
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/operatorapi"
	"github.com/loomgrade/loomgrade/internal/lab/audit"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/port/api"
)

// progressSteps is the number of batches that the trainer must receive during a fault.
const progressSteps = 2

// departureWatch is how long the test watches a leaving engine for new work, twice the limit
// of the audit.
const departureWatch = 6 * time.Second

// testFaults applies the faults one after another under the callers' load, and audits the
// whole run after each.
func (s *site) testFaults(t *testing.T) {
	cases := []struct {
		name   string
		target func(*site, *testing.T) string
		act    func(*site, *testing.T, *process)
	}{
		{"kill the leader of control", (*site).leader, (*site).killAndRestart},
		{"kill a follower of control", (*site).follower, (*site).killAndRestart},
		{"kill the coordinator", (*site).coordinator, (*site).killAndRestart},
		{"kill a home node", (*site).homeNode, (*site).killAndRestart},
		{"kill an engine", named(engine(1)), (*site).killAndRestart},
		{"kill an application server", named(application(1)), (*site).killAndRestart},
		{"kill the trainer", named(trainer), (*site).killAndRestartImmediately},
		{"kill the scorer", named(scorer), (*site).killAndRestartImmediately},
		{"kill the weight store", named(weightStore), (*site).killAndRestartImmediately},
		{"suspend the leader of control", (*site).leader, (*site).suspendAndResume},
		{"suspend the coordinator", (*site).coordinator, (*site).suspendNode},
		{"stop the coordinator gracefully", (*site).coordinator, (*site).stopAndRestart},
		{"stop a home node gracefully", (*site).homeNode, (*site).stopAndRestart},
		{"stop a member of control gracefully", (*site).leader, (*site).stopAndRestart},
		{"kill every process of loomgrade concurrently", (*site).coordinator, (*site).killAndRestartAll},
		{"an engine leaves", named(engine(2)), (*site).markLeaving},
	}
	for _, c := range cases {
		passed := t.Run(c.name, func(t *testing.T) {
			target := c.target(s, t)
			t.Logf("%s: %s", c.name, target)
			c.act(s, t, s.processes[target])
			s.waitForProgress(t, 1)
			s.check(t)
		})
		if !passed {
			return
		}
	}
}

func named(name string) func(*site, *testing.T) string {
	return func(*site, *testing.T) string { return name }
}

// leader returns the member that leads control.
func (s *site) leader(t *testing.T) string {
	t.Helper()
	var status operatorapi.Status
	waitUntil(t, "control has a leader", func() bool {
		s.runOperatorCommand(t, &status, "status")
		return status.Leader != 0
	})
	return member(int(status.Leader))
}

func (s *site) follower(t *testing.T) string {
	t.Helper()
	for number := range zones {
		if name := member(number + 1); name != s.leader(t) {
			return name
		}
	}
	return ""
}

// coordinator returns the node that committed the last delivered batch.
func (s *site) coordinator(t *testing.T) string {
	t.Helper()
	s.waitForProgress(t, 1)
	id := batchID(s.lastDelivery(t))
	var found string
	for _, decided := range s.explain(t, id).Decisions {
		if decided.Kind == port.DecisionCommitted {
			found = string(decided.Node)
		}
	}
	if s.processes[found] == nil {
		t.Fatalf("%s was committed by %q", id, found)
	}
	return found
}

// homeNode returns a home node of replicas that is not the coordinator.
func (s *site) homeNode(t *testing.T) string {
	t.Helper()
	coordinator := s.coordinator(t)
	for _, zone := range zones {
		if name := node(zone); name != coordinator {
			return name
		}
	}
	return ""
}

// applyFault applies a fault and records it for the audit.
func (s *site) applyFault(kind string, target *process, fault func()) {
	from := now()
	fault()
	s.faults = append(s.faults, audit.Fault{Target: target.name, Kind: kind, From: from, To: now()})
}

// killAndRestart kills a process that the site can run without, waits until the site makes
// progress and accepts a change without it, and restarts it.
func (s *site) killAndRestart(t *testing.T, target *process) {
	s.applyFault("kill", target, func() {
		target.kill(t)
		s.changeConfiguration(t)
		s.waitForProgress(t, progressSteps)
		target.start(t)
		s.waitUntilApplied(t)
	})
}

// killAndRestartImmediately kills and restarts a process without which no batch can complete.
func (s *site) killAndRestartImmediately(t *testing.T, target *process) {
	s.applyFault("kill", target, func() {
		target.kill(t)
		target.start(t)
		s.waitForProgress(t, progressSteps)
	})
}

// killAndRestartAll kills all members and nodes concurrently and restarts them, like a power
// loss.
func (s *site) killAndRestartAll(t *testing.T, coordinator *process) {
	s.changeConfiguration(t)
	s.applyFault("kill", coordinator, func() {
		var killed []*process
		for _, process := range s.processes {
			if process.program == "loomgrade" {
				killed = append(killed, process)
				process.signal(t, syscall.SIGKILL)
			}
		}
		for _, process := range killed {
			<-process.ended
			process.start(t)
		}
		s.waitUntilApplied(t)
	})
}

// suspendAndResume suspends a process, waits until the site makes progress without it,
// and resumes it.
func (s *site) suspendAndResume(t *testing.T, target *process) {
	s.applyFault("silence", target, func() {
		target.signal(t, syscall.SIGSTOP)
		s.waitForProgress(t, progressSteps)
		s.changeConfiguration(t)
		target.signal(t, syscall.SIGCONT)
		s.waitUntilApplied(t)
	})
}

// suspendNode suspends a node until control no longer counts it.
func (s *site) suspendNode(t *testing.T, target *process) {
	s.applyFault("silence", target, func() {
		target.signal(t, syscall.SIGSTOP)
		waitUntil(t, "control drops the node", func() bool {
			var status operatorapi.ConfigStatus
			s.runOperatorCommand(t, &status, "config", "status")
			return status.InForce < len(zones)
		})
		s.changeConfiguration(t)
		s.waitForProgress(t, progressSteps)
		target.signal(t, syscall.SIGCONT)
		s.waitUntilApplied(t)
	})
}

// stopAndRestart stops a process gracefully under load, and restarts it.
func (s *site) stopAndRestart(t *testing.T, target *process) {
	from := now()
	target.stop(t)
	s.stops = append(s.stops, audit.GracefulStop{Process: s.addresses[target.name], From: from, To: now()})
	s.changeConfiguration(t)
	s.waitForProgress(t, progressSteps)
	target.start(t)
	s.waitUntilApplied(t)
}

// markLeaving sets the state of an engine in the machine list to leaving.
func (s *site) markLeaving(t *testing.T, target *process) {
	body, err := json.Marshal(port.Machine{Address: s.addresses[target.name], State: port.MachineLeaving})
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(s.url(machineList)+api.PathMachines, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Fatalf("status %d", response.StatusCode)
	}
	waitUntil(t, "the engine receives no work for a while", func() bool {
		last := now() - departureWatch
		for _, departure := range s.journal(t, machineList).Departures {
			if departure.SignalledAt < last {
				return true
			}
		}
		return false
	})
}
