package membership

import (
	"net/netip"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// SetView updates the nodes from the control view; only those in this node's zone count. A
// new node is considered alive until it is silent for too long.
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
		known := d.peers[node.ID]
		if known == nil {
			known = &peer{id: node.ID, lastHeartbeat: now}
			d.peers[node.ID] = known
			d.output.Changes = append(d.output.Changes, Change{Node: node.ID, Status: StatusAlive})
			changed = true
		}
		known.address = node.PeerAddress
		known.draining = node.Draining
	}
	for id, known := range d.peers {
		if !listed[id] {
			delete(d.peers, id)
			d.output.Changes = append(d.output.Changes, Change{Node: id, Status: known.status, Removed: true})
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

// SetMachines updates the nodes from the machine list. A node on a leaving machine is no
// home; a silent node whose machine is not listed needs no confirmation of its death. As
// the list lags, it does not declare a node dead by itself.
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
