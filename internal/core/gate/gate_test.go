package gate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/loomgrade/loomgrade/internal/core/gate"
	"github.com/loomgrade/loomgrade/internal/core/scheduling"
	"github.com/loomgrade/loomgrade/internal/port"
	"github.com/loomgrade/loomgrade/internal/testkit"
)

var start = time.Unix(1_000_000, 0)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newGate(limit, queue int, replicas ...gate.Replica) *gate.Gate {
	g := gate.New(scheduling.Generation(), newRandom())
	g.Configure(start, gate.Settings{MinInflight: limit, MaxInflight: limit, QueueLength: queue}, replicas)
	return g
}

func ticket(id string) *gate.Ticket {
	return &gate.Ticket{Request: gate.Request{ID: port.RequestID(id)}}
}

// TestCancelAffectsOnlyItsOwnTicket offers two attempts of one request to the same gate:
// cancelling the first must not remove the second from the queue.
func TestCancelAffectsOnlyItsOwnTicket(t *testing.T) {
	g := newGate(1, 4, gate.Replica{ID: "a"})
	first, second := ticket("same"), ticket("same")
	g.Offer(start, first)
	g.Offer(start, second)
	if first.State != gate.Granted || second.State != gate.Waiting {
		t.Fatalf("states %v, %v", first.State, second.State)
	}
	resolved := g.Cancel(start, first)
	if len(resolved) != 1 || resolved[0] != second || second.State != gate.Granted {
		t.Errorf("resolved %d tickets, the second is %v", len(resolved), second.State)
	}
	if loads, waiting := g.Loads(); loads["a"].Inflight != 1 || waiting != 0 {
		t.Errorf("loads %v, %d wait", loads, waiting)
	}
}

// TestQueuedRequestsGoToPreferredReplica checks that a replica that becomes free first serves
// a queued request that prefers it, unless another has a higher priority or was skipped too
// often.
func TestQueuedRequestsGoToPreferredReplica(t *testing.T) {
	g := newGate(1, 4096, gate.Replica{ID: "a"}, gate.Replica{ID: "b"})
	offer := func(id string, preferred port.ReplicaID, priority port.Priority) *gate.Ticket {
		offered := ticket(id)
		offered.Request.Preferred = preferred
		offered.Request.Scheduling.Priority = priority
		g.Offer(start, offered)
		return offered
	}
	runningOnA, runningOnB := offer("on a", "a", 0), offer("on b", "b", 0)
	high, prefersA := offer("high", "a", 1), offer("prefers a", "a", 0)
	const count = 100
	var prefersB []*gate.Ticket
	for index := range count {
		prefersB = append(prefersB, offer(fmt.Sprint("prefers b ", index), "b", 0))
	}
	g.Release(start, runningOnB, gate.Outcome{})
	if high.State != gate.Granted || high.Replica != "b" {
		t.Fatalf("the higher priority is in state %v", high.State)
	}
	g.Release(start, high, gate.Outcome{})
	if prefersB[0].State != gate.Granted || prefersA.State != gate.Waiting {
		t.Fatalf("state of the first that prefers b: %v, of the one that prefers a: %v", prefersB[0].State, prefersA.State)
	}
	for _, served := range prefersB {
		g.Release(start, served, gate.Outcome{})
	}
	if prefersA.State != gate.Granted || prefersA.Replica != "b" {
		t.Errorf("skipped more often than the limit: state %v", prefersA.State)
	}
	if runningOnA.State != gate.Granted {
		t.Errorf("the request on a is in state %v", runningOnA.State)
	}
}

// TestTicketsAreResolvedOnceWithinLimits checks that a gate never grants a slot above
// a limit or on an unroutable replica, resolves every ticket once, and queues none while a
// replica has capacity for it.
func TestTicketsAreResolvedOnceWithinLimits(t *testing.T) {
	testkit.Check(t, 71, func(t *rapid.T) {
		model := &gateModel{gate: gate.New(scheduling.Generation(), newRandom()), limit: rapid.IntRange(1, 3).Draw(t, "limit")}
		model.configure(t)
		for range 80 {
			model.now = model.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			model.step(t)
			model.check(t)
		}
	})
}

