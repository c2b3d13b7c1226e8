package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Config holds the settings of a Detector. Zero fields select the defaults.
type Config struct {
	Self port.NodeID
	Zone port.ZoneName
	// Incarnation must be higher than that of any earlier process of this node, for
	// example the start time in milliseconds.
	Incarnation uint64
	// Successors is the number of nodes that receive this node's heartbeats.
	Successors int
	// Interval is the time between two heartbeats.
	Interval time.Duration
	// SuspectAfter is the time without a heartbeat after which a monitor suspects a node,
	// and DeadAfter that after which the node may be declared dead.
	SuspectAfter time.Duration
	DeadAfter    time.Duration
	// MessagesPerInterval limits the queued notices sent per interval.
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
	// requiredConfirmations is the number of monitors that must agree on a death.
	requiredConfirmations = 2
	// soleMonitorFactor extends DeadAfter for a monitor without another live monitor to
	// confirm a death: it may be isolated itself.
	soleMonitorFactor = 2
	// intervalsPerProbe is the number of intervals between probes of a dead node.
	intervalsPerProbe = 4
	// maxSyncEntries limits the entries of a Sync message.
	maxSyncEntries = 32
)

// Detector is one node's failure detector. It does no I/O: the caller passes it the time,
// messages and views, and sends the messages in each Output. It is not safe for
// concurrent use.
type Detector struct {
	config      Config
	incarnation uint64
	sequence    uint64
	peers       map[port.NodeID]*peer
	// ring holds the non-dead nodes of the zone, including this one, ordered by hash.
	ring         []port.NodeID
	successors   []port.NodeID
	predecessors []port.NodeID
	// digest identifies the set of dead nodes and their incarnations.
	digest        uint64
	nextHeartbeat time.Time
	intervals     uint64
	nextProbe     int
	outbox        outbox
	output        Output
	// listed is set if the control view lists this node; draining comes from the control
	// view, leaving from the machine list.
	listed   bool
	draining bool
	leaving  bool
	// assigner assigns homes to the live nodes; nil after a change of the live nodes.
	assigner *Assigner
}

// peer is the state of another node of the zone.
type peer struct {
	id          port.NodeID
	address     string
	incarnation uint64
	sequence    uint64
	status      Status
	// monitored is set for predecessors; lastHeartbeat is the time of the last heartbeat,
	// or the time when monitoring began.
	monitored     bool
	lastHeartbeat time.Time
	// suspicions holds the time of the last suspicion of each other monitor.
	suspicions map[port.NodeID]time.Time
	draining   bool
	leaving    bool
	// machineMissing is set if the machine list does not contain the node's machine.
	machineMissing bool
}

// NewDetector returns a detector that knows no other node yet.
func NewDetector(config Config, now time.Time) *Detector {
	config.Successors = cmp.Or(max(config.Successors, 0), DefaultSuccessors)
	config.Interval = cmp.Or(max(config.Interval, 0), DefaultInterval)
	config.SuspectAfter = cmp.Or(max(config.SuspectAfter, 0), DefaultSuspectAfter)
	config.DeadAfter = max(cmp.Or(config.DeadAfter, DefaultDeadAfter), config.SuspectAfter)
	config.MessagesPerInterval = cmp.Or(max(config.MessagesPerInterval, 0), DefaultMessagesPerInterval)
	return &Detector{
		config:        config,
		incarnation:   config.Incarnation,
		peers:         make(map[port.NodeID]*peer),
		nextHeartbeat: now,
	}
}

// Tick sends due heartbeats and probes, and updates suspicions and deaths.
func (d *Detector) Tick(now time.Time) Output {
	if now.Before(d.nextHeartbeat) {
		return d.flush(0)
	}
	if d.intervals > 0 && now.Sub(d.nextHeartbeat) > d.config.SuspectAfter {
		d.resetHeartbeatTimers(now)
	}
	d.nextHeartbeat = now.Add(d.config.Interval)
	d.intervals++
	d.sendHeartbeats()
	d.checkPredecessors(now)
	d.probeDead()
	return d.flush(d.config.MessagesPerInterval)
}

// NextTick returns the time at which Tick next has work.
func (d *Detector) NextTick() time.Time { return d.nextHeartbeat }

// Incarnation returns this node's current incarnation number.
func (d *Detector) Incarnation() uint64 { return d.incarnation }

// Status returns the status of a node; an unknown one is dead.
func (d *Detector) Status(node port.NodeID) Status {
	if node == d.config.Self {
		return StatusAlive
	}
	if existing := d.peers[node]; existing != nil {
		return existing.status
	}
	return StatusDead
}

// Live returns the nodes of the zone that may be homes, in ascending order: those in the
// control view that are not dead, draining or leaving. It includes this node if that holds
// for it. The caller must not modify the slice.
func (d *Detector) Live() []port.NodeID { return d.Assigner().nodes }

// Assigner returns the assigner for the current live nodes. It returns the same pointer
// until they change.
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

