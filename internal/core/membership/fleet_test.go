package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

const testZone = port.ZoneName("north")

// maxFlight bounds the messages in flight, and with them the memory of a test or
// benchmark whose nodes send ever more.
const maxFlight = 1 << 21

var testStart = time.UnixMilli(1_700_000_000_000)

// fleet runs the detectors of one zone in virtual time over a faulty network.
type fleet struct {
	now       time.Time
	random    *rand.Rand
	nodes     []port.NodeID
	detectors map[port.NodeID]*Detector
	stopped   map[port.NodeID]bool
	cut       func(from, to port.NodeID) bool
	drop      func(Message) bool
	loss      float64
	sent      map[port.NodeID]int
	changes   map[port.NodeID][]Change
	flight    []Envelope
	// observe, if set, sees each message that is sent.
	observe func(Envelope)
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{
		now: testStart, random: rand.New(rand.NewPCG(seed, seed)),
		detectors: make(map[port.NodeID]*Detector), stopped: make(map[port.NodeID]bool),
		sent: make(map[port.NodeID]int), changes: make(map[port.NodeID][]Change),
	}
	for index := range size {
		f.nodes = append(f.nodes, port.NodeID(fmt.Sprintf("node-%03d", index)))
	}
	for _, node := range f.nodes {
		f.start(node, 1)
	}
	return f
}

func (f *fleet) start(node port.NodeID, incarnation uint64) {
	detector := NewDetector(Config{Self: node, Zone: testZone, Incarnation: incarnation}, f.now)
	f.detectors[node] = detector
	f.stopped[node] = false
	f.handle(node, detector.SetView(f.now, f.view()))
}

func (f *fleet) view() []port.NodeAddress {
	var view []port.NodeAddress
	for index, node := range f.nodes {
		address := fmt.Sprintf("127.0.%d.%d:7000", index/250, index%250+1)
		view = append(view, port.NodeAddress{ID: node, Zone: testZone, PeerAddress: address})
	}
	return view
}

func (f *fleet) handle(from port.NodeID, output Output) {
	// Homes that are kept over a change must show in every test.
	f.detectors[from].Assigner()
	if f.changes != nil {
		f.changes[from] = append(f.changes[from], output.Changes...)
	}
	if len(f.flight)+len(output.Messages) > maxFlight {
		panic(fmt.Sprintf("over %d messages in flight: the nodes answer each other without end", maxFlight))
	}
	for _, envelope := range output.Messages {
		f.sent[from]++
		if f.observe != nil {
			f.observe(envelope)
		}
		f.flight = append(f.flight, envelope)
	}
}

// run goes on in steps of 100 ms; each message takes one step.
func (f *fleet) run(duration time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		arriving := f.flight
		f.flight = nil
		for _, envelope := range arriving {
			f.deliver(envelope)
		}
		for _, node := range f.nodes {
			if !f.stopped[node] {
				f.handle(node, f.detectors[node].Tick(f.now))
			}
		}
	}
}

func (f *fleet) deliver(envelope Envelope) {
	lost := f.loss > 0 && f.random.Float64() < f.loss
	cut := f.cut != nil && f.cut(envelope.Message.From, envelope.To)
	dropped := f.drop != nil && f.drop(envelope.Message)
	if lost || cut || dropped || f.stopped[envelope.To] {
		return
	}
	f.handle(envelope.To, f.detectors[envelope.To].Receive(f.now, envelope.Message))
}

// wantLive checks that every running node holds exactly these for live.
func (f *fleet) wantLive(t *testing.T, want []port.NodeID) {
	t.Helper()
	for _, node := range f.nodes {
		if f.stopped[node] {
			continue
		}
		if live := f.detectors[node].Live(); !slices.Equal(live, want) {
			t.Errorf("%s holds %d for live, want %d:\n%v", node, len(live), len(want), live)
		}
	}
}

func without(nodes []port.NodeID, gone ...port.NodeID) []port.NodeID {
	return slices.DeleteFunc(slices.Clone(nodes), func(node port.NodeID) bool { return slices.Contains(gone, node) })
}

func TestQuietFleetStaysAlive(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 20, 60} {
		f := newFleet(size, 1)
		f.run(20 * time.Second)
		f.wantLive(t, f.nodes)
	}
}