type gateModel struct {
	gate       *gate.Gate
	now        time.Time
	limit      int
	replicas   []gate.Replica
	tickets    []*gate.Ticket
	resolved   map[*gate.Ticket]bool
	unroutable map[port.ReplicaID]bool
}

func (m *gateModel) configure(t *rapid.T) {
	m.replicas, m.unroutable = nil, make(map[port.ReplicaID]bool)
	for index := range 3 {
		replica := gate.Replica{ID: port.ReplicaID(fmt.Sprintf("r%d", index)), Report: port.LoadReport{Version: 3}}
		switch rapid.IntRange(0, 7).Draw(t, "standing") {
		case 0:
			replica.Leaving = true
		case 1:
			replica.Draining = true
		case 2:
			replica.Ejected = true
		case 3:
			replica.VersionUnknown = true
		}
		m.unroutable[replica.ID] = replica.Leaving || replica.Draining || replica.Ejected || replica.VersionUnknown
		m.replicas = append(m.replicas, replica)
	}
	settings := gate.Settings{MinInflight: m.limit, MaxInflight: m.limit, QueueLength: 6}
	m.checkResolved(t, m.gate.Configure(m.now, settings, m.replicas))
}

func (m *gateModel) step(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		m.offer(t)
	case 2, 3:
		if picked := m.pick(t, gate.Granted); picked != nil {
			m.checkResolved(t, m.gate.Release(m.now, picked, gate.Outcome{Latency: time.Millisecond, Service: time.Second}))
		}
	case 4:
		if picked := m.pick(t, gate.Waiting); picked != nil {
			m.checkResolved(t, m.gate.Cancel(m.now, picked))
		}
	default:
		m.configure(t)
	}
	m.checkResolved(t, m.gate.Tick(m.now))
}

func (m *gateModel) offer(t *rapid.T) {
	offered := ticket(fmt.Sprintf("q%d", len(m.tickets)))
	offered.Request.Scheduling.Priority = port.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
	offered.Request.Tenant = port.TenantName(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant"))
	offered.Request.Scheduling.MinVersion = port.WeightVersion(rapid.IntRange(2, 4).Draw(t, "version"))
	if rapid.Bool().Draw(t, "limited") {
		offered.Request.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond)
	}
	m.tickets = append(m.tickets, offered)
	resolved, _ := m.gate.Offer(m.now, offered)
	if offered.State == gate.Granted && m.unroutable[offered.Replica] {
		t.Fatalf("granted a slot on unroutable replica %s", offered.Replica)
	}
	m.checkResolved(t, resolved)
}

// checkResolved checks the tickets resolved by a call.
func (m *gateModel) checkResolved(t *rapid.T, resolved []*gate.Ticket) {
	if m.resolved == nil {
		m.resolved = make(map[*gate.Ticket]bool)
	}
	for _, ticket := range resolved {
		if m.resolved[ticket] {
			t.Fatalf("%s was resolved twice", ticket.Request.ID)
		}
		m.resolved[ticket] = true
		if ticket.State == gate.Granted && m.unroutable[ticket.Replica] {
			t.Fatalf("granted a slot on unroutable replica %s", ticket.Replica)
		}
		if ticket.State == gate.Refused && ticket.Refusal.Verdict != port.NotRun {
			t.Fatalf("refused with verdict %v", ticket.Refusal.Verdict)
		}
	}
}

