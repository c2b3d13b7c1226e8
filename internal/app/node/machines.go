package node

import (
	"context"
	"slices"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/platform"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/membership"
	"github.com/loomgrade/loomgrade/internal/port"
)

// pollersPerZone is the number of nodes of a zone that poll the machine list and
// tell the others, so that the load on the list doesn't grow with the zone.
const pollersPerZone = 2

func (e machinesMessage) apply(c *controller, now time.Time) {
	if c.leaving.Told(now, e.Node, e.Leaving) {
		c.changed = true
		c.rebuiltAt = time.Time{}
		c.lastSummary = time.Time{}
		c.tellDetector()
	}
}

// tellDetector tells the failure detector which nodes' machines leave. Only the
// leaving machines are known here, so that every other node counts as listed.
// The detector knows machines by IP: where nodes share one, the live ones, which
// come last, win.
func (c *controller) tellDetector() {
	var leaving, live []port.Machine
	for _, node := range c.observer.View().Nodes {
		if c.leaving.Has(node.PeerAddress) {
			leaving = append(leaving, port.Machine{Address: node.PeerAddress, State: port.MachineLeaving})
			continue
		}
		live = append(live, port.Machine{Address: node.PeerAddress, State: port.MachineLive})
	}
	c.detector.SetMachines(c.node.peerAddress, append(leaving, live...))
}

// pollMachines asks the machine list while this node is one of its zone's
// pollers, and tells the zone.
func (n *Node) pollMachines(ctx context.Context) {
	ticker := time.NewTicker(n.config.Intervals.MachineList)
	defer ticker.Stop()
	for {
		current := n.snapshot.Load()
		if base := current.view.Configuration.MachineList; base != "" && n.isPoller(current) {
			n.pollMachinesOnce(ctx, base)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// isPoller says whether this node is among the first of its zone by rendezvous.
func (n *Node) isPoller(current *snapshot) bool {
	nodes := slices.Clone(current.zoneNodes)
	for range pollersPerZone {
		id, found := membership.NewAssigner(nodes).HomeOf("machine-list")
		if !found {
			return true
		}
		if id == n.config.ID {
			return true
		}
		nodes = slices.DeleteFunc(nodes, func(node port.NodeID) bool { return node == id })
	}
	return len(nodes) == 0
}

func (n *Node) pollMachinesOnce(ctx context.Context, base string) {
	asking, cancel := context.WithTimeout(ctx, n.config.Intervals.CallTimeout)
	defer cancel()
	machines, err := platform.NewMachineList(n.backEnds.control, base, 0).Machines(asking)
	if err != nil {
		return
	}
	message := machinesMessage{Node: n.config.ID, Leaving: home.LeavingOf(machines)}
	n.post(message)
	for _, node := range n.zonePeers() {
		n.peers.send(node.PeerAddress, methodMachines, message)
	}
}

// zonePeers lists the other live nodes of the zone.
func (n *Node) zonePeers() []port.NodeAddress {
	current := n.snapshot.Load()
	var peers []port.NodeAddress
	for _, id := range current.zoneNodes {
		if address, known := current.nodes[id]; known && id != n.config.ID {
			peers = append(peers, address)
		}
	}
	return peers
}
