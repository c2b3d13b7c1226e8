package membership

import (
	"net/netip"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// SetView updates the nodes from the control view; only those in this node's zone count. A
// new node is considered alive until its heartbeats time out.
func (d *Detector) SetView(now time.Time, nodes []port.NodeAddress) Output {
	listed := make(map[port.NodeID]bool, len(nodes))
	changed, listedBefore := false, d.listed
	d.assigner = nil
	d.listed = false
	for _, node := range nodes {
		if node.Zone != d.config.Zone {
			continue
		}
		if node.ID == d.config.Self {
			d.listed = true
			d.draining = node.Draining
			continue
		}
		listed[node.ID] = true
		current := d.peers[node.ID]
		if current == nil {
			current = &peer{id: node.ID, lastHeartbeat: now}
			d.peers[node.ID] = current
			d.output.Changes = append(d.output.Changes, Change{Node: node.ID, Status: StatusAlive})
			changed = true
		}
		current.address = node.PeerAddress
		current.draining = node.Draining
	}
	for id, current := range d.peers {
		if !listed[id] {
			delete(d.peers, id)
			d.output.Changes = append(d.output.Changes, Change{Node: id, Status: current.status, Removed: true})
			changed = true
		}
	}
	if changed {
		d.rebuildRing(now)
	}
	if d.listed && !listedBefore {
		d.broadcastAlive()
	}
	return d.flush(0)
}

// SetMachines updates the nodes from the machine list. A node on a leaving machine cannot
// be a home. A node that times out is declared dead without confirmation if its machine is
// leaving or not listed. As the list lags, it alone does not make a node dead.
func (d *Detector) SetMachines(self string, machines []port.Machine) {
	states := make(map[string]port.MachineState, len(machines))
	for _, machine := range machines {
		states[host(machine.Address)] = machine.State
	}
	d.assigner = nil
	d.leaving = states[host(self)] == port.MachineLeaving
	for _, peer := range d.peers {
		state, found := states[host(peer.address)]
		peer.machineMissing = !found && len(machines) > 0
		peer.leaving = state == port.MachineLeaving
	}
}

// host returns the IP of an IP:port address, or any other text unchanged.
func host(address string) string {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		return parsed.Addr().String()
	}
	return address
}
