package membership

import (
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// Receive takes a message from another node. Messages from nodes that the
// control view does not list are dropped.
func (d *Detector) Receive(now time.Time, message Message) Output {
	sender := d.peers[message.From]
	if sender == nil {
		return d.flush(0)
	}
	switch message.Kind {
	case Heartbeat:
		d.receiveHeartbeat(now, sender, message)
	case Probe:
		d.learnAlive(now, sender, message.Incarnation)
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

// receiveHeartbeat notes that the sender lives. A heartbeat older than the
// last one says nothing new.
func (d *Detector) receiveHeartbeat(now time.Time, sender *peer, message Message) {
	d.learnAlive(now, sender, message.Incarnation)
	if message.Incarnation < sender.incarnation {
		return
	}
	if sender.status == StatusDead {
		d.tellDeath(sender)
		return
	}
	if message.Sequence <= sender.sequence {
		return
	}
	sender.sequence = message.Sequence
	d.hear(now, sender)
	if message.Digest != d.digest {
		d.sendSync(sender.id)
	}
}

// hear ends a suspicion of this node's own.
func (d *Detector) hear(now time.Time, sender *peer) {
	sender.heard = now
	if sender.status == StatusSuspect {
		d.setStatus(sender, StatusAlive)
	}
}

// tellDeath tells a node that it is held for dead, so that it may refute.
func (d *Detector) tellDeath(gone *peer) {
	d.send(gone.id, Message{Kind: Dead, From: d.config.Self, About: gone.id, Incarnation: gone.incarnation})
}

// receiveAlive takes a node's own word.
func (d *Detector) receiveAlive(now time.Time, sender *peer, message Message) {
	d.learnAlive(now, sender, message.Incarnation)
	if message.Incarnation == sender.incarnation && sender.status == StatusDead {
		d.tellDeath(sender)
	}
}

// learnAlive takes a higher incarnation as proof of life.
func (d *Detector) learnAlive(now time.Time, known *peer, incarnation uint64) {
	if incarnation <= known.incarnation {
		return
	}
	known.incarnation = incarnation
	known.sequence = 0
	known.suspecters = nil
	known.heard = now
	if known.status != StatusAlive {
		d.setStatus(known, StatusAlive)
		d.rebuild(now)
	}
}

// receiveSuspect notes another monitor's word, or refutes one about this node.
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
	if about.suspecters == nil {
		about.suspecters = make(map[port.NodeID]time.Time, d.config.Successors)
	}
	about.suspecters[message.From] = now
}

// receiveDead takes the word of agreeing monitors, unless it concerns an
// earlier incarnation.
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
	about.suspecters = nil
	d.setStatus(about, StatusDead)
	d.rebuild(now)
}

// refute raises this node's incarnation over the one spoken of and tells the
// zone.
func (d *Detector) refute(incarnation uint64) {
	if incarnation < d.incarnation {
		return
	}
	d.incarnation = incarnation + 1
	d.sequence = 0
	d.announceSelf()
}

// announceSelf tells the monitors at once and the rest of the zone in turn.
func (d *Detector) announceSelf() {
	message := d.aliveMessage()
	for _, successor := range d.successors {
		d.send(successor, message)
	}
	d.broadcast(message)
}

func (d *Detector) aliveMessage() Message {
	return Message{Kind: Alive, From: d.config.Self, Incarnation: d.incarnation}
}

// sendSync tells a node what this one holds of dead nodes.
func (d *Detector) sendSync(to port.NodeID) {
	message := Message{Kind: Sync, From: d.config.Self, Incarnation: d.incarnation}
	for _, gone := range d.dead() {
		if len(message.Entries) == syncEntries {
			break
		}
		message.Entries = append(message.Entries, gone.entry())
	}
	d.send(to, message)
}

// receiveSync merges what another node holds, and answers what it lacks: the
// higher incarnation wins, and death wins among equals. Only a Sync, which
// lists all the sender's dead nodes, is answered with those it leaves out.
func (d *Detector) receiveSync(now time.Time, sender *peer, message Message) {
	var answer []SyncEntry
	told := make(map[port.NodeID]bool, len(message.Entries))
	for _, entry := range message.Entries {
		told[entry.Node] = true
		d.merge(now, entry)
		about := d.peers[entry.Node]
		if about != nil && about.incarnation > entry.Incarnation {
			answer = append(answer, about.entry())
		}
	}
	if message.Kind == Sync && len(message.Entries) < syncEntries {
		for _, gone := range d.dead() {
			if !told[gone.id] {
				answer = append(answer, gone.entry())
			}
		}
	}
	if len(answer) > 0 {
		answer = answer[:min(len(answer), syncEntries)]
		d.send(sender.id, Message{
			Kind: SyncAnswer, From: d.config.Self, Incarnation: d.incarnation, Entries: answer,
		})
	}
}

// merge takes one entry of another node's Sync.
func (d *Detector) merge(now time.Time, entry SyncEntry) {
	if entry.Dead {
		d.receiveDead(now, entry.Node, entry.Incarnation)
		return
	}
	if about := d.peers[entry.Node]; about != nil {
		d.learnAlive(now, about, entry.Incarnation)
	}
}

// entry gives what is held of a node in the form that travels.
func (p *peer) entry() SyncEntry {
	return SyncEntry{Node: p.id, Incarnation: p.incarnation, Dead: p.status == StatusDead}
}
