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

// maxInFlight limits the messages in flight, and thereby the memory of a test in which
// nodes answer each other endlessly.
const maxInFlight = 1 << 21

var testStart = time.UnixMilli(1_700_000_000_000)

// fleet runs the detectors of one zone in virtual time over a faulty network.
type fleet struct {
	now       time.Time
	random    *rand.Rand
	nodes     []port.NodeID
	detectors map[port.NodeID]*Detector
	stopped   map[port.NodeID]bool
	blocked   func(from, to port.NodeID) bool
	drop      func(Message) bool
	loss      float64
	sent      map[port.NodeID]int
	changes   map[port.NodeID][]Change
	inFlight  []Envelope
	// observe, if set, is called for each message sent.
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
	// Fill the cache of homes, so that a missing invalidation shows in every test.
	f.detectors[from].Assigner()
	if f.changes != nil {
		f.changes[from] = append(f.changes[from], output.Changes...)
	}
	if len(f.inFlight)+len(output.Messages) > maxInFlight {
		panic(fmt.Sprintf("over %d messages in flight: nodes answer each other endlessly", maxInFlight))
	}
	for _, envelope := range output.Messages {
		f.sent[from]++
		if f.observe != nil {
			f.observe(envelope)
		}
		f.inFlight = append(f.inFlight, envelope)
	}
}

// run advances the time in steps of 100 ms; each message takes one step.
func (f *fleet) run(duration time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(duration); f.now.Before(end); f.now = f.now.Add(step) {
		arriving := f.inFlight
		f.inFlight = nil
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
	blocked := f.blocked != nil && f.blocked(envelope.Message.From, envelope.To)
	dropped := f.drop != nil && f.drop(envelope.Message)
	if lost || blocked || dropped || f.stopped[envelope.To] {
		return
	}
	f.handle(envelope.To, f.detectors[envelope.To].Receive(f.now, envelope.Message))
}

// checkLive checks that every running node considers exactly the nodes in want live.
func (f *fleet) checkLive(t *testing.T, want []port.NodeID) {
	t.Helper()
	for _, node := range f.nodes {
		if f.stopped[node] {
			continue
		}
		if live := f.detectors[node].Live(); !slices.Equal(live, want) {
			t.Errorf("%s has %d live nodes, want %d:\n%v", node, len(live), len(want), live)
		}
	}
}

func without(nodes []port.NodeID, removed ...port.NodeID) []port.NodeID {
	return slices.DeleteFunc(slices.Clone(nodes), func(node port.NodeID) bool { return slices.Contains(removed, node) })
}

func TestQuietFleetStaysAlive(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 20, 60} {
		f := newFleet(size, 1)
		f.run(20 * time.Second)
		f.checkLive(t, f.nodes)
	}
}

func TestDeathsAndReturnsAreDetected(t *testing.T) {
	tests := map[string]struct {
		size, dead int
		// timeout limits the time to detect the deaths: of ring neighbours that die
		// together, two are detected at a time.
		timeout time.Duration
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
			failed := slices.Clone(ring[1 : 1+test.dead])
			for _, node := range failed {
				f.stopped[node] = true
			}
			f.run(test.timeout)
			f.checkLive(t, without(f.nodes, failed...))
			for _, node := range failed {
				f.start(node, 2)
			}
			f.run(40 * time.Second)
			f.checkLive(t, f.nodes)
		})
	}
}

func TestMessageLossCausesNoPermanentDeath(t *testing.T) {
	f := newFleet(20, 3)
	f.loss = 0.1
	f.run(2 * time.Minute)
	f.loss = 0
	f.run(20 * time.Second)
	f.checkLive(t, f.nodes)
}

func TestPartitionHeals(t *testing.T) {
	f := newFleet(12, 4)
	side := func(node port.NodeID) bool { return node < f.nodes[6] }
	f.run(5 * time.Second)
	f.blocked = func(from, to port.NodeID) bool { return side(from) != side(to) }
	f.run(time.Minute)
	for _, node := range f.nodes {
		if got := len(f.detectors[node].Live()); got != 6 {
			t.Errorf("%s has %d live nodes during the partition, want its own side of 6", node, got)
		}
	}
	f.blocked = nil
	f.run(time.Minute)
	f.checkLive(t, f.nodes)
}

