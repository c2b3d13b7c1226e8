package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// rebuildRing rebuilds the ring after the set of non-dead nodes changed, and starts to
// monitor new predecessors.
func (d *Detector) rebuildRing(now time.Time) {
	ring := []port.NodeID{d.config.Self}
	d.digest = 0
	for id, peer := range d.peers {
		if peer.status == StatusDead {
			d.digest ^= mix(nodeHash(id) ^ peer.incarnation)
			continue
		}
		ring = append(ring, id)
	}
	slices.SortFunc(ring, func(a, b port.NodeID) int {
		return cmp.Or(cmp.Compare(nodeHash(a), nodeHash(b)), cmp.Compare(a, b))
	})
	d.ring = ring
	d.successors = neighbours(ring, d.config.Self, d.config.Successors, 1)
	d.predecessors = neighbours(ring, d.config.Self, d.config.Successors, -1)
	d.updateMonitored(now)
}

// updateMonitored marks the predecessors as monitored; the timeouts of new ones start now.
func (d *Detector) updateMonitored(now time.Time) {
	for _, peer := range d.peers {
		isPredecessor := slices.Contains(d.predecessors, peer.id)
		if isPredecessor && !peer.monitored {
			peer.lastHeartbeat = now
		}
		if !isPredecessor && peer.status == StatusSuspect {
			d.setStatus(peer, StatusAlive)
		}
		peer.monitored = isPredecessor
	}
}

// neighbours returns up to count nodes that follow node on the ring in the direction of
// step.
func neighbours(ring []port.NodeID, node port.NodeID, count, step int) []port.NodeID {
	position := slices.Index(ring, node)
	if position < 0 {
		return nil
	}
	count = min(count, len(ring)-1)
	found := make([]port.NodeID, 0, count)
	for distance := 1; distance <= count; distance++ {
		index := (position + step*distance + len(ring)*distance) % len(ring)
		found = append(found, ring[index])
	}
	return found
}
