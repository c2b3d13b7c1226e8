package node

import (
	"context"
	"time"

	"github.com/loomgrade/loomgrade/internal/adapter/services"
	"github.com/loomgrade/loomgrade/internal/core/home"
	"github.com/loomgrade/loomgrade/internal/core/nodestate"
	"github.com/loomgrade/loomgrade/internal/port"
)

// machinesMessage carries the machine list as a node polled it.
type machinesMessage struct{ message nodestate.MachinesMessage }

func (e machinesMessage) apply(c *controller, now time.Time) {
	c.state.HandleMachines(now, e.message)
	c.node.machinesReceivedAt.Store(now.UnixNano())
}

// pollMachines polls the machine list while this node has to, and sends it to the zone.
func (n *Node) pollMachines(ctx context.Context) {
	interval := n.config.Intervals.MachineList
	ticker := time.NewTicker(nodestate.MachinePollCheckInterval(interval))
	defer ticker.Stop()
	var polled time.Time
	for {
		now, current := time.Now(), n.snapshot.Load()
		received := time.Unix(0, n.machinesReceivedAt.Load())
		base := current.View.Configuration.MachineList
		if base != "" && nodestate.ShouldPollMachines(now, interval, current.ZoneNodes, n.config.ID, polled, received) {
			polled = now
			n.pollMachinesOnce(ctx, base)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) pollMachinesOnce(ctx context.Context, base string) {
	callCtx, cancel := context.WithTimeout(ctx, n.config.Intervals.CallTimeout)
	defer cancel()
	machines, err := services.NewMachineList(n.backEnds.control, base, 0).Machines(callCtx)
	if err != nil {
		return
	}
	message := nodestate.MachinesMessage{Node: n.config.ID, Leaving: home.FilterLeaving(machines)}
	n.post(machinesMessage{message})
	for _, node := range n.zonePeers() {
		n.peers.send(node.PeerAddress, methodMachines, message)
	}
}

// zonePeers returns the other live nodes of the zone.
func (n *Node) zonePeers() []port.NodeAddress {
	current := n.snapshot.Load()
	var peers []port.NodeAddress
	for _, id := range current.ZoneNodes {
		if address, known := current.Nodes[id]; known && id != n.config.ID {
			peers = append(peers, address)
		}
	}
	return peers
}