func (m *gateModel) pick(t *rapid.T, state gate.State) *gate.Ticket {
	var found []*gate.Ticket
	for _, ticket := range m.tickets {
		if ticket.State == state {
			found = append(found, ticket)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return rapid.SampledFrom(found).Draw(t, "ticket")
}

func (m *gateModel) check(t *rapid.T) {
	counted := make(map[port.ReplicaID]int)
	waiting := 0
	for _, ticket := range m.tickets {
		switch ticket.State {
		case gate.Granted:
			counted[ticket.Replica]++
		case gate.Waiting:
			waiting++
			if deadline := ticket.Request.Deadline; !deadline.IsZero() && !m.now.Before(deadline) {
				t.Fatalf("%s is queued past its deadline", ticket.Request.ID)
			}
		}
	}
	loads, queued := m.gate.Loads()
	if queued != waiting {
		t.Fatalf("%d tickets are waiting, the queue reports %d", waiting, queued)
	}
	for _, replica := range m.replicas {
		load := loads[replica.ID]
		if load.Inflight != counted[replica.ID] || load.Inflight > m.limit {
			t.Fatalf("%s runs %d requests, the gate reports %d, limit %d", replica.ID, counted[replica.ID], load.Inflight, m.limit)
		}
		if waiting > 0 && !m.unroutable[replica.ID] && load.Inflight < load.Limit {
			t.Fatalf("%d requests wait while %s has capacity", waiting, replica.ID)
		}
	}
}

// TestStagedAdapterServesNothing checks that a request for an adapter goes to a replica
// that serves it, not to one that has only staged it.
func TestStagedAdapterServesNothing(t *testing.T) {
	replica := func(id port.ReplicaID, version, staged port.WeightVersion) gate.Replica {
		adapters := []port.AdapterVersion{{Name: "notes", Version: version, Staged: staged}}
		return gate.Replica{ID: id, ReportedAt: start, Report: port.LoadReport{Version: 1, Adapters: adapters}}
	}
	g := newGate(4, 4, replica("staged", 0, 2), replica("serving", 2, 0))
	for index := range 4 {
		requested := ticket(fmt.Sprint(index))
		requested.Request.Scheduling.Adapter = "notes"
		g.Offer(start, requested)
		if requested.State != gate.Granted || requested.Replica != "serving" {
			t.Fatalf("request %d: state %v at %q", index, requested.State, requested.Replica)
		}
	}
	g.Configure(start, gate.Settings{MaxInflight: 4, QueueLength: 4}, []gate.Replica{replica("staged", 0, 2)})
	refused := ticket("refused")
	refused.Request.Scheduling.Adapter = "notes"
	if g.Offer(start, refused); refused.Refusal == nil || refused.Refusal.Code != port.CodeNoBackEnd {
		t.Errorf("state %v, refusal %v", refused.State, refused.Refusal)
	}
}

// TestCallsAvoidSlowBackEnd checks that calls go to the back end with the lowest expected
// latency, even if it has more requests in flight than a slow one.
func TestCallsAvoidSlowBackEnd(t *testing.T) {
	g := gate.New(scheduling.Application(), newRandom())
	g.Configure(start, gate.Settings{MinInflight: 8, MaxInflight: 8, QueueLength: 4}, []gate.Replica{{ID: "fast"}, {ID: "slow"}})
	times := map[port.ReplicaID]time.Duration{"fast": 5 * time.Millisecond, "slow": 100 * time.Millisecond}
	for range 20 {
		call := ticket("call")
		g.Offer(start, call)
		g.Release(start, call, gate.Outcome{Latency: times[call.Replica], Service: times[call.Replica]})
	}
	if counts := inFlightOfEight(g, start); counts["fast"] != 8 {
		t.Errorf("in flight: %v", counts)
	}
	later := start.Add(6 * time.Second)
	if counts := inFlightOfEight(g, later); counts["fast"] != 4 {
		t.Errorf("in flight after the latencies expired: %v", counts)
	}
}

// inFlightOfEight offers eight calls, counts them by replica and abandons them.
func inFlightOfEight(g *gate.Gate, now time.Time) map[port.ReplicaID]int {
	counts := make(map[port.ReplicaID]int)
	var calls []*gate.Ticket
	for number := range 8 {
		calls = append(calls, ticket(fmt.Sprint(number)))
		g.Offer(now, calls[number])
		counts[calls[number].Replica]++
	}
	for _, call := range calls {
		g.Release(now, call, gate.Outcome{Abandoned: true})
	}
	return counts
}
