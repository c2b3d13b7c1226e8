package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Config sets a Detector. Zero fields take the defaults.
type Config struct {
	Self port.NodeID
	Zone port.ZoneName
	// Incarnation must be higher than that of any earlier process of this node;
	// the start time in milliseconds will do.
	Incarnation uint64
	// Successors is the number of nodes that get this node's heartbeats.
	Successors int
	// Interval lies between two heartbeats.
	Interval time.Duration
	// SuspectAfter is the silence after which a monitor suspects a node, and
	// DeadAfter the silence after which suspicion may become death.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// MessagesPerInterval bounds the notices sent in one interval besides
	// heartbeats; the rest wait for the next ones.
	MessagesPerInterval int
}

// Defaults of Config.
const (
	DefaultSuccessors          = 3
	DefaultInterval            = 500 * time.Millisecond
	DefaultSuspectAfter        = 1500 * time.Millisecond
	DefaultDeadAfter           = 2500 * time.Millisecond
	DefaultMessagesPerInterval = 64
)

// Constants of the detector.
const (
	// confirmations is the number of monitors that must agree on a death.
	confirmations = 2
	// aloneFactor lengthens DeadAfter for a monitor that suspects all others
	// and finds nobody to confirm: it may itself be the one cut off.
	aloneFactor = 2
	// probeEvery is the number of intervals between probes of a dead node.
	probeEvery = 4
	// syncEntries bounds the entries of one Sync message.
	syncEntries = 32
)

// Detector is the pure state of one node's failure detection. The caller feeds
// it time, messages and views, and sends what it asks for. It is not safe for
// concurrent use.
type Detector struct {
	config      Config
	incarnation uint64
	sequence    uint64
	peers       map[port.NodeID]*peer
	// ring holds the non-dead nodes of the zone, self included, by hash.
	ring         []port.NodeID
	successors   []port.NodeID
	predecessors []port.NodeID
	// digest sums up the dead nodes.
	digest    uint64
	nextBeat  time.Time
	beats     uint64
	nextProbe int
	outbox    outbox
	output    Output
	// listed says that the control view lists this node, draining and leaving
	// what the view and the machine list say of it.
	listed   bool
	draining bool
	leaving  bool
	// assigner gives the homes for the live nodes; nil after a change of what
	// Live depends on.
	assigner *Assigner
}

// peer is what the detector holds of another node of the zone.
type peer struct {
	id          port.NodeID
	address     string
	incarnation uint64
	sequence    uint64
	status      Status
	// watched is set for predecessors: heard is the last heartbeat, or the time
	// when watching began.
	watched bool
	heard   time.Time
	// suspecters holds the latest suspicion of other monitors.
	suspecters map[port.NodeID]time.Time
	draining   bool
	leaving    bool
	// unlisted says that the machine list no longer shows the node's machine.
	unlisted bool
}

// NewDetector makes a detector that knows no other node yet.
func NewDetector(config Config, now time.Time) *Detector {
	config.Successors = cmp.Or(max(config.Successors, 0), DefaultSuccessors)
	config.Interval = cmp.Or(max(config.Interval, 0), DefaultInterval)
	config.SuspectAfter = cmp.Or(max(config.SuspectAfter, 0), DefaultSuspectAfter)
	config.DeadAfter = max(cmp.Or(config.DeadAfter, DefaultDeadAfter), config.SuspectAfter)
	config.MessagesPerInterval = cmp.Or(max(config.MessagesPerInterval, 0), DefaultMessagesPerInterval)
	return &Detector{
		config:      config,
		incarnation: config.Incarnation,
		peers:       make(map[port.NodeID]*peer),
		nextBeat:    now,
	}
}

// Tick does what is due: heartbeats, suspicions, deaths and probes.
func (d *Detector) Tick(now time.Time) Output {
	if now.Before(d.nextBeat) {
		return d.flush(0)
	}
	if d.beats > 0 && now.Sub(d.nextBeat) > d.config.SuspectAfter {
		d.forgiveSilence(now)
	}
	d.nextBeat = now.Add(d.config.Interval)
	d.beats++
	d.sendHeartbeats()
	d.judge(now)
	d.probeDead()
	return d.flush(d.config.MessagesPerInterval)
}

// NextTick gives the time at which Tick next has something to do.
func (d *Detector) NextTick() time.Time { return d.nextBeat }

// Incarnation gives this node's present incarnation number.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// Status gives what is held of a node; one not known is dead.
func (d *Detector) Status(node port.NodeID) Status {
	if node == d.config.Self {
		return StatusAlive
	}
	if known := d.peers[node]; known != nil {
		return known.status
	}
	return StatusDead
}

// Live lists the nodes of the zone that may be homes, in order: those in the
// control view that are not dead, draining or leaving. This node is among them
// by the same rules. The slice must not be changed.
func (d *Detector) Live() []port.NodeID { return d.Assigner().nodes }

// Assigner gives the homes for the present live nodes. Calls without a change
// between them give the same pointer.
func (d *Detector) Assigner() *Assigner {
	if d.assigner == nil {
		d.assigner = NewAssigner(d.live())
	}
	return d.assigner
}

