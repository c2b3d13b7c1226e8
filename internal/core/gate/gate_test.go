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

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func newGate(limit, queue int, replicas ...gate.Replica) *gate.Gate {
	made := gate.New(scheduling.Generation(), seeded())
	made.Configure(start, gate.Settings{MinInflight: limit, MaxInflight: limit, QueueLength: queue}, replicas)
	return made
}

func ticket(id string) *gate.Ticket {
	return &gate.Ticket{Request: gate.Request{ID: port.RequestID(id)}}
}

// Two attempts of one request may meet at a home: the first, whose caller is
// gone, must not take the second one's place in the queue away.
func TestCancelConcernsItsOwnTicketOnly(t *testing.T) {
	under := newGate(1, 4, gate.Replica{ID: "a"})
	first, second := ticket("same"), ticket("same")
	under.Offer(start, first)
	under.Offer(start, second)
	if first.State != gate.Granted || second.State != gate.Waiting {
		t.Fatalf("states %v, %v", first.State, second.State)
	}
	settled := under.Cancel(start, first)
	if len(settled) != 1 || settled[0] != second || second.State != gate.Granted {
		t.Errorf("settled %d tickets, the second is %v", len(settled), second.State)
	}
	if loads, waiting := under.Loads(); loads["a"].Inflight != 1 || waiting != 0 {
		t.Errorf("loads %v, %d wait", loads, waiting)
	}
}

// When one replica becomes free, a waiting request that prefers it goes before one
// that prefers another, up to a bound, and never before a higher priority.
func TestWaitingRequestsGoToTheirPreferredReplica(t *testing.T) {
	under := newGate(1, 4096, gate.Replica{ID: "a"}, gate.Replica{ID: "b"})
	wish := func(id string, preferred port.ReplicaID, priority port.Priority) *gate.Ticket {
		made := ticket(id)
		made.Request.Preferred = preferred
		made.Request.Pick.Priority = priority
		under.Offer(start, made)
		return made
	}
	onA, onB := wish("on a", "a", 0), wish("on b", "b", 0)
	high, wantsA := wish("high", "a", 1), wish("wants a", "a", 0)
	const more = 100
	var wantB []*gate.Ticket
	for index := range more {
		wantB = append(wantB, wish(fmt.Sprint("wants b ", index), "b", 0))
	}
	under.Release(start, onB, gate.Outcome{})
	if high.State != gate.Granted || high.Replica != "b" {
		t.Fatalf("the higher priority is %v", high.State)
	}
	under.Release(start, high, gate.Outcome{})
	if wantB[0].State != gate.Granted || wantsA.State != gate.Waiting {
		t.Fatalf("first that prefers b is %v, the one that prefers a is %v", wantB[0].State, wantsA.State)
	}
	for _, served := range wantB {
		under.Release(start, served, gate.Outcome{})
	}
	if wantsA.State != gate.Granted || wantsA.Replica != "b" {
		t.Errorf("passed over for ever: %v", wantsA.State)
	}
	if onA.State != gate.Granted {
		t.Errorf("the one on a is %v", onA.State)
	}
}

// A gate never grants a place over a limit or on a replica that is out, settles
// every ticket once, and lets none wait while a replica could take it.
func TestEveryTicketIsSettledOnceWithinTheLimits(t *testing.T) {
	testkit.Check(t, 71, func(t *rapid.T) {
		world := &gateWorld{gate: gate.New(scheduling.Generation(), seeded()), limit: rapid.IntRange(1, 3).Draw(t, "limit")}
		world.configure(t)
		for range 80 {
			world.now = world.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
			world.step(t)
			world.check(t)
		}
	})
}

type gateWorld struct {
	gate     *gate.Gate
	now      time.Time
	limit    int
	replicas []gate.Replica
	tickets  []*gate.Ticket
	settled  map[*gate.Ticket]bool
	out      map[port.ReplicaID]bool
}

func (w *gateWorld) configure(t *rapid.T) {
	w.replicas, w.out = nil, make(map[port.ReplicaID]bool)
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
		w.out[replica.ID] = replica.Leaving || replica.Draining || replica.Ejected || replica.VersionUnknown
		w.replicas = append(w.replicas, replica)
	}
	settings := gate.Settings{MinInflight: w.limit, MaxInflight: w.limit, QueueLength: 6}
	w.take(t, w.gate.Configure(w.now, settings, w.replicas))
}

func (w *gateWorld) step(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		w.offer(t)
	case 2, 3:
		if held := w.pick(t, gate.Granted); held != nil {
			w.take(t, w.gate.Release(w.now, held, gate.Outcome{Latency: time.Millisecond, Service: time.Second}))
		}
	case 4:
		if held := w.pick(t, gate.Waiting); held != nil {
			w.take(t, w.gate.Cancel(w.now, held))
		}
	default:
		w.configure(t)
	}
	w.take(t, w.gate.Tick(w.now))
}

func (w *gateWorld) offer(t *rapid.T) {
	made := ticket(fmt.Sprintf("q%d", len(w.tickets)))
	made.Request.Pick.Priority = port.Priority(rapid.IntRange(0, 2).Draw(t, "priority"))
	made.Request.Tenant = port.TenantName(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "tenant"))
	made.Request.Pick.MinVersion = port.WeightVersion(rapid.IntRange(2, 4).Draw(t, "version"))
	if rapid.Bool().Draw(t, "limited") {
		made.Request.Deadline = w.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "deadline")) * time.Millisecond)
	}
	w.tickets = append(w.tickets, made)
	settled, _ := w.gate.Offer(w.now, made)
	if made.State == gate.Granted && w.out[made.Replica] {
		t.Fatalf("granted a place on %s, which is out", made.Replica)
	}
	w.take(t, settled)
}