// sendHeartbeats sends a heartbeat to every successor.
func (d *Detector) sendHeartbeats() {
	d.sequence++
	for _, successor := range d.successors {
		d.send(successor, Message{
			Kind: Heartbeat, From: d.config.Self, Incarnation: d.incarnation,
			Sequence: d.sequence, Digest: d.digest,
		})
	}
}

// resetHeartbeatTimers restarts the timeouts of all predecessors: this process itself was
// paused, so that missing heartbeats do not prove that they failed.
func (d *Detector) resetHeartbeatTimers(now time.Time) {
	for _, id := range d.predecessors {
		d.peers[id].lastHeartbeat = now
	}
}

// checkPredecessors suspects predecessors that timed out, and declares them dead once that
// is confirmed.
func (d *Detector) checkPredecessors(now time.Time) {
	for _, id := range slices.Clone(d.predecessors) {
		target := d.peers[id]
		elapsed := now.Sub(target.lastHeartbeat)
		if elapsed <= d.config.SuspectAfter {
			continue
		}
		d.suspect(target)
		if elapsed > d.config.DeadAfter && d.deathConfirmed(now, target, elapsed) {
			d.markDead(now, target)
			d.broadcastDeath(target)
		}
	}
}

// suspect marks a node suspect, and notifies it and its other monitors in every interval.
func (d *Detector) suspect(target *peer) {
	if target.status == StatusAlive {
		d.setStatus(target, StatusSuspect)
	}
	message := Message{
		Kind: Suspect, From: d.config.Self, About: target.id, Incarnation: target.incarnation,
	}
	d.send(target.id, message)
	for _, monitor := range d.monitors(target.id) {
		if monitor != d.config.Self {
			d.send(monitor, message)
		}
	}
}

// deathConfirmed reports whether a node without heartbeats for elapsed may be declared dead.
func (d *Detector) deathConfirmed(now time.Time, target *peer, elapsed time.Duration) bool {
	if target.machineMissing || target.leaving {
		return true
	}
	suspecting, liveMonitors := 1, 1
	for _, monitor := range d.monitors(target.id) {
		if monitor == d.config.Self {
			continue
		}
		if last, suspected := target.suspicions[monitor]; suspected && now.Sub(last) <= d.config.SuspectAfter {
			suspecting++
		}
		if d.peers[monitor].status == StatusAlive {
			liveMonitors++
		}
	}
	if suspecting >= requiredConfirmations {
		return true
	}
	return liveMonitors == 1 && elapsed > soleMonitorFactor*d.config.DeadAfter
}

// monitors returns the nodes that monitor a node: its successors on the ring.
func (d *Detector) monitors(node port.NodeID) []port.NodeID {
	return neighbours(d.ring, node, d.config.Successors, 1)
}

// probeDead probes one dead node at a time, so that two sides of a healed partition find
// each other.
func (d *Detector) probeDead() {
	if d.intervals%intervalsPerProbe != 0 || d.digest == 0 {
		return
	}
	dead := d.dead()
	target := dead[d.nextProbe%len(dead)]
	d.nextProbe++
	d.send(target.id, Message{Kind: Probe, From: d.config.Self, Incarnation: d.incarnation})
}

// dead returns the dead nodes in ascending order.
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

// broadcastDeath queues a notice of a death to all other nodes, including the dead one.
func (d *Detector) broadcastDeath(deadPeer *peer) {
	d.broadcast(Message{Kind: Dead, From: d.config.Self, About: deadPeer.id, Incarnation: deadPeer.incarnation})
}

// broadcast queues a notice to all other nodes of the zone, in ascending order.
func (d *Detector) broadcast(message Message) {
	receivers := make([]port.NodeID, 0, len(d.peers))
	for id := range d.peers {
		receivers = append(receivers, id)
	}
	slices.Sort(receivers)
	d.outbox.add(message, receivers)
}

// send adds a message to the current output.
func (d *Detector) send(to port.NodeID, message Message) {
	d.output.Messages = append(d.output.Messages, Envelope{To: to, Message: message})
}

// flush returns the current output with up to count queued notices.
func (d *Detector) flush(count int) Output {
	d.output.Messages = d.outbox.dequeue(count, d.output.Messages)
	output := d.output
	d.output = Output{}
	return output
}

// setStatus changes the status of a node and reports the change.
func (d *Detector) setStatus(changed *peer, status Status) {
	if changed.status == status {
		return
	}
	changed.status = status
	d.assigner = nil
	d.output.Changes = append(d.output.Changes, Change{Node: changed.id, Status: status})
}

// markDead declares a node dead and removes it from the ring.
func (d *Detector) markDead(now time.Time, deadPeer *peer) {
	if deadPeer.status == StatusDead {
		return
	}
	d.setStatus(deadPeer, StatusDead)
	deadPeer.suspicions = nil
	d.rebuildRing(now)
}

// nodeHash determines a node's position on the ring and its part of the digest.
func nodeHash(node port.NodeID) uint64 { return xxhash.Sum64String(string(node)) }