func TestDeathsAreFoundAndReturnsToo(t *testing.T) {
	tests := map[string]struct {
		size, dead int
		// within bounds the time to find the deaths: ring neighbours that die
		// together are found two at a time, as the ring closes over them.
		within time.Duration
	}{
		"one of two":                    {2, 1, 6 * time.Second},
		"one of three":                  {3, 1, 4 * time.Second},
		"two of three":                  {3, 2, 6 * time.Second},
		"three neighbours of ten":       {10, 3, 10 * time.Second},
		"more than a ring's monitors":   {20, 6, 15 * time.Second},
		"half the ring, all neighbours": {60, 30, time.Minute},
		"one of two hundred":            {200, 1, 6 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(test.size, 2)
			f.run(5 * time.Second)
			ring := f.detectors[f.nodes[0]].ring
			gone := slices.Clone(ring[1 : 1+test.dead])
			for _, node := range gone {
				f.stopped[node] = true
			}
			f.run(test.within)
			f.wantLive(t, without(f.nodes, gone...))
			for _, node := range gone {
				f.start(node, 2)
			}
			f.run(40 * time.Second)
			f.wantLive(t, f.nodes)
		})
	}
}

func TestLossAloneKillsNobodyForGood(t *testing.T) {
	f := newFleet(20, 3)
	f.loss = 0.1
	f.run(2 * time.Minute)
	f.loss = 0
	f.run(20 * time.Second)
	f.wantLive(t, f.nodes)
}

func TestCutHeals(t *testing.T) {
	f := newFleet(12, 4)
	side := func(node port.NodeID) bool { return node < f.nodes[6] }
	f.run(5 * time.Second)
	f.cut = func(from, to port.NodeID) bool { return side(from) != side(to) }
	f.run(time.Minute)
	for _, node := range f.nodes {
		if got := len(f.detectors[node].Live()); got != 6 {
			t.Errorf("%s holds %d for live during the cut, want its own side of 6", node, got)
		}
	}
	f.cut = nil
	f.run(time.Minute)
	f.wantLive(t, f.nodes)
}

// One monitor that hears nothing must not take a node out alone: this fails
// when confirmation is left out.
func TestOneDeafMonitorDoesNotKill(t *testing.T) {
	f := newFleet(10, 5)
	f.run(2 * time.Second)
	deaf := f.nodes[3]
	f.cut = func(_, to port.NodeID) bool { return to == deaf }
	f.run(30 * time.Second)
	for _, node := range without(f.nodes, deaf) {
		if live := f.detectors[node].Live(); !slices.Equal(live, f.nodes) {
			t.Fatalf("%s follows a deaf monitor: live %v", node, live)
		}
	}
}

// A process that stood still must not blame the others for its own silence.
func TestOwnPauseBlamesNobody(t *testing.T) {
	f := newFleet(3, 6)
	f.run(5 * time.Second)
	paused := f.nodes[0]
	f.stopped[paused] = true
	f.run(time.Second)
	f.now = f.now.Add(20 * time.Second)
	f.stopped[paused] = false
	f.handle(paused, f.detectors[paused].Tick(f.now))
	for _, change := range f.changes[paused] {
		if change.Status != StatusAlive {
			t.Fatalf("paused node changed %s to %s", change.Node, change.Status)
		}
	}
}

func TestMachineListShortensConfirmation(t *testing.T) {
	tests := map[string]struct {
		machines []port.Machine
		wantDead bool
	}{
		"listed as live: needs a second monitor": {[]port.Machine{{Address: "127.0.0.2:7000", State: port.MachineLive}}, false},
		"no list at all":                         {nil, false},
		"machine gone from the list":             {[]port.Machine{{Address: "127.0.0.9:7000", State: port.MachineLive}}, true},
		"machine leaving":                        {[]port.Machine{{Address: "127.0.0.2:7000", State: port.MachineLeaving}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8, 7)
			watcher := f.nodes[0]
			detector := f.detectors[watcher]
			target := detector.predecessors[0]
			position := slices.Index(f.nodes, target)
			machines := slices.Clone(test.machines)
			for index := range machines {
				if machines[index].Address[:9] == "127.0.0.2" {
					machines[index].Address = fmt.Sprintf("127.0.0.%d:7000", position+1)
				}
			}
			f.cut = func(from, to port.NodeID) bool { return from == target && to == watcher }
			f.run(time.Second)
			detector.SetMachines("127.0.0.1:7000", machines)
			f.run(2500 * time.Millisecond)
			died := slices.Contains(f.changes[watcher], Change{Node: target, Status: StatusDead})
			if died != test.wantDead {
				t.Errorf("declared dead: %v, want %v; changes %v", died, test.wantDead, f.changes[watcher])
			}
		})
	}
}

