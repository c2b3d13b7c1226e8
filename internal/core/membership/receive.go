package membership

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Receive handles a message from another node. It drops messages from nodes that the
// control view does not list.
func (d *Detector) Receive(now time.Time, message Message) Output {
	sender := d.peers[message.From]
	if sender == nil {
		return d.flush(0)
	}
	switch message.Kind {
	case Heartbeat:
		d.receiveHeartbeat(now, sender, message)
	case Probe:
		d.updateIncarnation(now, sender, message.Incarnation)
		d.send(sender.id, d.aliveMessage())
	case Alive:
		d.receiveAlive(now, sender, message)
	case Suspect:
		d.receiveSuspect(now, message)
	case Dead:
		d.receiveDead(now, message.About, message.Incarnation)
	case Sync, SyncAnswer:
		d.receiveSync(now, sender, message)
	}
	return d.flush(0)
}

// receiveHeartbeat records a heartbeat. One that is not newer than the last is ignored.
func (d *Detector) receiveHeartbeat(now time.Time, sender *peer, message Message) {
	d.updateIncarnation(now, sender, message.Incarnation)
	if message.Incarnation < sender.incarnation {
		return
	}
	if sender.status == StatusDead {
		d.sendDeath(sender)
		return
	}
	if message.Sequence <= sender.sequence {
		return
	}
	sender.sequence = message.Sequence
	d.recordHeartbeat(now, sender)
	if message.Digest != d.digest {
		d.sendSync(sender.id)
	}
}

// recordHeartbeat records the time of a heartbeat and ends this node's suspicion.
func (d *Detector) recordHeartbeat(now time.Time, sender *peer) {
	sender.lastHeartbeat = now
	if sender.status == StatusSuspect {
		d.setStatus(sender, StatusAlive)
	}
}

// sendDeath informs a node that it is considered dead, so that it can refute.
func (d *Detector) sendDeath(deadPeer *peer) {
	d.send(deadPeer.id, Message{Kind: Dead, From: d.config.Self, About: deadPeer.id, Incarnation: deadPeer.incarnation})
}

// receiveAlive handles a node's report that it is alive.
func (d *Detector) receiveAlive(now time.Time, sender *peer, message Message) {
	d.updateIncarnation(now, sender, message.Incarnation)
	if message.Incarnation == sender.incarnation && sender.status == StatusDead {
		d.sendDeath(sender)
	}
}

// updateIncarnation marks a node alive if the incarnation is higher than its current one.
func (d *Detector) updateIncarnation(now time.Time, target *peer, incarnation uint64) {
	if incarnation <= target.incarnation {
		return
	}
	target.incarnation = incarnation
	target.sequence = 0
	target.suspicions = nil
	target.lastHeartbeat = now
	if target.status != StatusAlive {
		d.setStatus(target, StatusAlive)
		d.rebuildRing(now)
	}
}

// receiveSuspect records another monitor's suspicion, or refutes one of this node.
func (d *Detector) receiveSuspect(now time.Time, message Message) {
	if message.About == d.config.Self {
		d.refute(message.Incarnation)
		return
	}
	about := d.peers[message.About]
	if about == nil || message.Incarnation < about.incarnation {
		return
	}
	if !slices.Contains(d.monitors(about.id), message.From) {
		return
	}
	if about.suspicions == nil {
		about.suspicions = make(map[port.NodeID]time.Time, d.config.Successors)
	}
	about.suspicions[message.From] = now
}

// receiveDead marks a node dead unless the message is about an earlier incarnation.
func (d *Detector) receiveDead(now time.Time, node port.NodeID, incarnation uint64) {
	if node == d.config.Self {
		d.refute(incarnation)
		return
	}
	about := d.peers[node]
	if about == nil || incarnation < about.incarnation {
		return
	}
	if about.status == StatusDead && incarnation == about.incarnation {
		return
	}
	about.incarnation = incarnation
	about.suspicions = nil
	d.setStatus(about, StatusDead)
	d.rebuildRing(now)
}

// refute raises this node's incarnation above incarnation and announces it.
func (d *Detector) refute(incarnation uint64) {
	if incarnation < d.incarnation {
		return
	}
	d.incarnation = incarnation + 1
	d.sequence = 0
	d.broadcastAlive()
}

// broadcastAlive notifies the monitors immediately and queues a notice to all other nodes.
func (d *Detector) broadcastAlive() {
	message := d.aliveMessage()
	for _, successor := range d.successors {
		d.send(successor, message)
	}
	d.broadcast(message)
}

func (d *Detector) aliveMessage() Message {
	return Message{Kind: Alive, From: d.config.Self, Incarnation: d.incarnation}
}

// sendSync sends the nodes that this node considers dead.
func (d *Detector) sendSync(to port.NodeID) {
	message := Message{Kind: Sync, From: d.config.Self, Incarnation: d.incarnation}
	for _, deadPeer := range d.dead() {
		if len(message.Entries) == maxSyncEntries {
			break
		}
		message.Entries = append(message.Entries, deadPeer.entry())
	}
	d.send(to, message)
}

// receiveSync merges the entries and answers with those that the sender lacks: the higher
// incarnation wins, and death wins among equals. Dead nodes that the message omits are
// added only for a Sync that lists all of the sender's dead nodes.
func (d *Detector) receiveSync(now time.Time, sender *peer, message Message) {
	var answer []SyncEntry
	reported := make(map[port.NodeID]bool, len(message.Entries))
	for _, entry := range message.Entries {
		reported[entry.Node] = true
		d.merge(now, entry)
		about := d.peers[entry.Node]
		if about != nil && about.incarnation > entry.Incarnation {
			answer = append(answer, about.entry())
		}
	}
	if message.Kind == Sync && len(message.Entries) < maxSyncEntries {
		for _, deadPeer := range d.dead() {
			if !reported[deadPeer.id] {
				answer = append(answer, deadPeer.entry())
			}
		}
	}
	if len(answer) > 0 {
		answer = answer[:min(len(answer), maxSyncEntries)]
		d.send(sender.id, Message{
			Kind: SyncAnswer, From: d.config.Self, Incarnation: d.incarnation, Entries: answer,
		})
	}
}

// merge applies one entry of a Sync or SyncAnswer.
func (d *Detector) merge(now time.Time, entry SyncEntry) {
	if entry.Dead {
		d.receiveDead(now, entry.Node, entry.Incarnation)
		return
	}
	if about := d.peers[entry.Node]; about != nil {
		d.updateIncarnation(now, about, entry.Incarnation)
	}
}

// entry returns the node's state as a SyncEntry.
func (p *peer) entry() SyncEntry {
	return SyncEntry{Node: p.id, Incarnation: p.incarnation, Dead: p.status == StatusDead}
}