// A monitor that receives no messages must not declare a node dead without confirmation.
func TestSingleMonitorCannotDeclareDeath(t *testing.T) {
	f := newFleet(10, 5)
	f.run(2 * time.Second)
	unreachable := f.nodes[3]
	f.blocked = func(_, to port.NodeID) bool { return to == unreachable }
	f.run(30 * time.Second)
	for _, node := range without(f.nodes, unreachable) {
		if live := f.detectors[node].Live(); !slices.Equal(live, f.nodes) {
			t.Fatalf("%s follows a monitor that receives no messages: live %v", node, live)
		}
	}
}

// A process that was paused must not suspect the others.
func TestPausedNodeSuspectsNobody(t *testing.T) {
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
		"machine missing from the list":          {[]port.Machine{{Address: "127.0.0.9:7000", State: port.MachineLive}}, true},
		"machine leaving":                        {[]port.Machine{{Address: "127.0.0.2:7000", State: port.MachineLeaving}}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(8, 7)
			monitor := f.nodes[0]
			detector := f.detectors[monitor]
			target := detector.predecessors[0]
			position := slices.Index(f.nodes, target)
			machines := slices.Clone(test.machines)
			for index := range machines {
				if machines[index].Address[:9] == "127.0.0.2" {
					machines[index].Address = fmt.Sprintf("127.0.0.%d:7000", position+1)
				}
			}
			f.blocked = func(from, to port.NodeID) bool { return from == target && to == monitor }
			f.run(time.Second)
			detector.SetMachines("127.0.0.1:7000", machines)
			f.run(2500 * time.Millisecond)
			declaredDead := slices.Contains(f.changes[monitor], Change{Node: target, Status: StatusDead})
			if declaredDead != test.wantDead {
				t.Errorf("declared dead: %v, want %v; changes %v", declaredDead, test.wantDead, f.changes[monitor])
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

// The number of messages per node must not grow with the zone.
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

// Digests on heartbeats spread a death if all notices of it are lost.
func TestDigestsRepairLostNotices(t *testing.T) {
	f := newFleet(20, 10)
	f.run(5 * time.Second)
	f.drop = func(message Message) bool { return message.Kind == Dead }
	failed := f.nodes[7]
	f.stopped[failed] = true
	f.run(30 * time.Second)
	f.checkLive(t, without(f.nodes, failed))
}

// A replayed heartbeat does not keep a node alive.
func TestReplayedHeartbeatIsIgnored(t *testing.T) {
	f := newFleet(5, 11)
	f.run(3 * time.Second)
	monitor := f.detectors[f.nodes[0]]
	target := monitor.predecessors[0]
	replayed := Message{Kind: Heartbeat, From: target, Incarnation: 1, Sequence: f.detectors[target].sequence}
	f.stopped[target] = true
	for range 40 {
		f.run(100 * time.Millisecond)
		for _, node := range without(f.nodes, target) {
			f.handle(node, f.detectors[node].Receive(f.now, replayed))
		}
	}
	f.checkLive(t, without(f.nodes, target))
}

func TestSuspicionsOfNonMonitorsAreIgnored(t *testing.T) {
	f := newFleet(12, 12)
	f.run(2 * time.Second)
	monitor := f.nodes[0]
	detector := f.detectors[monitor]
	target := detector.predecessors[0]
	f.blocked = func(from, to port.NodeID) bool { return from == target && to == monitor }
	nonMonitors := without(f.nodes, append(detector.monitors(target), target)...)
	for range 50 {
		f.run(100 * time.Millisecond)
		for _, nonMonitor := range append(nonMonitors, "unlisted") {
			for _, kind := range []MessageKind{Heartbeat, Probe, Alive, Suspect, Sync} {
				if nonMonitor != "unlisted" && kind != Suspect {
					continue
				}
				message := Message{Kind: kind, From: nonMonitor, About: target, Incarnation: detector.peers[target].incarnation}
				f.handle(monitor, detector.Receive(f.now, message))
			}
		}
	}
	if count := len(detector.peers[target].suspicions); count > DefaultSuccessors {
		t.Errorf("suspicions of %d nodes are stored, want only those of monitors", count)
	}
	if declaredDead := slices.Contains(f.changes[monitor], Change{Node: target, Status: StatusDead}); declaredDead {
		t.Error("declared dead by nodes that do not monitor it")
	}
}

// Queued notices must not accumulate while a zone loses messages and nodes refute
// suspicions faster than MessagesPerInterval allows to send.
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
				t.Errorf("%s has two queued notices about %s, want at most one", node, queued.message.about())
			}
			about[queued.message.about()] = true
		}
	}
	f.loss = 0
	f.run(10 * time.Minute)
	f.checkLive(t, f.nodes)
}
