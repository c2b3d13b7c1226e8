package membership

import (
	"net/netip"
	"time"

	"github.com/loomgrade/loomgrade/internal/port"
)

// SetView takes the control view's list of nodes, of which those in the own
// zone count. A node new to it is held for alive until its silence shows.
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
			known = &peer{id: node.ID, heard: now}
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
		d.rebuild(now)
	}
	if d.listed && !listedBefore {
		d.announceSelf()
	}
	return d.flush(0)
}

// SetMachines takes the machine list. A node on a leaving machine is no home;
// one whose machine is gone from the list is dead as soon as it is silent,
// without confirmation. The list lags, so that alone it declares nobody dead.
func (d *Detector) SetMachines(self string, machines []port.Machine) {
	states := make(map[string]port.MachineState, len(machines))
	for _, machine := range machines {
		states[host(machine.Address)] = machine.State
	}
	d.assigner = nil
	d.leaving = states[host(self)] == port.MachineLeaving
	for _, peer := range d.peers {
		state, found := states[host(peer.address)]
		peer.unlisted = !found && len(machines) > 0
		peer.leaving = state == port.MachineLeaving
	}
}

// host gives the IP of IP:port, and any other text as it is.
func host(address string) string {
	if parsed, err := netip.ParseAddrPort(address); err == nil {
		return parsed.Addr().String()
	}
	return address
}