func (d *Detector) live() []port.NodeID {
	live := make([]port.NodeID, 0, len(d.peers)+1)
	if d.listed && !d.draining && !d.leaving {
		live = append(live, d.config.Self)
	}
	for id, peer := range d.peers {
		if peer.status != StatusDead && !peer.draining && !peer.leaving {
			live = append(live, id)
		}
	}
	return live
}

// sendHeartbeats sends to every successor.
func (d *Detector) sendHeartbeats() {
	d.sequence++
	for _, successor := range d.successors {
		d.send(successor, Message{
			Kind: Heartbeat, From: d.config.Self, Incarnation: d.incarnation,
			Sequence: d.sequence, Digest: d.digest,
		})
	}
}

// forgiveSilence counts all silence from now on: this process itself stood
// still, so that its inbox says nothing about others.
func (d *Detector) forgiveSilence(now time.Time) {
	for _, id := range d.predecessors {
		d.peers[id].heard = now
	}
}

// judge looks at the silence of every predecessor.
func (d *Detector) judge(now time.Time) {
	for _, id := range slices.Clone(d.predecessors) {
		watched := d.peers[id]
		silence := now.Sub(watched.heard)
		if silence <= d.config.SuspectAfter {
			continue
		}
		d.suspect(watched)
		if silence > d.config.DeadAfter && d.confirmed(now, watched, silence) {
			d.markDead(now, watched)
			d.announceDeath(watched)
		}
	}
}

// suspect tells the node itself and its other monitors, at each interval anew.
func (d *Detector) suspect(watched *peer) {
	if watched.status == StatusAlive {
		d.setStatus(watched, StatusSuspect)
	}
	message := Message{
		Kind: Suspect, From: d.config.Self, About: watched.id, Incarnation: watched.incarnation,
	}
	d.send(watched.id, message)
	for _, monitor := range d.monitors(watched.id) {
		if monitor != d.config.Self {
			d.send(monitor, message)
		}
	}
}

// confirmed says whether a silent node counts as dead.
func (d *Detector) confirmed(now time.Time, watched *peer, silence time.Duration) bool {
	if watched.unlisted || watched.leaving {
		return true
	}
	agreeing, able := 1, 1
	for _, monitor := range d.monitors(watched.id) {
		if monitor == d.config.Self {
			continue
		}
		if last, told := watched.suspecters[monitor]; told && now.Sub(last) <= d.config.SuspectAfter {
			agreeing++
		}
		if d.peers[monitor].status == StatusAlive {
			able++
		}
	}
	if agreeing >= confirmations {
		return true
	}
	return able == 1 && silence > aloneFactor*d.config.DeadAfter
}

// monitors lists the nodes that watch a node: its successors on the ring.
func (d *Detector) monitors(node port.NodeID) []port.NodeID {
	return neighbours(d.ring, node, d.config.Successors, 1)
}

// probeDead asks one dead node at a time whether it lives, so that two sides
// of a healed cut find each other.
func (d *Detector) probeDead() {
	if d.beats%probeEvery != 0 || d.digest == 0 {
		return
	}
	dead := d.dead()
	target := dead[d.nextProbe%len(dead)]
	d.nextProbe++
	d.send(target.id, Message{Kind: Probe, From: d.config.Self, Incarnation: d.incarnation})
}

// dead lists the dead nodes in order.
func (d *Detector) dead() []*peer {
	var dead []*peer
	for _, peer := range d.peers {
		if peer.status == StatusDead {
			dead = append(dead, peer)
		}
	}
	slices.SortFunc(dead, func(a, b *peer) int { return cmp.Compare(a.id, b.id) })
	return dead
}

// announceDeath queues the notice for the whole zone and the node itself.
func (d *Detector) announceDeath(gone *peer) {
	d.broadcast(Message{Kind: Dead, From: d.config.Self, About: gone.id, Incarnation: gone.incarnation})
}

// broadcast queues a notice to all nodes of the zone, ring neighbours first.
func (d *Detector) broadcast(message Message) {
	receivers := make([]port.NodeID, 0, len(d.peers))
	for id := range d.peers {
		receivers = append(receivers, id)
	}
	slices.Sort(receivers)
	d.outbox.add(message, receivers)
}

// send asks for a message to be sent at once.
func (d *Detector) send(to port.NodeID, message Message) {
	d.output.Messages = append(d.output.Messages, Envelope{To: to, Message: message})
}

// flush ends a step: it adds up to count queued notices and hands over.
func (d *Detector) flush(count int) Output {
	d.output.Messages = d.outbox.take(count, d.output.Messages)
	output := d.output
	d.output = Output{}
	return output
}

// setStatus moves a node to a status and reports it.
func (d *Detector) setStatus(changed *peer, status Status) {
	if changed.status == status {
		return
	}
	changed.status = status
	d.assigner = nil
	d.output.Changes = append(d.output.Changes, Change{Node: changed.id, Status: status})
}

// markDead takes a node off the ring.
func (d *Detector) markDead(now time.Time, gone *peer) {
	if gone.status == StatusDead {
		return
	}
	d.setStatus(gone, StatusDead)
	gone.suspecters = nil
	d.rebuild(now)
}

// nodeHash places a node on the ring and in digests.
func nodeHash(node port.NodeID) uint64 { return xxhash.Sum64String(string(node)) }