// take checks what a call settled.
func (w *gateWorld) take(t *rapid.T, settled []*gate.Ticket) {
	if w.settled == nil {
		w.settled = make(map[*gate.Ticket]bool)
	}
	for _, ticket := range settled {
		if w.settled[ticket] {
			t.Fatalf("%s was settled twice", ticket.Request.ID)
		}
		w.settled[ticket] = true
		if ticket.State == gate.Granted && w.out[ticket.Replica] {
			t.Fatalf("granted a place on %s, which is out", ticket.Replica)
		}
		if ticket.State == gate.Refused && ticket.Refusal.Verdict != port.NotRun {
			t.Fatalf("a refusal of verdict %v", ticket.Refusal.Verdict)
		}
	}
}

func (w *gateWorld) pick(t *rapid.T, state gate.State) *gate.Ticket {
	var found []*gate.Ticket
	for _, ticket := range w.tickets {
		if ticket.State == state {
			found = append(found, ticket)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return rapid.SampledFrom(found).Draw(t, "ticket")
}

func (w *gateWorld) check(t *rapid.T) {
	counted := make(map[port.ReplicaID]int)
	waiting := 0
	for _, ticket := range w.tickets {
		switch ticket.State {
		case gate.Granted:
			counted[ticket.Replica]++
		case gate.Waiting:
			waiting++
			if deadline := ticket.Request.Deadline; !deadline.IsZero() && !w.now.Before(deadline) {
				t.Fatalf("%s waits past its deadline", ticket.Request.ID)
			}
		}
	}
	loads, queued := w.gate.Loads()
	if queued != waiting {
		t.Fatalf("%d tickets wait, the queue says %d", waiting, queued)
	}
	for _, replica := range w.replicas {
		load := loads[replica.ID]
		if load.Inflight != counted[replica.ID] || load.Inflight > w.limit {
			t.Fatalf("%s runs %d, the gate says %d, limit %d", replica.ID, counted[replica.ID], load.Inflight, w.limit)
		}
		if waiting > 0 && !w.out[replica.ID] && load.Inflight < load.Limit {
			t.Fatalf("%d wait while %s has room", waiting, replica.ID)
		}
	}
}

// A request for an adapter goes to a replica that serves it, not to one that has
// only staged it or doesn't know its version.
func TestStagedAdapterServesNothing(t *testing.T) {
	replica := func(id port.ReplicaID, version, staged port.WeightVersion) gate.Replica {
		adapters := []port.AdapterVersion{{Name: "notes", Version: version, Staged: staged}}
		return gate.Replica{ID: id, ReportedAt: start, Report: port.LoadReport{Version: 1, Adapters: adapters}}
	}
	under := newGate(4, 4, replica("staged", 0, 2), replica("serving", 2, 0))
	for index := range 4 {
		wanted := ticket(fmt.Sprint(index))
		wanted.Request.Pick.Adapter = "notes"
		under.Offer(start, wanted)
		if wanted.State != gate.Granted || wanted.Replica != "serving" {
			t.Fatalf("request %d: state %v at %q", index, wanted.State, wanted.Replica)
		}
	}
	under.Configure(start, gate.Settings{MaxInflight: 4, QueueLength: 4}, []gate.Replica{replica("staged", 0, 2)})
	refused := ticket("refused")
	refused.Request.Pick.Adapter = "notes"
	if under.Offer(start, refused); refused.Refusal == nil || refused.Refusal.Code != port.CodeNoBackEnd {
		t.Errorf("state %v, refusal %v", refused.State, refused.Refusal)
	}
}

// Calls go to the back end with the least expected time: one that is slow gets
// few, though it has fewer in flight.
func TestCallsKeepOffASlowBackEnd(t *testing.T) {
	under := gate.New(scheduling.Application(), seeded())
	under.Configure(start, gate.Settings{MinInflight: 8, MaxInflight: 8, QueueLength: 4}, []gate.Replica{{ID: "fast"}, {ID: "slow"}})
	times := map[port.ReplicaID]time.Duration{"fast": 5 * time.Millisecond, "slow": 100 * time.Millisecond}
	for range 20 {
		asked := ticket("known")
		under.Offer(start, asked)
		under.Release(start, asked, gate.Outcome{Latency: times[asked.Replica], Service: times[asked.Replica]})
	}
	if counts := inFlightOfEight(under, start); counts["fast"] != 8 {
		t.Errorf("in flight %v", counts)
	}
	later := start.Add(6 * time.Second)
	if counts := inFlightOfEight(under, later); counts["fast"] != 4 {
		t.Errorf("in flight %v after the latencies were forgotten", counts)
	}
}

// inFlightOfEight offers eight calls and counts where they are before they end.
func inFlightOfEight(under *gate.Gate, now time.Time) map[port.ReplicaID]int {
	counts := make(map[port.ReplicaID]int)
	var asked []*gate.Ticket
	for number := range 8 {
		asked = append(asked, ticket(fmt.Sprint(number)))
		under.Offer(now, asked[number])
		counts[asked[number].Replica]++
	}
	for _, ended := range asked {
		under.Release(now, ended, gate.Outcome{Abandoned: true})
	}
	return counts
}