func TestDrainingAndLeavingNodesAreNoHomes(t *testing.T) {
	f := newFleet(4, 8)
	detector := f.detectors[f.nodes[0]]
	view := f.view()
	view[1].Draining = true
	detector.SetView(f.now, view)
	detector.SetMachines(view[0].PeerAddress, []port.Machine{
		{Address: view[0].PeerAddress, State: port.MachineLive}, {Address: view[2].PeerAddress, State: port.MachineLeaving},
	})
	if want := []port.NodeID{f.nodes[0], f.nodes[3]}; !slices.Equal(detector.Live(), want) {
		t.Errorf("live %v, want %v", detector.Live(), want)
	}
	detector.SetView(f.now, view[1:])
	if slices.Contains(detector.Live(), f.nodes[0]) {
		t.Error("a node that the control view does not list counts itself as live")
	}
}

// The messages of a node must not grow with the zone.
func TestMessagesPerNodeAreBounded(t *testing.T) {
	const seconds = 20
	for _, size := range []int{20, 200} {
		f := newFleet(size, 9)
		f.run(10 * time.Second)
		clear(f.sent)
		f.run(seconds * time.Second)
		for node, sent := range f.sent {
			if limit := seconds * 2 * DefaultSuccessors; sent > limit {
				t.Fatalf("size %d: %s sent %d messages in %d s, want at most %d", size, node, sent, seconds, limit)
			}
		}
	}
}

// When every notice of a death is lost, digests on the heartbeats spread it.
func TestDigestsRepairLostNotices(t *testing.T) {
	f := newFleet(20, 10)
	f.run(5 * time.Second)
	f.drop = func(message Message) bool { return message.Kind == Dead }
	gone := f.nodes[7]
	f.stopped[gone] = true
	f.run(30 * time.Second)
	f.wantLive(t, without(f.nodes, gone))
}

// A heartbeat that is delivered again proves no life.
func TestReplayedHeartbeatIsIgnored(t *testing.T) {
	f := newFleet(5, 11)
	f.run(3 * time.Second)
	watcher := f.detectors[f.nodes[0]]
	target := watcher.predecessors[0]
	replayed := Message{Kind: Heartbeat, From: target, Incarnation: 1, Sequence: f.detectors[target].sequence}
	f.stopped[target] = true
	for range 40 {
		f.run(100 * time.Millisecond)
		for _, node := range without(f.nodes, target) {
			f.handle(node, f.detectors[node].Receive(f.now, replayed))
		}
	}
	f.wantLive(t, without(f.nodes, target))
}

func TestStrangersAndBystandersHaveNoSay(t *testing.T) {
	f := newFleet(12, 12)
	f.run(2 * time.Second)
	watcher := f.nodes[0]
	detector := f.detectors[watcher]
	target := detector.predecessors[0]
	f.cut = func(from, to port.NodeID) bool { return from == target && to == watcher }
	bystanders := without(f.nodes, append(detector.monitors(target), target)...)
	for range 50 {
		f.run(100 * time.Millisecond)
		for _, bystander := range append(bystanders, "stranger") {
			for _, kind := range []MessageKind{Heartbeat, Probe, Alive, Suspect, Sync} {
				if bystander != "stranger" && kind != Suspect {
					continue
				}
				message := Message{Kind: kind, From: bystander, About: target, Incarnation: detector.peers[target].incarnation}
				f.handle(watcher, detector.Receive(f.now, message))
			}
		}
	}
	if kept := len(detector.peers[target].suspecters); kept > DefaultSuccessors {
		t.Errorf("keeps the suspicions of %d nodes, want those of monitors only", kept)
	}
	if died := slices.Contains(f.changes[watcher], Change{Node: target, Status: StatusDead}); died {
		t.Error("declared dead on the word of nodes that do not watch it")
	}
}

// Notices that wait must not pile up while a zone loses messages: nodes that are
// suspected again and again announce themselves faster than a small allowance
// lets notices out.
func TestWaitingNoticesAreBounded(t *testing.T) {
	f := newFleet(60, 7)
	for _, detector := range f.detectors {
		detector.config.MessagesPerInterval = 1
	}
	f.loss = 0.5
	f.run(5 * time.Minute)
	for node, detector := range f.detectors {
		about := make(map[port.NodeID]bool)
		for _, queued := range detector.outbox.notices {
			if about[queued.message.about()] {
				t.Errorf("%s has two notices about %s waiting, want one at most", node, queued.message.about())
			}
			about[queued.message.about()] = true
		}
	}
	f.loss = 0
	f.run(10 * time.Minute)
	f.wantLive(t, f.nodes)
}
